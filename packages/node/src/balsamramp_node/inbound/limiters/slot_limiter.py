"""Limits the calls to a target by the slots that it announces."""

import asyncio
from collections import abc
import datetime
import itertools

from absl import logging
import attrs

from balsamramp_core import clock
from balsamramp_core import verdict
from balsamramp_node.inbound import call_organisation
from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import granted_work
from balsamramp_node.inbound import queue_discipline
from balsamramp_node.inbound import stated_rate
from balsamramp_node.inbound import target_limiter
from balsamramp_node.inbound import targets
from balsamramp_node.inbound import warm_up
from balsamramp_wire import messages

__all__ = ["SlotLimiter"]

QUEUE_MAX_CALLS = 200
# Weight of the last call in the mean service times of its route and target.
SERVICE_TIME_WEIGHT = 0.1
# Weight of the last call in the moving average of the share of failed calls.
FAILURE_WEIGHT = 0.05
# Assumed until the first call to a target has ended.
SERVICE_TIME_DEFAULT = datetime.timedelta(milliseconds=100)
NONE = datetime.timedelta()
RATE_LOG_SECONDS = 1

RateSource = abc.Callable[[str], float]


@attrs.define(eq=False)
class _QueueEntry:
    call: queue_discipline.QueuedCall
    slot: asyncio.Future[verdict.Failure | None]


