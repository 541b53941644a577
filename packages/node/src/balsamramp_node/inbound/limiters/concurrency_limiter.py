"""Limits the calls to a target by a concurrency limit."""

import asyncio
import datetime
import heapq
import itertools

from balsamramp_core import clock
from balsamramp_core import verdict
from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import target_limiter
from balsamramp_node.inbound import targets
from balsamramp_wire import messages

__all__ = ["ConcurrencyLimiter"]

QUEUE_MAX_CALLS = 100
# Share of the time left that a call may spend in the queue.
QUEUE_WAIT_SHARE = 0.1
# Weight of the last call in the mean latency.
LATENCY_WEIGHT = 0.1

_QueueEntry = tuple[datetime.timedelta, int, asyncio.Future[None]]


class ConcurrencyLimiter(target_limiter.TargetLimiter):
    """Admits calls to a target up to its concurrency limit.

    A call is queued if its expected wait is at most ``QUEUE_WAIT_SHARE``
    of its time left and fewer than ``QUEUE_MAX_CALLS`` are queued. The
    call with the earliest deadline is admitted first.
    """

    name = "limit"
    doc = "adaptive limit on concurrent calls, earliest deadline first"

    def __init__(
        self,
        announcement: targets.Announcement,
        limit: concurrency_limit.ConcurrencyLimit,
        time: clock.Clock,
    ) -> None:
        super().__init__(announcement)
        self._clock = time
        self._queue: list[_QueueEntry] = []
        self._numbers = itertools.count()
        self._mean_latency = datetime.timedelta()
        self._limit = limit
        self._in_flight = 0

    def load(self) -> messages.Load:
        return messages.Load(self._in_flight, self._limit.limit)

    def announce(self, announcement: targets.Announcement) -> None:
        if announcement.instance != self._instance:
            self._instance = announcement.instance
            self._limit.reset()

    def refusal(
        self, request: messages.CallRequest, time_left: datetime.timedelta
    ) -> verdict.Failure | None:
        if self._in_flight < self._limit.limit:
            return None
        full = len(self._queue) >= QUEUE_MAX_CALLS
        if not full and self._expected_wait() <= time_left * QUEUE_WAIT_SHARE:
            return None
        text = f"target {request.target} has no free slot"
        return target_limiter.no_slot_failure(text, self._expected_wait())

    async def acquire(
        self, request: messages.CallRequest, deadline: datetime.timedelta
    ) -> verdict.Failure | None:
        if await self._acquire_slot(deadline):
            return None
        text = f"no slot of target {request.target} became free in time"
        return target_limiter.no_slot_failure(text, self._expected_wait())

    def release(self) -> None:
        self._in_flight -= 1
        self._admit_queued()

    def finish(
        self,
        request: messages.CallRequest,
        latency: datetime.timedelta,
        outcome: concurrency_limit.CallOutcome,
    ) -> None:
        now = self._clock.monotonic()
        self._limit.finish(now, latency, outcome, self._in_flight)
        self._mean_latency += (latency - self._mean_latency) * LATENCY_WEIGHT
        self.release()

    def _expected_wait(self) -> datetime.timedelta:
        """Return the expected wait of a call that arrives now."""
        if self._in_flight < self._limit.limit:
            return datetime.timedelta()
        position = len(self._queue) + 1
        return self._mean_latency * (position / max(self._limit.limit, 1))

    async def _acquire_slot(self, deadline: datetime.timedelta) -> bool:
        if self._in_flight < self._limit.limit:
            self._in_flight += 1
            return True
        time_left = deadline - self._clock.monotonic()
        wait = time_left * QUEUE_WAIT_SHARE
        slot: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (deadline, next(self._numbers), slot))
        try:
            async with asyncio.timeout(wait.total_seconds()):
                await slot
        except TimeoutError:
            return self._granted_else_dequeue(slot)
        except asyncio.CancelledError:
            if self._granted_else_dequeue(slot):
                self.release()
            raise
        return True

    def _granted_else_dequeue(self, slot: asyncio.Future[None]) -> bool:
        """Return whether the slot was granted; if not, leave the queue."""
        if slot.done() and not slot.cancelled():
            return True
        slot.cancel()
        self._queue = [item for item in self._queue if item[2] != slot]
        heapq.heapify(self._queue)
        return False

    def _admit_queued(self) -> None:
        while self._queue and self._in_flight < self._limit.limit:
            _, _, slot = heapq.heappop(self._queue)
            if slot.done():
                continue
            self._in_flight += 1
            slot.set_result(None)
