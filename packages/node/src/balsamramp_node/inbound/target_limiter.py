"""Gate: base class of what lets calls through to one target."""

import abc
import datetime
import typing

from balsamramp_core import verdict
from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import targets
from balsamramp_wire import messages

__all__ = ["TargetLimiter", "no_slot_failure"]


class TargetLimiter(abc.ABC):
    """Admits calls to a target one by one.

    A call asks ``refusal`` first, then waits in ``enter``; one that came
    through ends with ``finish`` if it reached the target, or ``leave`` if
    not. A subclass declares ``name`` and ``doc`` for the settings.
    """

    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]

    def __init__(self, announcement: targets.Announcement) -> None:
        self._instance = announcement.instance

    @property
    def instance(self) -> str:
        """Return the start of the target that the gate learnt from."""
        return self._instance

    @abc.abstractmethod
    def load(self) -> messages.Load:
        """Return the state that callers' nodes are told."""

    @abc.abstractmethod
    def announce(self, announcement: targets.Announcement) -> None:
        """Take in what the target says of itself now."""

    def assume_cold(self) -> None:
        """Treat the target as cold until it says otherwise."""
        return None

    @abc.abstractmethod
    def refusal(
        self, request: messages.CallRequest, time_left: datetime.timedelta
    ) -> verdict.Failure | None:
        """Return why a call with ``time_left`` to go would wait in vain."""

    @abc.abstractmethod
    async def acquire(
        self, request: messages.CallRequest, deadline: datetime.timedelta
    ) -> verdict.Failure | None:
        """Wait for a slot; a failure when there was none in time."""

    @abc.abstractmethod
    def release(self) -> None:
        """Give the slot back of a call that never reached the target."""

    @abc.abstractmethod
    def finish(
        self,
        request: messages.CallRequest,
        latency: datetime.timedelta,
        outcome: concurrency_limit.CallOutcome,
    ) -> None:
        """Learn from a call that ended; give its slot back."""


def no_slot_failure(text: str, wait: datetime.timedelta) -> verdict.Failure:
    """Return the refusal of a call for lack of a slot."""
    return verdict.Failure(
        verdict.Verdict.NOT_RUN, verdict.Reason.OVERLOADED, text, wait
    )
