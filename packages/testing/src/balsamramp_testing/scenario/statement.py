"""Statement: base class of the statements of the scenario language."""

import abc
import typing

import attrs

from balsamramp_testing.scenario import environment

__all__ = ["ScenarioError", "Statement", "Step"]


@attrs.frozen
class ScenarioError(Exception):
    """A scenario that cannot be read, or not be run where it was put."""

    file: str
    line: int
    column: int
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}: {self.message}"


class Statement(abc.ABC):
    """One statement of a scenario.

    A subclass declares ``name``, the grammar rule it is made from,
    ``syntax``, the right side of that rule in the notation of lark, and
    ``doc``, one line for the page on the language. It is made from the
    values of the rule in their order; an optional value left out is
    None.
    """

    name: typing.ClassVar[str]
    syntax: typing.ClassVar[str]
    doc: typing.ClassVar[str]

    @abc.abstractmethod
    async def run(self, on: environment.Environment) -> None:
        """Carry the statement out."""


@attrs.frozen(kw_only=True)
class Step:
    """A statement with its place in the file and its time.

    ``at`` is the time since the start, None for at once after the step
    before; a step with ``every`` is repeated until ``until``. A step in
    the ``background`` is not waited for.
    """

    statement: Statement
    line: int
    column: int
    at: typing.Any = None
    every: typing.Any = None
    until: typing.Any = None
    background: bool = False
