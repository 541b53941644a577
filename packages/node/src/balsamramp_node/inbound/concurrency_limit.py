"""Base class of the limits on calls in flight at a target."""

import abc
import datetime
import enum
import typing

__all__ = ["CallOutcome", "ConcurrencyLimit", "OUTCOMES_WITHOUT_EVIDENCE"]


class CallOutcome(enum.Enum):
    """How a call ended, as seen by the concurrency limit.

    ERROR is a response with a server error. CONNECT_FAILED is a call for
    which no connection was made, INCOMPLETE one whose response was not
    received whole, and CANCELLED one that its caller or its deadline
    ended. NOT_SENT is a call that this node had no resources to send, which
    tells nothing about the target.
    """

    ANSWERED = "answered"
    ERROR = "error"
    SHED = "shed"
    CONNECT_FAILED = "failed"
    INCOMPLETE = "cut"
    CANCELLED = "cancelled"
    NOT_SENT = "not-sent"


OUTCOMES_WITHOUT_EVIDENCE = frozenset(
    [CallOutcome.CANCELLED, CallOutcome.NOT_SENT]
)


class ConcurrencyLimit(abc.ABC):
    """Determines how many calls a target can serve at once.

    A subclass declares ``name``, by which the settings select it, and
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
        """Return how many calls may be in flight now."""

    @abc.abstractmethod
    def finish(
        self,
        now: datetime.timedelta,
        latency: datetime.timedelta,
        outcome: CallOutcome,
        in_flight: int,
    ) -> None:
        """Update the limit after a call, which ``in_flight`` includes."""

    @abc.abstractmethod
    def reset(self) -> None:
        """Return to the initial state, as for a newly started target."""
