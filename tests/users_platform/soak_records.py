"""Soak records: what callers sent and got, and what operators did."""

import enum

import attrs

__all__ = ["Ending", "Exchange", "PlannedWork", "UnansweredCount", "WorkKind"]

# The longest that the routes of the soak allow a request, in seconds.
ROUTE_TIMEOUT_SECONDS = 3.0


class Ending(enum.Enum):
    """How a request of a caller ended."""

    OPEN = "not ended"
    UNREACHED = "no connection"
    ANSWERED = "whole answer"
    CLOSED = "connection closed without an answer"
    RESET = "connection reset"
    PARTIAL = "answer broken off"
    GIVEN_UP = "given up by the caller"
    LEFT = "left by the caller soon after it was sent"


# Endings that the node or its host brought about, with no whole answer.
LOST_ENDINGS = frozenset([Ending.CLOSED, Ending.RESET, Ending.PARTIAL])


@attrs.define(kw_only=True)
class Exchange:
    """A request of a caller and how it ended.

    ``caller`` tells the callers of a node apart.
    ``status`` is 0 if no whole answer came. ``asked_version`` is the
    configuration that first had its route, 0 for one there always was.
    ``whole_at`` is when its last byte was sent, 0 if it was not, and
    ``reused`` tells that its connection had carried an earlier request, and
    ``unread`` that the node stood still from before it was sent until its
    caller had left.
    """

    request_id: str
    node: str
    start: int
    path: str
    repeatable: bool
    caller: str = ""
    sent_at: float
    asked_version: int = 0
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    proof: str = ""
    timeout: float = 1.5
    whole_at: float = 0.0
    reused: bool = False
    unread: bool = False
    ending: Ending = Ending.OPEN

    @property
    def deadline_at(self) -> float:
        """Return when the time of the request is used up."""
        return self.sent_at + min(self.timeout, ROUTE_TIMEOUT_SECONDS)

    @property
    def lost_after(self) -> float | None:
        """Return how long after its last byte it was lost, or None."""
        if self.ending not in LOST_ENDINGS or not self.whole_at:
            return None
        return self.ended_at - self.whole_at


class WorkKind(enum.Enum):
    """What operators do to a fleet that runs."""

    STOP = "SIGTERM"
    RELOAD = "SIGHUP"
    CHANGE = "change of the configuration"


@attrs.frozen(kw_only=True)
class PlannedWork:
    """One signal to a node, or a change of the configuration for all."""

    kind: WorkKind
    at: float
    node: str = ""
    start: int = 0

    def concerns(self, exchange: Exchange) -> bool:
        """Tell whether the node that took a request was worked on."""
        if self.kind is WorkKind.CHANGE:
            return True
        return (self.node, self.start) == (exchange.node, exchange.start)


@attrs.frozen(kw_only=True)
class UnansweredCount:
    """How many requests one start of a node left unanswered, by reason."""

    node: str
    start: int
    at: float
    counted: dict[str, int]
