"""Invariant: base class of the lines of what must always hold."""

import abc
import typing

from balsamramp_testing.scenario import record

__all__ = ["Invariant"]


class Invariant(abc.ABC):
    """One line of what must always hold, checked against the record.

    A subclass declares its ``number``, from 1 to 12 in the order of the
    brief, its ``name`` and ``doc``, the line itself.
    """

    number: typing.ClassVar[int]
    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]

    @abc.abstractmethod
    def check(self, seen: record.History) -> list[str]:
        """Return what contradicts the line; empty when it holds."""

    @abc.abstractmethod
    def count(self, seen: record.History) -> int:
        """Return how often the record put the line to the test."""
