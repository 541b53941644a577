"""Base class of the client's commands."""

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
    """Dependencies and options of a running command.

    ``author`` is recorded with a change, and nodes use ``change_id`` to
    deduplicate submissions. ``emit`` prints one line immediately, for
    commands that print while they run.
    """

    node: api.NodeApi
    author: str
    change_id: str
    clock: clock.Clock
    emit: collections_abc.Callable[[str], None]


class Command(abc.ABC):
    """One command of the client.

    A subclass defines ``name``, the subcommand on the command line,
    ``doc``, its one-line help text, and ``example``, sample arguments.
    """

    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]
    example: typing.ClassVar[str]

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of this command to ``parser``."""

    @abc.abstractmethod
    async def run(
        self, parsed: argparse.Namespace, context: Context
    ) -> CommandResult:
        """Run the command and return its output or its failure."""
