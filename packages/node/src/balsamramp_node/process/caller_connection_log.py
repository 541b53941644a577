"""Counts and logs failures to respond to callers."""

from collections import abc
import datetime
import enum
import http

from balsamramp_core import metrics
from balsamramp_node.process import decision_log

__all__ = [
    "CallerConnectionLog",
    "CloseSeen",
    "HandlerFailure",
    "UnansweredReason",
]

MILLISECOND = datetime.timedelta(milliseconds=1)
# From this delay on, a caller may have given up a request before it starts.
LATE_START_SECONDS = 0.25


def _no_delay() -> float:
    return 0.0


class CloseSeen(enum.Enum):
    """How the close of a caller became known; a label of the counter."""

    READ = "read"
    BEHIND_DATA = "behind-data"


class UnansweredReason(enum.Enum):
    """Why a complete request got no response; a label of the counter."""

    CALLER_CLOSED = "caller-closed"
    TRANSPORT_ERROR = "transport-error"
    SHUTDOWN = "shutdown"
    IDLE_TIMEOUT = "idle-timeout"
    CONNECTION_LIMIT = "connection-limit"
    NO_MEMORY = "no-memory"
    UNEXPECTED_ERROR = "unexpected-error"


class HandlerFailure(enum.Enum):
    """Why a handler returned no usable response; a label of the counter."""

    CANCELLED = "cancelled"
    EXCEPTION = "exception"
    INVALID_RESPONSE = "invalid-response"


class CallerConnectionLog:
    """Records how the connections of callers end.

    ``request_id_header`` is the name of the header with the caller's
    identifier of a request, in lower case. ``loop_delay`` returns how many
    seconds data may have waited in the sockets.
    """

    def __init__(
        self,
        counters: metrics.Metrics,
        decisions: decision_log.DecisionLog,
        request_id_header: str,
        loop_delay: abc.Callable[[], float] = _no_delay,
    ) -> None:
        self._loop_delay = loop_delay
        self._metrics = counters
        self._decisions = decisions
        self._request_id_header = request_id_header.encode()

    def request_id(self, headers: list[tuple[bytes, bytes]]) -> bytes:
        """Return the caller's identifier of a request, empty without one."""
        for name, value in headers:
            if name == self._request_id_header:
                return value
        return b""

    def record_start(
        self,
        headers: list[tuple[bytes, bytes]],
        waited_seconds: float,
    ) -> None:
        """Record a request that starts long after it may have arrived.

        ``waited_seconds`` is the time since it was read.
        """
        loop_delay = self._loop_delay()
        if max(loop_delay, waited_seconds) < LATE_START_SECONDS:
            return
        self._metrics.count("late_starts_total", source="caller")
        self._decisions.write(
            "late_start",
            request_id=self.request_id(headers).decode("latin-1"),
            loop_delay_ms=round(loop_delay * 1000, 1),
            waited_ms=round(waited_seconds * 1000, 1),
        )

    def record_departed(self, seen: CloseSeen, requests: int) -> None:
        """Record a caller that closes while ``requests`` have no response."""
        self._metrics.count("departed_callers_total", seen=seen.value)
        self._decisions.write(
            "caller_departed",
            seen=seen.value,
            requests=requests,
            loop_delay_ms=round(self._loop_delay() * 1000, 1),
        )

    def record_unanswered(
        self,
        request_id: bytes,
        reason: UnansweredReason,
        open_for: datetime.timedelta,
        started: bool,
    ) -> None:
        """Record a complete request whose response does not arrive whole.

        ``open_for`` is the time since it was received, ``started`` tells
        whether its handler was called.
        """
        self._metrics.count("unanswered_requests_total", reason=reason.value)
        self._decisions.write(
            "unanswered",
            request_id=request_id.decode("latin-1"),
            reason=reason.value,
            milliseconds=round(open_for / MILLISECOND, 1),
            started=started,
        )

    def record_rejected(self, status: http.HTTPStatus) -> None:
        """Record a request that was rejected before it was complete."""
        self._metrics.count(
            "rejected_requests_total", status=str(status.value)
        )

    def record_handler_failure(self, cause: HandlerFailure) -> None:
        """Record a request that gets a failure in place of a response."""
        self._metrics.count("handler_failures_total", cause=cause.value)

    def record_drained(self, open_count: int, busy: int, aborted: int) -> None:
        """Record the connections at the start and the end of a shutdown.

        ``open_count`` and ``busy`` count those that were open and those with
        a request when it began; ``aborted`` counts those that it cut off.
        """
        self._decisions.write(
            "callers_drained", open=open_count, busy=busy, aborted=aborted
        )
