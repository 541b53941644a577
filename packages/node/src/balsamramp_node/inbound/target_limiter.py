"""Base class of the limiters that admit calls to one target."""

import abc
import datetime
import typing

from balsamramp_core import verdict
from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import targets
from balsamramp_wire import messages

__all__ = ["TargetLimiter", "no_slot_failure"]


class TargetLimiter(abc.ABC):
    """Admits calls to one target.

    For each call, ``refusal`` is checked first, then ``acquire`` waits for
    a slot. An acquired slot is returned by ``finish`` if the call was sent
    to the target, else by ``release``. A subclass declares ``name`` and
    ``doc`` for the settings.
    """

    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]

    def __init__(self, announcement: targets.Announcement) -> None:
        self._instance = announcement.instance

    @property
    def instance(self) -> str:
        """Return the target instance that the estimates belong to."""
        return self._instance

    @abc.abstractmethod
    def load(self) -> messages.Load:
        """Return the load that is reported to the callers' nodes."""

    @abc.abstractmethod
    def announce(self, announcement: targets.Announcement) -> None:
        """Update the limiter from the target's last announcement."""

    def assume_cold(self) -> None:
        """Treat the target as cold until its next announcement."""
        return None

    def set_rate_limit(
        self, rate: float | None, sent_at: datetime.timedelta
    ) -> None:
        """Apply the calls per second that the target states, None for any.

        It was stated in the response to a request that was ``sent_at``.
        """
        return None

    @abc.abstractmethod
    def refusal(
        self, request: messages.CallRequest, time_left: datetime.timedelta
    ) -> verdict.Failure | None:
        """Return why a call with ``time_left`` would get no slot, or None."""

    @abc.abstractmethod
    async def acquire(
        self, request: messages.CallRequest, deadline: datetime.timedelta
    ) -> verdict.Failure | None:
        """Wait for a slot; return a failure if none is free in time."""

    @abc.abstractmethod
    def release(self) -> None:
        """Release the slot of a call that was not sent to the target."""

    @abc.abstractmethod
    def finish(
        self,
        request: messages.CallRequest,
        latency: datetime.timedelta,
        outcome: concurrency_limit.CallOutcome,
    ) -> None:
        """Update the estimates after a call and release its slot."""


def no_slot_failure(text: str, wait: datetime.timedelta) -> verdict.Failure:
    """Return the failure of a call that got no slot.

    ``wait`` is after how long the caller should retry.
    """
    return verdict.Failure(
        verdict.Verdict.NOT_RUN, verdict.Reason.OVERLOADED, text, wait
    )
