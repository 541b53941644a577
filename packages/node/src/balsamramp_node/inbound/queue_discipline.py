"""Base class of the orders in which queued calls get a slot."""

import abc
from collections import abc as collections_abc
import datetime
import typing

import attrs

__all__ = ["QueueDiscipline", "QueuedCall"]

Rank = tuple[float, ...]


@attrs.frozen(eq=False, kw_only=True)
class QueuedCall:
    """A call that waits for a slot.

    ``service_time`` is the expected time that the target takes for it.
    After ``objective_at`` the response is late and has less value to the
    caller; after ``deadline`` nobody waits for it. Both, like
    ``arrived_at``, are readings of this node's monotonic clock.
    ``number`` increases with each arrival. ``organisation`` is the name of
    the caller's, or empty.
    """

    number: int
    arrived_at: datetime.timedelta
    objective_at: datetime.timedelta
    deadline: datetime.timedelta
    service_time: datetime.timedelta
    priority: int = 0
    from_target: bool = False
    organisation: str = ""


class QueueDiscipline(abc.ABC):
    """Ranks the queued calls and limits how long each one waits.

    A subclass declares ``name`` and ``doc`` for the settings.
    """

    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]

    @abc.abstractmethod
    def rank(self, call: QueuedCall, now: datetime.timedelta) -> Rank:
        """Return the sort key of ``call``; the lowest is served first."""

    def ranks(
        self,
        calls: collections_abc.Sequence[QueuedCall],
        now: datetime.timedelta,
    ) -> list[Rank]:
        """Return the sort keys of ``calls``, all of those that wait."""
        return [self.rank(call, now) for call in calls]

    def next_call(
        self,
        calls: collections_abc.Sequence[QueuedCall],
        now: datetime.timedelta,
    ) -> QueuedCall:
        """Return which of ``calls`` gets the next slot."""
        return min(calls, key=lambda call: self.rank(call, now))

    def on_arrival(self, call: QueuedCall, now: datetime.timedelta) -> None:
        """Learn that ``call`` has come, before it waits or is refused."""
        return None

    def on_granted(
        self,
        call: QueuedCall,
        waiting: collections_abc.Sequence[QueuedCall],
        now: datetime.timedelta,
    ) -> None:
        """Learn that ``call`` got a slot while the others are waiting."""
        return None

    def on_left(
        self,
        call: QueuedCall,
        waiting: collections_abc.Sequence[QueuedCall],
        now: datetime.timedelta,
    ) -> None:
        """Learn that ``call`` left the others without having got a slot."""
        return None

    def displaced(
        self,
        calls: collections_abc.Sequence[QueuedCall],
        call: QueuedCall,
        ranks: collections_abc.Sequence[Rank],
    ) -> QueuedCall | None:
        """Return which of ``calls`` in a full queue gives way to ``call``.

        ``ranks`` are those of ``calls`` and of ``call``, which is the last.
        """
        return None

    @abc.abstractmethod
    def max_wait(
        self, call: QueuedCall, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long ``call`` may wait from ``now`` on.

        A call that is expected to wait longer is refused at once.
        """

    def punctual_wait(
        self, call: QueuedCall, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long ``call`` may wait and still meet its objective.

        At the end of this time it is refused if its level makes it wait too
        long. It is at most ``max_wait``, the default.
        """
        return self.max_wait(call, now)

    def level(
        self, call: QueuedCall, now: datetime.timedelta, late: bool = False
    ) -> Rank:
        """Return the part of the rank that no arrival order changes.

        Calls of a lower level overtake those of a higher one that arrived
        before them. ``late`` asks for the level that the call has once it
        can't meet its objective. By default no call overtakes another.
        """
        return ()
