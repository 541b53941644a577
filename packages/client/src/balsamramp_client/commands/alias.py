"""Command that adds an alias of a service name."""

import argparse

from returns import result

from balsamramp_client import command
from balsamramp_client import edits
from balsamramp_core.resources import alias

__all__ = ["Alias"]


class Alias(command.Command):
    """``balsamramp alias NAME SERVICE``: adds an alias of a service."""

    name = "alias"
    doc = "accept another spelling of a service name"
    example = "alias cajaa caja"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("alias")
        parser.add_argument("service")

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        fetched = await context.node.configuration()
        if isinstance(fetched, result.Failure):
            return fetched
        item = alias.Alias(name=parsed.alias, service=parsed.service)
        return await edits.submit(context, fetched.unwrap().version, [item])
