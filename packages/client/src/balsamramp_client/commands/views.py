"""Views: commands that show what a node knows."""

import argparse
import typing

from returns import result

from balsamramp_client import api
from balsamramp_client import command

__all__ = ["Dump", "Get", "Names", "Status"]


class _View(command.Command):
    view: typing.ClassVar[str]

    async def run(
        self, parsed: argparse.Namespace, node: api.NodeApi
    ) -> result.Result[typing.Any, api.ApiError]:
        return await node.view(self.view)


class Dump(_View):
    """``balsamramp dump``: the state of every service of a node."""

    name = "dump"
    doc = "show the state of a node's process"
    view = "dump"


class Get(_View):
    """``balsamramp get``: all resources in force."""

    name = "get"
    doc = "show the resources in force"
    view = "configuration"


class Names(_View):
    """``balsamramp names``: unknown service names and their counts."""

    name = "names"
    doc = "show the unknown service names that callers used"
    view = "names"


class Status(_View):
    """``balsamramp status``: versions in force, nodes and rollouts."""

    name = "status"
    doc = "show what is in force, on which nodes"
    view = "status"
