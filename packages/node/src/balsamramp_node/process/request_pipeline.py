"""Order of the requests of one connection and of their responses."""

import asyncio
import collections
from collections import abc

import attrs

from balsamramp_node.process import caller_messages
from balsamramp_node.process import request_reader

__all__ = ["PipelinedRequest", "RequestPipeline"]

# RFC 9110, section 9.2.1.
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))


@attrs.define(eq=False)
class PipelinedRequest:
    """A complete request whose response is not written yet."""

    received: request_reader.ReceivedRequest
    task: asyncio.Task[None] | None = None
    response: caller_messages.EncodedResponse | None = None

    @property
    def safe(self) -> bool:
        """Return whether the request may run beside others."""
        return self.received.request.method in SAFE_METHODS


class RequestPipeline:
    """Decides which requests of a connection run and which are answered.

    Safe requests run side by side, up to ``started_max`` without a written
    response. Another one starts when all requests before it are answered,
    and those behind it wait for it (RFC 9112, section 9.3.2). Responses are
    taken in the order of their requests.
    """

    def __init__(self, started_max: int) -> None:
        self._started_max = started_max
        # An unsafe request is in it only alone.
        self._started: collections.deque[PipelinedRequest] = (
            collections.deque()
        )
        self._waiting: collections.deque[PipelinedRequest] = (
            collections.deque()
        )
        self._running = 0
        self._held_bytes = 0
        self._side_by_side = True

    def __len__(self) -> int:
        """Return how many requests have no written response."""
        return len(self._started) + len(self._waiting)

    @property
    def started(self) -> abc.Collection[PipelinedRequest]:
        """Return the started requests without a written response."""
        return self._started

    @property
    def waiting(self) -> abc.Collection[PipelinedRequest]:
        """Return the requests that were not started."""
        return self._waiting

    @property
    def may_start(self) -> bool:
        """Return whether the next request may start."""
        return bool(self._waiting) and self._may_start(self._waiting[0])

    @property
    def running(self) -> bool:
        """Return whether a request has no response yet."""
        return self._running > 0

    @property
    def held_bytes(self) -> int:
        """Return the size of the responses that are not written."""
        return self._held_bytes

    def run_one_by_one(self) -> None:
        """Start each further request only once none is left before it."""
        self._side_by_side = False

    def add(self, received: request_reader.ReceivedRequest) -> None:
        """Append a request."""
        self._waiting.append(PipelinedRequest(received))

    def start_next(self) -> PipelinedRequest | None:
        """Return the next request if it may start, which starts it."""
        if not self.may_start:
            return None
        item = self._waiting.popleft()
        self._started.append(item)
        self._running += 1
        return item

    def _may_start(self, item: PipelinedRequest) -> bool:
        if not self._started:
            return True
        if not self._side_by_side or len(self._started) >= self._started_max:
            return False
        return item.safe and self._started[0].safe

    def finish(
        self,
        item: PipelinedRequest,
        response: caller_messages.EncodedResponse,
    ) -> None:
        """Hold the response of a started request until its turn."""
        item.task = None
        item.response = response
        self._running -= 1
        self._held_bytes += response.size

    def next_response(
        self,
    ) -> tuple[PipelinedRequest, caller_messages.EncodedResponse] | None:
        """Remove and return the first request if its response is there."""
        if not self._started:
            return None
        item = self._started[0]
        if item.response is None:
            return None
        self._started.popleft()
        self._held_bytes -= item.response.size
        item.received.release()
        return item, item.response

    def close(self) -> None:
        """Cancel what runs and release the memory of all requests."""
        for item in (*self._started, *self._waiting):
            if item.task is not None:
                item.task.cancel()
            item.received.release()
        self._started.clear()
        self._waiting.clear()
        self._running = self._held_bytes = 0
