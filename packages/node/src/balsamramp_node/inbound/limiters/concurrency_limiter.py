"""By limit: a gate with a learnt limit and a short queue."""

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
QUEUE_WAIT_SHARE = 0.1
LATENCY_WEIGHT = 0.1

_Waiter = tuple[datetime.timedelta, int, asyncio.Future[None]]


class ConcurrencyLimiter(target_limiter.TargetLimiter):
    """Lets calls to a target through up to its admission limit.

    A call waits if it will probably get its turn within
    ``QUEUE_WAIT_SHARE`` of the time that it has left; at most
    ``QUEUE_MAX_CALLS`` do. The one whose deadline is nearest goes first.
    """

    name = "limit"
    doc = "a learnt limit on calls at once, nearest deadline first"

    def __init__(
        self,
        announcement: targets.Announcement,
        limit: concurrency_limit.ConcurrencyLimit,
        time: clock.Clock,
    ) -> None:
        super().__init__(announcement)
        self._clock = time
        self._waiting: list[_Waiter] = []
        self._numbers = itertools.count()
        self._latency = datetime.timedelta()
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
        full = len(self._waiting) >= QUEUE_MAX_CALLS
        if not full and self._wait() <= time_left * QUEUE_WAIT_SHARE:
            return None
        text = f"target {request.target} has no free slot"
        return target_limiter.no_slot_failure(text, self._wait())

    async def acquire(
        self, request: messages.CallRequest, deadline: datetime.timedelta
    ) -> verdict.Failure | None:
        if await self._enter(deadline):
            return None
        text = f"no slot of target {request.target} came free"
        return target_limiter.no_slot_failure(text, self._wait())

    def release(self) -> None:
        self._in_flight -= 1
        self._admit_waiting()

    def finish(
        self,
        request: messages.CallRequest,
        latency: datetime.timedelta,
        outcome: concurrency_limit.CallOutcome,
    ) -> None:
        now = self._clock.monotonic()
        self._limit.finish(now, latency, outcome, self._in_flight)
        self._latency += (latency - self._latency) * LATENCY_WEIGHT
        self.release()

    def _wait(self) -> datetime.timedelta:
        """Return how long a call would probably wait now."""
        if self._in_flight < self._limit.limit:
            return datetime.timedelta()
        turn = len(self._waiting) + 1
        return self._latency * (turn / max(self._limit.limit, 1))

    async def _enter(self, deadline: datetime.timedelta) -> bool:
        if self._in_flight < self._limit.limit:
            self._in_flight += 1
            return True
        time_left = deadline - self._clock.monotonic()
        wait = time_left * QUEUE_WAIT_SHARE
        slot: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (deadline, next(self._numbers), slot))
        try:
            async with asyncio.timeout(wait.total_seconds()):
                await slot
        except TimeoutError:
            return self._keeps(slot)
        except asyncio.CancelledError:
            if self._keeps(slot):
                self.release()
            raise
        return True

    def _keeps(self, slot: asyncio.Future[None]) -> bool:
        if slot.done() and not slot.cancelled():
            return True
        slot.cancel()
        self._waiting = [item for item in self._waiting if item[2] != slot]
        heapq.heapify(self._waiting)
        return False

    def _admit_waiting(self) -> None:
        while self._waiting and self._in_flight < self._limit.limit:
            _, _, slot = heapq.heappop(self._waiting)
            if slot.done():
                continue
            self._in_flight += 1
            slot.set_result(None)
