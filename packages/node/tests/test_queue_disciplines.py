"""Compares the queue disciplines under a load above capacity.

A target with 10 slots takes 100 ms for each call, so it serves 100 calls per
second. Callers send 60 calls per second, and 180 for three seconds. A response
has the value 1 within its objective of 300 ms and 0.5 after it, until the
deadline of 2 s. A refused caller retries once, after the stated delay.
"""

import asyncio
import datetime
import random

import attrs
import pytest

from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import queue_discipline
from balsamramp_node.inbound import queue_disciplines
from balsamramp_node.inbound import targets
from balsamramp_node.inbound.limiters import slot_limiter
from balsamramp_node.inbound.queue_disciplines import priority
from balsamramp_node.outbound import retry_after_jitter
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

MS = datetime.timedelta(milliseconds=1)
SLOTS = 10
SERVICE_TIME = 100 * MS
OBJECTIVE = 300 * MS
DEADLINE = 2000 * MS
LATE_VALUE = 0.5
NORMAL_RATE = 60
BURST_RATE = 180
SECONDS = 8
BURST = range(2, 5)
SEEDS = (1, 2, 3)


@attrs.define
class _Totals:
    """The number of calls by result."""

    started_calls: int = 0
    on_time: int = 0
    late: int = 0
    failed: int = 0
    longest: datetime.timedelta = datetime.timedelta()

    @property
    def earned_share(self) -> float:
        """Return the share of the possible value that was earned."""
        return (self.on_time + LATE_VALUE * self.late) / self.started_calls


class _LoadGenerator:
    """Generates the load of one seed on one queue discipline."""

    def __init__(self, discipline: str, seed: int) -> None:
        self.totals = _Totals()
        self._clock = virtual_time.VirtualClock()
        self._random = random.Random(seed)
        self._retry_after = retry_after_jitter.RetryAfterJitter(
            random.Random(seed + 1)
        )
        announced = targets.Announcement(
            target="t", service="s", url="http://t:1", slots=SLOTS
        )
        self._limiter = slot_limiter.SlotLimiter(
            announced,
            queue_disciplines.find_queue_discipline(discipline)(),
            lambda _: 0.0,
            self._clock,
        )

    async def run(self) -> None:
        tasks = []
        for second in range(SECONDS):
            rate = BURST_RATE if second in BURST else NORMAL_RATE
            for _ in range(rate):
                tasks.append(asyncio.create_task(self._call_with_retry()))
                await self._clock.sleep(datetime.timedelta(seconds=1 / rate))
        await asyncio.gather(*tasks)

    async def _call_with_retry(self) -> None:
        started = self._clock.monotonic()
        self.totals.started_calls += 1
        wait = await self._attempt(started)
        if wait is None:
            return
        time_left = started + DEADLINE - self._clock.monotonic()
        await self._clock.sleep(min(wait, time_left / 3))
        if await self._attempt(started) is not None:
            self.totals.failed += 1

    async def _attempt(
        self, started: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Send one attempt; return the retry delay if it was refused."""
        now = self._clock.monotonic()
        time_left = started + DEADLINE - now
        request = messages.CallRequest(
            call_id="c",
            service="s",
            target="t",
            incarnation=1,
            method="GET",
            path="/",
            headers=(),
            timeout=time_left,
            idempotent=True,
            objective=max(started + OBJECTIVE - now, 0 * MS),
        )
        failure = self._limiter.refusal(request, time_left)
        if failure is None:
            failure = await self._limiter.acquire(request, now + time_left)
        if failure is not None:
            return self._retry_after.delay_for(failure)
        # The service time of a call varies by half in both directions.
        service_time = SERVICE_TIME * self._random.uniform(0.5, 1.5)
        await self._clock.sleep(service_time)
        self._limiter.finish(
            request, service_time, concurrency_limit.CallOutcome.ANSWERED
        )
        latency = self._clock.monotonic() - started
        self.totals.longest = max(self.totals.longest, latency)
        if latency <= OBJECTIVE:
            self.totals.on_time += 1
        elif latency <= DEADLINE:
            self.totals.late += 1
        else:
            self.totals.failed += 1
        return None


def _run_load(discipline: str, seed: int) -> _Totals:
    async def main() -> _Totals:
        generator = _LoadGenerator(discipline, seed)
        await generator.run()
        return generator.totals

    return virtual_time.run(main())


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("baseline", ["arrival", "deadline", "latest"])
def test_priority_discipline_earns_more_than_baselines(
    baseline: str, seed: int
) -> None:
    assert (
        _run_load("worth", seed).earned_share
        > _run_load(baseline, seed).earned_share
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_no_response_comes_after_the_deadline(seed: int) -> None:
    totals = _run_load("worth", seed)
    assert totals.longest <= DEADLINE
    assert totals.started_calls == totals.on_time + totals.late + totals.failed


@pytest.mark.parametrize("objective_ms", [100, 900, 5000])
def test_slot_comes_while_there_is_time_to_respond(objective_ms: int) -> None:
    call = queue_discipline.QueuedCall(
        number=1,
        arrived_at=0 * MS,
        objective_at=objective_ms * MS,
        deadline=900 * MS,
        service_time=2 * MS,
    )
    wait = priority.PriorityDiscipline().max_wait(call, 0 * MS)
    time_to_respond = 900 * MS - wait - call.service_time
    assert time_to_respond >= 50 * MS