class SlotLimiter(target_limiter.TargetLimiter):
    """Admits as many calls as the target has slots and queues the rest.

    This keeps the target's own queue empty. Calls wait in the limiter
    instead, where they can be reordered, cancelled or refused with verdict
    NOT_RUN. A cold target gets calls at a limited rate, and so does one that
    states a limit. ``process_started_ms`` is the start of this process: what
    an older target stated before is not known to it.
    """

    name = "slots"
    doc = "one call per slot of the target, the others queued"

    def __init__(
        self,
        announcement: targets.Announcement,
        discipline: queue_discipline.QueueDiscipline,
        warm_up_rate: RateSource,
        time: clock.Clock,
        process_started_ms: int = 0,
        organisations: call_organisation.CallOrganisation | None = None,
    ) -> None:
        super().__init__(announcement)
        self._process_started_ms = process_started_ms
        self._stated_rate = self._make_rate_limiter(announcement)
        self._discipline = discipline
        self._organisations = (
            organisations or call_organisation.CallOrganisation("")
        )
        self._warm_up_rate = warm_up_rate
        self._clock = time
        self._announcement: targets.Announcement | None = None
        self._slots = announcement.slots
        self._in_flight = 0
        self._queue: list[_QueueEntry] = []
        self._numbers = itertools.count()
        self._route_service_times: dict[str, datetime.timedelta] = {}
        self._mean_service_time = SERVICE_TIME_DEFAULT
        self._failure_share = 0.0
        self._granted = granted_work.GrantedWork()
        self._warm_up = warm_up.WarmUpRateLimiter()
        self._timer: asyncio.TimerHandle | None = None
        self.announce(announcement)

    def load(self) -> messages.Load:
        now = self._clock.monotonic()
        slots, service = self._usable_slots()
        return messages.Load(
            in_flight=self._in_flight,
            limit=slots,
            queued=len(self._queue),
            service=service,
            failing=self._failure_share,
            cold=self._warm_up.is_cold(now),
        )

    def _usable_slots(self) -> tuple[int, datetime.timedelta]:
        """Return the slots that are in use at the rate that is allowed.

        The second value is the time for which a call uses one of them.
        """
        service = self._mean_service_time
        rate = self._stated_rate.rate
        if rate is None:
            return self._slots, service
        slots = max(1, min(self._slots, int(rate * service.total_seconds())))
        return slots, max(service, datetime.timedelta(seconds=slots / rate))

    def announce(self, announcement: targets.Announcement) -> None:
        if announcement is self._announcement:
            return
        now = self._clock.monotonic()
        if announcement.instance != self._instance:
            self._instance = announcement.instance
            self._failure_share = 0.0
            self._stated_rate = self._make_rate_limiter(announcement)
        self._announcement = announcement
        self._slots = max(announcement.slots, 1)
        self._warm_up.set_cold_for(now, announcement.cold_for)

    def assume_cold(self) -> None:
        """Treat the target as cold until its next announcement."""
        self._warm_up.assume_cold()

    def set_rate_limit(
        self, rate: float | None, sent_at: datetime.timedelta
    ) -> None:
        limiter = self._stated_rate
        before = limiter.known, limiter.rate
        limiter.set_rate(self._clock.monotonic(), rate, sent_at)
        if (limiter.known, limiter.rate) == before:
            return
        assert self._announcement is not None
        logging.log_every_n_seconds(
            logging.INFO,
            "target %s is sent %s calls per second at most, before: %s",
            RATE_LOG_SECONDS,
            self._announcement.target,
            limiter.rate,
            before[1],
        )
        self._admit_queued()

    def _make_rate_limiter(
        self, announcement: targets.Announcement
    ) -> stated_rate.StatedRateLimiter:
        started_ms = announcement.started_ms
        known = not started_ms or started_ms >= self._process_started_ms
        return stated_rate.StatedRateLimiter(known)

    def refusal(
        self, request: messages.CallRequest, time_left: datetime.timedelta
    ) -> verdict.Failure | None:
        now = self._clock.monotonic()
        call = self._to_queued_call(request, now + time_left, now)
        self._discipline.on_arrival(call, now)
        return self._refusal(request, call, now)

    async def acquire(
        self, request: messages.CallRequest, deadline: datetime.timedelta
    ) -> verdict.Failure | None:
        now = self._clock.monotonic()
        call = self._to_queued_call(request, deadline, now)
        if self._has_free_slot(now):
            self._occupy_slot(call, now)
            return None
        failure = self._refusal(request, call, now)
        if failure is not None:
            return failure
        loop = asyncio.get_running_loop()
        entry = _QueueEntry(call, loop.create_future())
        if len(self._queue) >= QUEUE_MAX_CALLS:
            self._displace(request, call, now)
        self._queue.append(entry)
        self._set_timer(now)
        end = now + self._discipline.max_wait(call, now)
        punctual_end = now + self._discipline.punctual_wait(call, now)
        if now < punctual_end < end:
            slot = asyncio.shield(entry.slot)
            if await self._wait_until(entry, slot, punctual_end):
                return entry.slot.result()
            now = self._clock.monotonic()
            if self._late_wait(call, self._wait_of(call, now), now) > (
                end - now
            ):
                end = now
        if now < end and await self._wait_until(entry, entry.slot, end):
            return entry.slot.result()
        if self._granted_else_dequeue(entry):
            return entry.slot.result()
        text = f"no slot of target {request.target} became free in time"
        now = self._clock.monotonic()
        return target_limiter.no_slot_failure(text, self._wait_of(call, now))

    async def _wait_until(
        self,
        entry: _QueueEntry,
        slot: asyncio.Future[verdict.Failure | None],
        end: datetime.timedelta,
    ) -> bool:
        """Return whether the wait of ``entry`` has a result by ``end``.

        ``slot`` is that of the entry, shielded if the wait may go on.
        """
        wait = (end - self._clock.monotonic()).total_seconds()
        try:
            async with asyncio.timeout(wait):
                await slot
        except TimeoutError:
            return entry.slot.done() and not entry.slot.cancelled()
        except asyncio.CancelledError:
            granted = self._granted_else_dequeue(entry)
            if granted and entry.slot.result() is None:
                self.release()
            raise
        return True

    def release(self) -> None:
        self._in_flight -= 1
        self._admit_queued()

    def finish(
        self,
        request: messages.CallRequest,
        latency: datetime.timedelta,
        outcome: concurrency_limit.CallOutcome,
    ) -> None:
        self._update_estimates(request.route, latency, outcome)
        self.release()

    def _update_estimates(
        self,
        route: str,
        latency: datetime.timedelta,
        outcome: concurrency_limit.CallOutcome,
    ) -> None:
        if outcome in concurrency_limit.OUTCOMES_WITHOUT_EVIDENCE:
            return
        failed = outcome is not concurrency_limit.CallOutcome.ANSWERED
        self._failure_share += (failed - self._failure_share) * FAILURE_WEIGHT
        if failed:
            return
        mean = self._route_service_times.get(route, latency)
        mean += (latency - mean) * SERVICE_TIME_WEIGHT
        self._route_service_times[route] = mean
        self._mean_service_time += (
            latency - self._mean_service_time
        ) * SERVICE_TIME_WEIGHT

    def _to_queued_call(
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
            service_time=self._route_service_times.get(
                request.route, self._mean_service_time
            ),
            priority=request.priority,
            from_target=request.from_target,
            organisation=self._organisations.of(request),
        )

    def _refusal(
        self,
        request: messages.CallRequest,
        call: queue_discipline.QueuedCall,
        now: datetime.timedelta,
    ) -> verdict.Failure | None:
        if self._has_free_slot(now):
            return None
        waiting = self._waiting_calls()
        ranks = self._discipline.ranks([*waiting, call], now)
        expected_wait = self._expected_wait(ranks, now)
        full = len(self._queue) >= QUEUE_MAX_CALLS and (
            self._discipline.displaced(waiting, call, ranks) is None
        )
        if not full and self._is_in_time(call, expected_wait, now):
            return None
        text = f"target {request.target} has no slot in time"
        return target_limiter.no_slot_failure(text, expected_wait)

    def _waiting_calls(self) -> list[queue_discipline.QueuedCall]:
        return [entry.call for entry in self._queue]

    def _displace(
        self,
        request: messages.CallRequest,
        call: queue_discipline.QueuedCall,
        now: datetime.timedelta,
    ) -> None:
        """Refuse a waiting call to make room for ``call``."""
        waiting = self._waiting_calls()
        ranks = self._discipline.ranks([*waiting, call], now)
        last = self._discipline.displaced(waiting, call, ranks)
        for entry in self._queue:
            if entry.call is not last or entry.slot.done():
                continue
            self._dequeue_unserved(entry)
            text = f"the queue of target {request.target} is full"
            ranks = self._discipline.ranks([*self._waiting_calls(), last], now)
            wait = self._expected_wait(ranks, now)
            entry.slot.set_result(target_limiter.no_slot_failure(text, wait))
            return

    def _is_in_time(
        self,
        call: queue_discipline.QueuedCall,
        expected_wait: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether ``call`` is likely to get a slot in time.

        A call that can't be punctual is also overtaken by those that can.
        """
        level = self._discipline.level(call, now)
        wait = expected_wait / (1 - self._share_before(level, now))
        if wait <= self._discipline.punctual_wait(call, now):
            return True
        late_wait = self._late_wait(call, expected_wait, now)
        return late_wait <= self._discipline.max_wait(call, now)

    def _late_wait(
        self,
        call: queue_discipline.QueuedCall,
        expected_wait: datetime.timedelta,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return the expected wait of a call that can't be punctual.

        ``expected_wait`` is that for the calls which are ahead of it.
        """
        level = self._discipline.level(call, now, late=True)
        return expected_wait / (1 - self._share_before(level, now))

    def _wait_of(
        self, call: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return the wait for the calls that are ahead of ``call`` now."""
        ranks = self._discipline.ranks([*self._waiting_calls(), call], now)
        return self._expected_wait(ranks, now)

    def _share_before(
        self, level: queue_discipline.Rank, now: datetime.timedelta
    ) -> float:
        return self._granted.share_before(level, self._slots, now)

    def _expected_wait(
        self,
        ranks: abc.Sequence[queue_discipline.Rank],
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return the expected wait of the call that is last in ``ranks``.

        The others are those of the calls that wait. Calls that arrive later
        are not counted.
        """
        *ranks, own_rank = ranks
        calls_ahead = 0
        work_ahead = self._mean_service_time
        for entry, rank in zip(self._queue, ranks, strict=True):
            if rank < own_rank:
                work_ahead += entry.call.service_time
                calls_ahead += 1
        pacing_wait = self._required_delay(now)
        rates = self._current_rates(now)
        if rates:
            pacing_wait += datetime.timedelta(seconds=calls_ahead / min(rates))
        return max(work_ahead / self._slots, pacing_wait)

    def _current_rates(self, now: datetime.timedelta) -> list[float]:
        """Return the limits on the calls per second that hold now."""
        rates = []
        warm_up_rate = self._current_warm_up_rate()
        if warm_up_rate and self._warm_up.is_cold(now):
            rates.append(warm_up_rate)
        if self._stated_rate.rate is not None:
            rates.append(self._stated_rate.rate)
        return rates

    def _required_delay(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return the wait for the rates at which the target takes calls."""
        warm_up_rate = self._current_warm_up_rate()
        return max(
            self._warm_up.required_delay(now, warm_up_rate),
            self._stated_rate.required_delay(now),
        )

    def _current_warm_up_rate(self) -> float:
        assert self._announcement is not None
        return self._warm_up_rate(self._announcement.service)

    def _has_free_slot(self, now: datetime.timedelta) -> bool:
        if self._in_flight >= self._slots:
            return False
        return not self._required_delay(now)

    def _occupy_slot(
        self, call: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> None:
        self._discipline.on_granted(call, self._waiting_calls(), now)
        self._in_flight += 1
        level = self._discipline.level(call, now)
        self._granted.record(level, call.service_time, now)
        self._warm_up.record_call(now)
        self._stated_rate.record_call(now)

    def _granted_else_dequeue(self, entry: _QueueEntry) -> bool:
        """Return whether ``entry`` was granted a slot; else dequeue it."""
        if entry.slot.done() and not entry.slot.cancelled():
            return True
        if entry in self._queue:
            self._dequeue_unserved(entry)
        entry.slot.cancel()
        return False

    def _dequeue_unserved(self, entry: _QueueEntry) -> None:
        self._queue.remove(entry)
        now = self._clock.monotonic()
        self._discipline.on_left(entry.call, self._waiting_calls(), now)

    def _admit_queued(self) -> None:
        while self._queue:
            now = self._clock.monotonic()
            if not self._has_free_slot(now):
                self._set_timer(now)
                return
            call = self._discipline.next_call(self._waiting_calls(), now)
            (first,) = (item for item in self._queue if item.call is call)
            if first.slot.done():
                self._dequeue_unserved(first)
                continue
            self._queue.remove(first)
            self._occupy_slot(call, now)
            first.slot.set_result(None)

    def _set_timer(self, now: datetime.timedelta) -> None:
        """Schedule the next check of the queue for a target with a rate."""
        wait = self._required_delay(now)
        if not wait or self._timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait.total_seconds(), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._admit_queued()
