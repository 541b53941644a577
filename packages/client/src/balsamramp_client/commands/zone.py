"""Zone: takes an availability zone out of service or back in."""

import argparse
import typing

from returns import result

from balsamramp_client import api
from balsamramp_client import command

__all__ = ["Zone"]


class Zone(command.Command):
    """``balsamramp zone out|in ZONE``."""

    name = "zone"
    doc = "take an availability zone out or in"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("direction", choices=["out", "in"])
        parser.add_argument("zone")

    async def run(
        self, parsed: argparse.Namespace, node: api.NodeApi
    ) -> result.Result[typing.Any, api.ApiError]:
        item = {
            "kind": "zone",
            "name": parsed.zone,
            "out": parsed.direction == "out",
            "author": parsed.author,
        }
        return await node.submit({"author": parsed.author, "puts": [item]})
