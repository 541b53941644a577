"""Journal: the calls that a door took in or refused, by identifier."""

import asyncio
import datetime
import heapq

import attrs

from balsamramp_node.inbound import response_cache
from balsamramp_node.outbound import call_transport
from balsamramp_wire import messages

__all__ = ["CachedCall", "DeduplicationCache", "CallKey", "call_key"]

EXPIRY_MARGIN = datetime.timedelta(seconds=10)
STEP_MAX = datetime.timedelta(seconds=1)
ENTRIES_MAX = 100_000

CallKey = tuple[str, str]


def call_key(request: messages.CallRequest) -> CallKey:
    """Return what tells a call to a target from all others."""
    return request.call_id, request.target


@attrs.define(eq=False, kw_only=True)
class CachedCall(response_cache.ResponseHolder):
    """One call: the task that runs it, then its reply.

    ``waiting`` counts those who wait for the reply, ``sent`` tells that
    the target may have seen the call, and ``repeatable`` that it may run
    again.
    """

    task: asyncio.Task[call_transport.Reply] | None = None
    waiting: int = 0
    sent: bool = False
    repeatable: bool = False


class DeduplicationCache:
    """Remembers calls until no copy of their message can be accepted.

    All copies of a message carry the same deadline, and a copy that
    arrives after it is refused. So an entry is kept until the call's
    deadline and ``EXPIRY_MARGIN`` beyond it, which covers the error in the
    estimate of a message's age. Time during which the process was
    stopped does not count: each step forward is at most ``STEP_MAX``,
    because copies may have waited in the sockets meanwhile.
    """

    def __init__(
        self,
        entries_max: int = ENTRIES_MAX,
        cache_max_bytes: int = response_cache.RESPONSE_CACHE_MAX_BYTES,
    ) -> None:
        self._entries_max = entries_max
        self._entries: dict[CallKey, CachedCall] = {}
        self._expiry: list[tuple[datetime.timedelta, CallKey]] = []
        self._answers = response_cache.ResponseCache(cache_max_bytes)
        self._time = datetime.timedelta()
        self._last = datetime.timedelta()

    @property
    def full(self) -> bool:
        """Tell whether no further call can be remembered."""
        return len(self._entries) >= self._entries_max

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, key: CallKey) -> CachedCall | None:
        """Return the entry of ``key``, if it is remembered."""
        return self._entries.get(key)

    def add(
        self, key: CallKey, entry: CachedCall, time_left: datetime.timedelta
    ) -> None:
        """Remember a call whose deadline is in ``time_left``."""
        self._entries[key] = entry
        heapq.heappush(
            self._expiry, (self._time + time_left + EXPIRY_MARGIN, key)
        )

    def finish(self, key: CallKey, reply: call_transport.Reply) -> None:
        """Keep the reply of a call that ended."""
        entry = self._entries.get(key)
        if entry is None:
            return
        entry.task = None
        self._answers.add(entry, reply)

    def expire_until(self, now: datetime.timedelta) -> None:
        """Move time on to ``now`` and forget what is too old."""
        step = now - self._last
        self._last = now
        self._time += min(step, STEP_MAX)
        while self._expiry and self._expiry[0][0] <= self._time:
            _, key = heapq.heappop(self._expiry)
            entry = self._entries.get(key)
            if entry is None:
                continue
            if entry.task is not None:
                heapq.heappush(self._expiry, (self._time + EXPIRY_MARGIN, key))
                continue
            del self._entries[key]
            self._answers.discard(entry)
