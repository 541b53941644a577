"""Rollout: states that a new version takes over by a time."""

import argparse
import datetime
import typing

from returns import result

from balsamramp_client import api
from balsamramp_client import command

__all__ = ["Rollout"]


class Rollout(command.Command):
    """``balsamramp rollout NAME SERVICE OLD NEW --within SECONDS``."""

    name = "rollout"
    doc = "move a service to a new version by a time"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("rollout")
        parser.add_argument("service")
        parser.add_argument("old")
        parser.add_argument("new")
        parser.add_argument(
            "--within",
            type=float,
            required=True,
            metavar="SECONDS",
            help="time from now until the new version has all traffic",
        )

    async def run(
        self, parsed: argparse.Namespace, node: api.NodeApi
    ) -> result.Result[typing.Any, api.ApiError]:
        start = datetime.datetime.now(datetime.UTC)
        deadline = start + datetime.timedelta(seconds=parsed.within)
        item = {
            "kind": "rollout",
            "name": parsed.rollout,
            "service": parsed.service,
            "old": parsed.old,
            "new": parsed.new,
            "start": start.isoformat(),
            "deadline": deadline.isoformat(),
        }
        return await node.submit({"author": parsed.author, "puts": [item]})
