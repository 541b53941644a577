"""Picker: base class of the ways to pick a target for a call."""

import abc
from collections import abc as collections_abc
import random
import typing

import attrs

from balsamramp_wire import messages

__all__ = ["Candidate", "TargetPicker", "TargetStats"]


@attrs.define
class TargetStats:
    """What this node knows of a target from its own calls to it.

    ``in_flight`` counts the calls of this node; ``load`` is the last
    load that the target's node sent along with an answer.
    """

    in_flight: int = 0
    load: messages.Load | None = None
    failures_in_row: int = 0


@attrs.frozen(eq=False)
class Candidate:
    """A target that matches the call, and the node in front of it."""

    member: messages.Member
    record: messages.TargetRecord
    stats: TargetStats


class TargetPicker(abc.ABC):
    """Picks one of the targets that match a call.

    The pick is a hint: the target's own node decides whether it takes
    the call. A subclass declares ``name`` and ``doc``.
    """

    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]

    def __init__(self, zone: str, choice: random.Random) -> None:
        self._zone = zone
        self._random = choice

    @abc.abstractmethod
    def pick(
        self, candidates: collections_abc.Sequence[Candidate]
    ) -> Candidate:
        """Return one of ``candidates``, of which there is at least one."""
