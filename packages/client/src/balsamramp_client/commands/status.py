"""Status: what is in force, and the state of a node's process."""

import argparse

from returns import result

from balsamramp_client import command
from balsamramp_client import output
from balsamramp_client import reports

__all__ = ["Dump", "Status"]


class Dump(command.Command):
    """``balsamramp dump [SERVICE]``: the state of a node's services."""

    name = "dump"
    doc = "show the state of a node's process, or of one of its services"
    example = "dump membership"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("service", nargs="?")

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        viewed = await context.node.view("dump")
        if isinstance(viewed, result.Failure):
            return viewed
        document = viewed.unwrap()
        if parsed.service is not None:
            if parsed.service not in document:
                return reports.not_found(
                    "service of the process", parsed.service, document
                )
            document = {parsed.service: document[parsed.service]}
        shown = output.Output(document)
        return result.Success(
            output.Output(document, notes=(output.FORMATS["json"](shown),))
        )


class Status(command.Command):
    """``balsamramp status``: versions in force, nodes and rollouts."""

    name = "status"
    doc = "show what is in force, on how many nodes, and what lags"
    example = "status"

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        viewed = await context.node.view("status")
        return viewed.map(reports.status)
