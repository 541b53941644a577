"""Admission: base class of the limits on calls in flight at a target."""

import abc
import datetime
import enum
import typing

__all__ = ["ConcurrencyLimit", "CallOutcome"]


class CallOutcome(enum.Enum):
    """How a call ended, as far as the limit is concerned.

    ERROR is a call that the target answered with a failure of its own.
    CONNECT_FAILED is a call for which no connection was made, INCOMPLETE one
    that it began and did not finish, and CANCELLED one that was ended
    from outside, by its caller or its deadline.
    """

    ANSWERED = "answered"
    ERROR = "error"
    SHED = "shed"
    CONNECT_FAILED = "failed"
    INCOMPLETE = "cut"
    CANCELLED = "cancelled"


class ConcurrencyLimit(abc.ABC):
    """Finds how many calls a target bears at once.

    A subclass declares ``name``, by which settings choose it, and
    ``doc``, one line for the operators' help.
    """

    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]

    def __init__(
        self,
        initial: int,
        warm_up: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        self._initial = initial
        self._warm_up = warm_up

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Return the number of calls that may be in flight now."""

    @abc.abstractmethod
    def finish(
        self,
        now: datetime.timedelta,
        latency: datetime.timedelta,
        outcome: CallOutcome,
        in_flight: int,
    ) -> None:
        """Learn from one call; ``in_flight`` counts it too."""

    @abc.abstractmethod
    def reset(self) -> None:
        """Forget what was learnt: the target is fresh again."""
