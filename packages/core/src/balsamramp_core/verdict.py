"""States whether a request may have run at its target."""

import datetime
import enum

import attrs

__all__ = ["Failure", "Reason", "Verdict"]


class Verdict(enum.Enum):
    """Knowledge about the execution of a request at its target."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Reason(enum.Enum):
    """Reason why a request has no response from its target."""

    BAD_REQUEST = "bad-request"
    CANCELLED = "cancelled"
    CONNECTION_LOST = "connection-lost"
    DEADLINE = "deadline"
    DRAINING = "draining"
    DUPLICATE = "duplicate"
    NO_MEMORY = "no-memory"
    NO_TARGET = "no-target"
    NOT_READY = "not-ready"
    OVERLOADED = "overloaded"
    STALE_INCARNATION = "stale-incarnation"
    TARGET_FAILED = "target-failed"
    TOO_LARGE = "too-large"
    TRUNCATED = "truncated"
    UNKNOWN_KEY = "unknown-key"
    UNKNOWN_SERVICE = "unknown-service"
    VERSION_EXCLUDED = "version-condemned"
    ZONE_OUT_OF_SERVICE = "zone-out"


@attrs.frozen
class Failure:
    """A request without a response, and whether it may have run.

    ``retry_after`` is the minimum delay before another attempt, or None if
    the sender recommends none. ``offered`` is true if bytes of the request
    were sent to a target, which may have refused it.
    """

    verdict: Verdict
    reason: Reason
    message: str
    retry_after: datetime.timedelta | None = None
    offered: bool = False
