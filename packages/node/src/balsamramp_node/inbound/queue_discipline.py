"""Queue order: base class of who goes first at a target that is full."""

import abc
import datetime
import typing

import attrs

__all__ = ["QueueDiscipline", "QueuedCall"]

Rank = tuple[float, ...]


@attrs.frozen(eq=False, kw_only=True)
class QueuedCall:
    """A call that asks for a slot.

    ``service`` is the time that it will probably take at the target.
    ``objective_at`` is when its answer begins to be worth less, and
    ``deadline`` when nobody waits for it any more; both, like
    ``arrived_at``, by the clock of the door. ``number`` rises with each
    arrival.
    """

    number: int
    arrived_at: datetime.timedelta
    objective_at: datetime.timedelta
    deadline: datetime.timedelta
    service_time: datetime.timedelta
    priority: int = 0
    from_target: bool = False


class QueueDiscipline(abc.ABC):
    """Ranks calls that wait, and says how long one is kept waiting.

    A subclass declares ``name`` and ``doc`` for the settings.
    """

    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]

    @abc.abstractmethod
    def rank(self, waiter: QueuedCall, now: datetime.timedelta) -> Rank:
        """Return the key by which waiters are served, lowest first."""

    @abc.abstractmethod
    def max_wait(
        self, waiter: QueuedCall, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long ``waiter`` is kept waiting from ``now`` on.

        A call whose turn will probably come later is refused at once.
        """
