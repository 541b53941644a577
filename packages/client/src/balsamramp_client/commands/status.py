"""Commands that show the status and the internal state of a node."""

import argparse

from returns import result

from balsamramp_client import command
from balsamramp_client import output
from balsamramp_client import reports

__all__ = ["Dump", "Status"]


class Dump(command.Command):
    """``balsamramp dump [SERVICE]``: shows the state of a node's services."""

    name = "dump"
    doc = "show the state of a node's process, or of one of its services"
    example = "dump membership"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("service", nargs="?")

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        fetched = await context.node.view("dump")
        if isinstance(fetched, result.Failure):
            return fetched
        document = fetched.unwrap()
        if parsed.service is not None:
            if parsed.service not in document:
                return reports.not_found(
                    "service of the process", parsed.service, document
                )
            document = {parsed.service: document[parsed.service]}
        formatted = output.Output(document)
        return result.Success(
            output.Output(document, notes=(output.FORMATS["json"](formatted),))
        )


class Status(command.Command):
    """``balsamramp status``: shows versions, zones and rollouts."""

    name = "status"
    doc = "show versions in force, node counts, lagging nodes and rollouts"
    example = "status"

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        fetched = await context.node.view("status")
        return fetched.map(reports.status)
