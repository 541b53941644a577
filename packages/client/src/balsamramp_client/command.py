"""Command: base class of the client's commands."""

import abc
import argparse
import typing

from returns import result

from balsamramp_client import api

__all__ = ["Command"]


class Command(abc.ABC):
    """One command of the client.

    A subclass declares ``name``, by which operators call it, and
    ``doc``, one line for the help.
    """

    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments of this command."""

    @abc.abstractmethod
    async def run(
        self, parsed: argparse.Namespace, node: api.NodeApi
    ) -> result.Result[typing.Any, api.ApiError]:
        """Carry the command out; return plain data to print."""
