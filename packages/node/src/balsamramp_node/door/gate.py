"""Gate: the calls in flight at one target, and a short queue for it."""

import asyncio
import datetime
import heapq
import itertools

from balsamramp_core import clock
from balsamramp_node.door import admission

__all__ = ["Gate"]

QUEUE_MAX_CALLS = 100
QUEUE_WAIT_SHARE = 0.1
LATENCY_WEIGHT = 0.1

_Waiter = tuple[datetime.timedelta, int, asyncio.Future[None]]


class Gate:
    """Lets calls to a target through up to its admission limit.

    A call waits if it will probably get its turn within
    ``QUEUE_WAIT_SHARE`` of the time that it has left; at most
    ``QUEUE_MAX_CALLS`` do. The one whose deadline is nearest goes first.
    """

    def __init__(
        self,
        limit: admission.AdmissionLimit,
        instance: str,
        time: clock.Clock,
    ) -> None:
        self._clock = time
        self._waiting: list[_Waiter] = []
        self._numbers = itertools.count()
        self._latency = datetime.timedelta()
        self.limit = limit
        self.instance = instance
        self.in_flight = 0

    @property
    def wait(self) -> datetime.timedelta:
        """Return how long a call would probably wait now."""
        if self.in_flight < self.limit.limit:
            return datetime.timedelta()
        turn = len(self._waiting) + 1
        return self._latency * (turn / max(self.limit.limit, 1))

    def refuses(self, left: datetime.timedelta) -> bool:
        """Tell whether a call with ``left`` to go would wait in vain."""
        if self.in_flight < self.limit.limit:
            return False
        if len(self._waiting) >= QUEUE_MAX_CALLS:
            return True
        return self.wait > left * QUEUE_WAIT_SHARE

    def replace_target(self, instance: str) -> None:
        """Start anew: the target was restarted."""
        self.instance = instance
        self.limit.reset()

    async def enter(self, deadline: datetime.timedelta) -> bool:
        """Wait for a slot; False when there was none in time."""
        if self.in_flight < self.limit.limit:
            self.in_flight += 1
            return True
        left = deadline - self._clock.monotonic()
        wait = left * QUEUE_WAIT_SHARE
        slot: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (deadline, next(self._numbers), slot))
        try:
            async with asyncio.timeout(wait.total_seconds()):
                await slot
        except TimeoutError:
            return self._keeps(slot)
        except asyncio.CancelledError:
            if self._keeps(slot):
                self.leave()
            raise
        return True

    def leave(self) -> None:
        """Give the slot back and let the next call through."""
        self.in_flight -= 1
        self._admit_waiting()

    def finish(
        self, latency: datetime.timedelta, outcome: admission.Outcome
    ) -> None:
        """Learn from a call that reached the target; give its slot back."""
        now = self._clock.monotonic()
        self.limit.finish(now, latency, outcome, self.in_flight)
        self._latency += (latency - self._latency) * LATENCY_WEIGHT
        self.leave()

    def _keeps(self, slot: asyncio.Future[None]) -> bool:
        if slot.done() and not slot.cancelled():
            return True
        slot.cancel()
        self._waiting = [item for item in self._waiting if item[2] != slot]
        heapq.heapify(self._waiting)
        return False

    def _admit_waiting(self) -> None:
        while self._waiting and self.in_flight < self.limit.limit:
            _, _, slot = heapq.heappop(self._waiting)
            if slot.done():
                continue
            self.in_flight += 1
            slot.set_result(None)
