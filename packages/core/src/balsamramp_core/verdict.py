"""Verdict: whether a request may have run at its target."""

import datetime
import enum

import attrs

__all__ = ["Failure", "Reason", "Verdict"]


class Verdict(enum.Enum):
    """What is known about the execution of one request."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Reason(enum.Enum):
    """Why a request has no answer from its target."""

    BAD_REQUEST = "bad-request"
    CANCELLED = "cancelled"
    CONNECTION_LOST = "connection-lost"
    DEADLINE = "deadline"
    DRAINING = "draining"
    DUPLICATE = "duplicate"
    NO_TARGET = "no-target"
    NOT_READY = "not-ready"
    OVERLOADED = "overloaded"
    STALE_INCARNATION = "stale-incarnation"
    TARGET_FAILED = "target-failed"
    TOO_LARGE = "too-large"
    TRUNCATED = "truncated"
    UNKNOWN_SERVICE = "unknown-service"
    VERSION_EXCLUDED = "version-condemned"
    ZONE_OUT_OF_SERVICE = "zone-out"


@attrs.frozen
class Failure:
    """A request without an answer, and whether it may have run.

    ``retry_after`` is the shortest wait before another attempt makes
    sense, or None when the sender has no advice. ``offered`` tells that
    bytes of the request were sent to a target, which may have refused it.
    """

    verdict: Verdict
    reason: Reason
    message: str
    retry_after: datetime.timedelta | None = None
    offered: bool = False
