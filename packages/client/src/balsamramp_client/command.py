"""Command: base class of the client's commands."""

import abc
import argparse
from collections import abc as collections_abc
import typing

import attrs
from returns import result

from balsamramp_client import api
from balsamramp_client import output
from balsamramp_core import clock

__all__ = ["Command", "Context", "CommandResult"]

CommandResult = result.Result[output.Output, api.ApiError]


@attrs.frozen(kw_only=True)
class Context:
    """What a command works with.

    ``author`` is recorded with a change and ``change_id`` makes a
    repeated change recognisable. ``emit`` prints one line at once, for
    commands that print while they run.
    """

    node: api.NodeApi
    author: str
    change_id: str
    clock: clock.Clock
    emit: collections_abc.Callable[[str], None]


class Command(abc.ABC):
    """One command of the client.

    A subclass declares ``name``, by which operators call it, ``doc``,
    one line for the help, and ``example``, arguments that show its use.
    """

    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]
    example: typing.ClassVar[str]

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments of this command."""

    @abc.abstractmethod
    async def run(
        self, parsed: argparse.Namespace, context: Context
    ) -> CommandResult:
        """Carry the command out; return what to print."""
