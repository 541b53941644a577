"""Remembers the calls of the inbound side, to detect repeated messages."""

import asyncio
import datetime
import heapq

import attrs

from balsamramp_node.inbound import response_cache
from balsamramp_node.inbound import waiting_callers
from balsamramp_node.outbound import call_transport
from balsamramp_wire import messages

__all__ = ["CachedCall", "DeduplicationCache", "CallKey", "call_key"]

EXPIRY_MARGIN = datetime.timedelta(seconds=10)
TIME_STEP_MAX = datetime.timedelta(seconds=1)
CACHE_ENTRIES_MAX = 100_000

CallKey = tuple[str, str]


def call_key(request: messages.CallRequest) -> CallKey:
    """Return the identity of a call: its id and its target."""
    return request.call_id, request.target


@attrs.define(eq=False, kw_only=True)
class CachedCall(response_cache.ResponseHolder):
    """One call: the task that runs it, then its reply.

    ``waiter_count`` is the number of callers waiting for the reply,
    ``sent`` is set once the target may have received the call,
    ``idempotent`` if the call may run again, and ``drained`` if it is ended
    because the node stops. ``callers`` are those that wait while it runs,
    and ``sent_at`` is when the target was sent a call that arrived ``late``.
    """

    task: asyncio.Task[call_transport.Reply] | None = None
    waiter_count: int = 0
    sent: bool = False
    idempotent: bool = False
    drained: bool = False
    callers: waiting_callers.WaitingCallers | None = None
    sent_at: datetime.timedelta | None = None
    late: bool = False


class DeduplicationCache:
    """Remembers calls until no copy of their message can be accepted.

    All copies of a message have the same deadline, and a copy that
    arrives after it is refused. So an entry is kept until
    ``EXPIRY_MARGIN`` after the call's deadline, which covers the error in
    the estimated age of a message. Time during which the process was
    paused does not count, because copies may wait in the socket buffers
    meanwhile: each update advances by at most ``TIME_STEP_MAX``.
    """

    def __init__(
        self,
        entries_max: int = CACHE_ENTRIES_MAX,
        cache_max_bytes: int = response_cache.RESPONSE_CACHE_MAX_BYTES,
    ) -> None:
        self._entries_max = entries_max
        self._entries: dict[CallKey, CachedCall] = {}
        self._expiry: list[tuple[datetime.timedelta, CallKey]] = []
        self._responses = response_cache.ResponseCache(cache_max_bytes)
        self._active_time = datetime.timedelta()
        self._last_update_at = datetime.timedelta()

    @property
    def is_full(self) -> bool:
        """Return whether the cache holds its maximum of entries."""
        return len(self._entries) >= self._entries_max

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, key: CallKey) -> CachedCall | None:
        """Return the entry of ``key``, or None."""
        return self._entries.get(key)

    def add(
        self, key: CallKey, entry: CachedCall, time_left: datetime.timedelta
    ) -> None:
        """Add a call whose deadline is ``time_left`` from now."""
        self._entries[key] = entry
        heapq.heappush(
            self._expiry, (self._active_time + time_left + EXPIRY_MARGIN, key)
        )

    def finish(self, key: CallKey, reply: call_transport.Reply) -> None:
        """Store the reply of a call that ended."""
        entry = self._entries.get(key)
        if entry is None:
            return
        entry.task = entry.callers = None
        self._responses.add(entry, reply)

    def expire_until(self, now: datetime.timedelta) -> None:
        """Advance the time to ``now`` and remove expired entries."""
        elapsed = now - self._last_update_at
        self._last_update_at = now
        self._active_time += min(elapsed, TIME_STEP_MAX)
        while self._expiry and self._expiry[0][0] <= self._active_time:
            _, key = heapq.heappop(self._expiry)
            entry = self._entries.get(key)
            if entry is None:
                continue
            if entry.task is not None:
                heapq.heappush(
                    self._expiry, (self._active_time + EXPIRY_MARGIN, key)
                )
                continue
            del self._entries[key]
            self._responses.discard(entry)
