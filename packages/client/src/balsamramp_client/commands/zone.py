"""Command that takes a zone out of service or back in."""

import argparse

from returns import result

from balsamramp_client import command
from balsamramp_client import edits
from balsamramp_client import output
from balsamramp_core import configuration
from balsamramp_core.resources import zone

__all__ = ["Zone"]


class Zone(command.Command):
    """``balsamramp zone out|in ZONE`` and ``balsamramp zone list``.

    ``list`` shows only zones that operators have taken out or in before.
    """

    name = "zone"
    doc = "take a zone out of service or back in, or list zone states"
    example = "zone out sur-uy-a"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("action", choices=["out", "in", "list"])
        parser.add_argument("zone", nargs="?")

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        listing = parsed.action == "list"
        if listing == (parsed.zone is not None):
            expected = "no zone" if listing else "a zone"
            return edits.usage_error(f"zone {parsed.action} takes {expected}")
        fetched = await context.node.configuration()
        if isinstance(fetched, result.Failure):
            return fetched
        current = fetched.unwrap()
        if listing:
            return result.Success(_describe(current))
        item = zone.Zone(
            name=parsed.zone,
            out=parsed.action == "out",
            since=context.clock.now(),
            author=context.author,
        )
        return await edits.submit(context, current.version, [item])


def _describe(current: configuration.Configuration) -> output.Output:
    rows = []
    for item in current.of_kind(zone.Zone.kind):
        if not isinstance(item, zone.Zone):
            continue
        state = "out" if item.out else "in"
        rows.append((item.name, state, item.since.isoformat(), item.author))
    document = [
        {"zone": name, "state": state, "since": since, "author": author}
        for name, state, since, author in rows
    ]
    headings = ("ZONE", "STATE", "SINCE", "AUTHOR")
    return output.Output(
        document,
        (output.Table(headings, tuple(rows)),),
        (f"{len(rows)} zones with an intent; the others are in service",),
    )
