"""Base class of the target pickers, and the statistics they use."""

import abc
from collections import abc as collections_abc
import datetime
import enum
import random
import typing

import attrs

from balsamramp_wire import messages

__all__ = [
    "DEFAULT_PICK_INFO",
    "Candidate",
    "DoneInfo",
    "EjectionReason",
    "TargetPicker",
    "TargetStats",
    "PickInfo",
]

CONSECUTIVE_FAILURES_MAX = 5
BASE_EJECTION_TIME = datetime.timedelta(seconds=1)
EJECTION_DOUBLINGS_MAX = 5
LATENCY_FLOOR = datetime.timedelta(milliseconds=1)
LATENCY_HALF_LIFE = datetime.timedelta(seconds=5)
LATENCY_WEIGHT = 0.2
# Classes of the age of a load report in the metrics: the upper bounds.
LOAD_AGE_CLASSES_SECONDS = (0.1, 0.3, 1.0, 3.0)


class DoneInfo(enum.Enum):
    """How a call to a target ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    UNREACHABLE = "unreachable"


class EjectionReason(enum.Enum):
    """Why a target is left out for a while."""

    FAILING = "failing"
    UNREACHABLE = "unreachable"


@attrs.define
class TargetStats:
    """Statistics of a target from this node's own calls to it.

    ``in_flight`` counts the calls of this node. ``load`` is the last load
    that the target's node sent with a reply: received at
    ``load_received_at``, with ``in_flight_at_load`` calls of this node in
    flight. ``latency`` is a peak-sensitive moving average: it rises at once
    with a slow response and decays slowly. ``ejected_until`` is set after
    consecutive failures or if the target is unreachable; after that time,
    one call at a time probes it.
    """

    in_flight: int = 0
    load: messages.Load | None = None
    load_received_at: datetime.timedelta = datetime.timedelta()
    in_flight_at_load: int = 0
    consecutive_failures: int = 0
    latency: datetime.timedelta = datetime.timedelta()
    latency_at: datetime.timedelta = datetime.timedelta()
    refused_at: datetime.timedelta | None = None
    ejected_until: datetime.timedelta | None = None

    def record_start(self, now: datetime.timedelta) -> None:
        """Record that a call is sent to the target."""
        self.in_flight += 1

    def record_cancelled(self) -> None:
        """Record that a call was cancelled, without a result."""
        self.in_flight -= 1

    def record_result(
        self,
        now: datetime.timedelta,
        latency: datetime.timedelta,
        done_info: DoneInfo,
        load: messages.Load,
    ) -> EjectionReason | None:
        """Record the result of a call.

        If it ejects the target, returns the reason.
        """
        self.in_flight -= 1
        if load.limit:
            self.load = load
            self.load_received_at = now
            self.in_flight_at_load = self.in_flight
        if done_info is DoneInfo.REFUSED:
            self.refused_at = now
            return None
        if done_info is DoneInfo.UNREACHABLE:
            self.ejected_until = now + BASE_EJECTION_TIME
            return EjectionReason.UNREACHABLE
        self._update_latency(now, latency)
        if done_info is DoneInfo.ANSWERED:
            self.consecutive_failures = 0
            self.ejected_until = None
            return None
        self.consecutive_failures += 1
        excess_failures = self.consecutive_failures - CONSECUTIVE_FAILURES_MAX
        if excess_failures < 0:
            return None
        wait = BASE_EJECTION_TIME * 2 ** min(
            excess_failures, EJECTION_DOUBLINGS_MAX
        )
        self.ejected_until = now + wait
        return EjectionReason.FAILING

    def is_ejected(self, now: datetime.timedelta) -> bool:
        """Return whether the target is ejected.

        After ``ejected_until`` it stays ejected while a probe is in flight.
        """
        if self.ejected_until is None:
            return False
        return now < self.ejected_until or self.in_flight > 0

    def load_age(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Return the age of the load, or None without a load."""
        if self.load is None:
            return None
        return now - self.load_received_at

    def load_age_class(self, now: datetime.timedelta) -> str:
        """Return the class of the age of the load, for the metrics.

        That is its upper bound in seconds, ``older`` or ``none``.
        """
        age = self.load_age(now)
        if age is None:
            return "none"
        seconds = age.total_seconds()
        for bound in LOAD_AGE_CLASSES_SECONDS:
            if seconds <= bound:
                return f"{bound:g}"
        return "older"

    def expected_latency(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return the latency, decayed by the age of the last sample."""
        age = (now - self.latency_at) / LATENCY_HALF_LIFE
        return max(self.latency * 0.5**age, LATENCY_FLOOR)

    def _update_latency(
        self, now: datetime.timedelta, latency: datetime.timedelta
    ) -> None:
        previous = self.expected_latency(now)
        self.latency_at = now
        if latency > previous:
            self.latency = latency
            return
        self.latency = previous + (latency - previous) * LATENCY_WEIGHT


@attrs.frozen(eq=False)
class Candidate:
    """A target that matches the call, with its node and statistics."""

    member: messages.Member
    record: messages.TargetRecord
    stats: TargetStats


@attrs.frozen(kw_only=True)
class PickInfo:
    """Properties of a call that the pick depends on.

    ``large`` states that the response is large, so that the cost of the
    network path matters.
    """

    large: bool = False


DEFAULT_PICK_INFO = PickInfo()


class TargetPicker(abc.ABC):
    """Picks one of the targets that match a call.

    The pick is a hint: the target's own node decides whether to accept
    the call. A subclass declares ``name`` and ``doc``.
    """

    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._random = rng

    @abc.abstractmethod
    def pick(
        self,
        candidates: collections_abc.Sequence[Candidate],
        now: datetime.timedelta,
        pick_info: PickInfo = DEFAULT_PICK_INFO,
    ) -> Candidate:
        """Return one of ``candidates``, which is not empty."""
