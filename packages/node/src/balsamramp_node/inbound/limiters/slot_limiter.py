"""By slots: a gate for a target that states how many calls it runs."""

import asyncio
from collections import abc
import datetime
import itertools

import attrs

from balsamramp_core import clock
from balsamramp_core import verdict
from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import queue_discipline
from balsamramp_node.inbound import target_limiter
from balsamramp_node.inbound import targets
from balsamramp_node.inbound import warm_up
from balsamramp_wire import messages

__all__ = ["SlotLimiter"]

QUEUE_MAX_CALLS = 200
# Weight of the last call in the mean service time of its route.
SERVICE_WEIGHT = 0.1
# Weight of the last call in the share of failures.
FAILING_WEIGHT = 0.05
# Assumed until the first call of a target has ended.
SERVICE_DEFAULT = datetime.timedelta(milliseconds=100)
NONE = datetime.timedelta()

RateSource = abc.Callable[[str], float]


@attrs.define(eq=False)
class _Entry:
    waiter: queue_discipline.QueuedCall
    slot: asyncio.Future[None]


class SlotLimiter(target_limiter.TargetLimiter):
    """Keeps at most the stated slots busy and queues the rest here.

    So the target's own queue stays empty: calls wait where they can be
    put in order, cancelled and refused as not run. A cold target gets
    calls at the rate that it bears.
    """

    name = "slots"
    doc = "as many calls as the target has slots, the rest in order"

    def __init__(
        self,
        announcement: targets.Announcement,
        order: queue_discipline.QueueDiscipline,
        rate: RateSource,
        time: clock.Clock,
    ) -> None:
        super().__init__(announcement)
        self._order = order
        self._rate = rate
        self._clock = time
        self._announced: targets.Announcement | None = None
        self._slots = announcement.slots
        self._in_flight = 0
        self._entries: list[_Entry] = []
        self._numbers = itertools.count()
        self._services: dict[str, datetime.timedelta] = {}
        self._service = SERVICE_DEFAULT
        self._failing = 0.0
        self._warm_up = warm_up.WarmUpRateLimiter()
        self._timer: asyncio.TimerHandle | None = None
        self.announce(announcement)

    def load(self) -> messages.Load:
        now = self._clock.monotonic()
        return messages.Load(
            in_flight=self._in_flight,
            limit=self._slots,
            queued=len(self._entries),
            service=self._service,
            failing=self._failing,
            cold=self._warm_up.is_cold(now),
        )

    def announce(self, announcement: targets.Announcement) -> None:
        if announcement is self._announced:
            return
        now = self._clock.monotonic()
        if announcement.instance != self._instance:
            self._instance = announcement.instance
            self._failing = 0.0
        self._announced = announcement
        self._slots = max(announcement.slots, 1)
        self._warm_up.set_cold_for(now, announcement.cold_for)

    def assume_cold(self) -> None:
        """Treat the target as cold until it says otherwise."""
        self._warm_up.assume_cold()

    def refusal(
        self, request: messages.CallRequest, time_left: datetime.timedelta
    ) -> verdict.Failure | None:
        now = self._clock.monotonic()
        waiter = self._waiter(request, now + time_left, now)
        return self._refusal(request, waiter, now)

    async def acquire(
        self, request: messages.CallRequest, deadline: datetime.timedelta
    ) -> verdict.Failure | None:
        now = self._clock.monotonic()
        if self._has_room(now):
            self._take(now)
            return None
        waiter = self._waiter(request, deadline, now)
        failure = self._refusal(request, waiter, now)
        if failure is not None:
            return failure
        loop = asyncio.get_running_loop()
        entry = _Entry(waiter, loop.create_future())
        self._entries.append(entry)
        self._set_timer(now)
        patience = self._order.max_wait(waiter, now)
        try:
            async with asyncio.timeout(patience.total_seconds()):
                await entry.slot
        except TimeoutError:
            if self._keeps(entry):
                return None
            text = f"no slot of target {request.target} came free"
            return target_limiter.no_slot_failure(
                text, self._turn(waiter, now)
            )
        except asyncio.CancelledError:
            if self._keeps(entry):
                self.release()
            raise
        return None

    def release(self) -> None:
        self._in_flight -= 1
        self._admit_waiting()

    def finish(
        self,
        request: messages.CallRequest,
        latency: datetime.timedelta,
        outcome: concurrency_limit.CallOutcome,
    ) -> None:
        self._learn(request.route, latency, outcome)
        self.release()

    def _learn(
        self,
        route: str,
        latency: datetime.timedelta,
        outcome: concurrency_limit.CallOutcome,
    ) -> None:
        if outcome is concurrency_limit.CallOutcome.CANCELLED:
            return
        failed = outcome is not concurrency_limit.CallOutcome.ANSWERED
        self._failing += (failed - self._failing) * FAILING_WEIGHT
        if failed:
            return
        known = self._services.get(route, latency)
        known += (latency - known) * SERVICE_WEIGHT
        self._services[route] = known
        self._service += (latency - self._service) * SERVICE_WEIGHT

    def _waiter(
        self,
        request: messages.CallRequest,
        deadline: datetime.timedelta,
        now: datetime.timedelta,
    ) -> queue_discipline.QueuedCall:
        return queue_discipline.QueuedCall(
            number=next(self._numbers),
            arrived_at=now,
            objective_at=now + request.objective,
            deadline=deadline,
            service_time=self._services.get(request.route, self._service),
            priority=request.priority,
            from_target=request.from_target,
        )

    def _refusal(
        self,
        request: messages.CallRequest,
        waiter: queue_discipline.QueuedCall,
        now: datetime.timedelta,
    ) -> verdict.Failure | None:
        if self._has_room(now):
            return None
        turn = self._turn(waiter, now)
        full = len(self._entries) >= QUEUE_MAX_CALLS
        if not full and turn <= self._order.max_wait(waiter, now):
            return None
        text = f"target {request.target} has no slot in time"
        return target_limiter.no_slot_failure(text, turn)

    def _turn(
        self, waiter: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long ``waiter`` would probably wait."""
        own = self._order.rank(waiter, now)
        ahead = 0
        work = self._service
        for entry in self._entries:
            if self._order.rank(entry.waiter, now) < own:
                work += entry.waiter.service_time
                ahead += 1
        turn = work / self._slots
        rate = self._rate_now()
        if rate and self._warm_up.is_cold(now):
            paced = self._warm_up.required_delay(now, rate)
            paced += datetime.timedelta(seconds=ahead / rate)
            return max(turn, paced)
        return turn

    def _rate_now(self) -> float:
        assert self._announced is not None
        return self._rate(self._announced.service)

    def _has_room(self, now: datetime.timedelta) -> bool:
        if self._in_flight >= self._slots:
            return False
        return not self._warm_up.required_delay(now, self._rate_now())

    def _take(self, now: datetime.timedelta) -> None:
        self._in_flight += 1
        self._warm_up.record_call(now)

    def _keeps(self, entry: _Entry) -> bool:
        """Tell whether the slot was given; else leave the queue."""
        if entry.slot.done() and not entry.slot.cancelled():
            return True
        if entry in self._entries:
            self._entries.remove(entry)
        entry.slot.cancel()
        return False

    def _admit_waiting(self) -> None:
        while self._entries:
            now = self._clock.monotonic()
            if not self._has_room(now):
                self._set_timer(now)
                return
            best = min(
                self._entries,
                key=lambda entry: self._order.rank(entry.waiter, now),
            )
            self._entries.remove(best)
            if best.slot.done():
                continue
            self._take(now)
            best.slot.set_result(None)

    def _set_timer(self, now: datetime.timedelta) -> None:
        """Look again when the rate of a cold target admits a call."""
        wait = self._warm_up.required_delay(now, self._rate_now())
        if not wait or self._timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait.total_seconds(), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._admit_waiting()
