"""Queue orders: what callers get from a target under a load above capacity.

A target of ten slots takes 100 ms for each call, so it serves 100 a second.
Callers send 60 a second, and 180 a second for three seconds. An answer is
worth 1 within its objective of 300 ms and a half after it, until the caller
leaves after 2 s. A refused caller returns once, when it was told to.
"""

import asyncio
import datetime
import random

import attrs
import pytest

from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import queue_disciplines
from balsamramp_node.inbound import targets
from balsamramp_node.inbound.limiters import slot_limiter
from balsamramp_node.outbound import retry_after_jitter
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

MS = datetime.timedelta(milliseconds=1)
SLOTS = 10
WORK = 100 * MS
OBJECTIVE = 300 * MS
DEADLINE = 2000 * MS
LATE_WORTH = 0.5
USUAL_RATE = 60
BURST_RATE = 180
SECONDS = 8
BURST = range(2, 5)
SEEDS = (1, 2, 3)


@attrs.define
class _Tally:
    """What callers got."""

    asked: int = 0
    on_time: int = 0
    late: int = 0
    lost: int = 0
    longest: datetime.timedelta = datetime.timedelta()

    @property
    def worth(self) -> float:
        """Return the part of the worth asked for that was earned."""
        return (self.on_time + LATE_WORTH * self.late) / self.asked


class _Load:
    """Plays the load of one seed on one order."""

    def __init__(self, order: str, seed: int) -> None:
        self.tally = _Tally()
        self._clock = virtual_time.VirtualClock()
        self._random = random.Random(seed)
        self._returns = retry_after_jitter.RetryAfterJitter(
            random.Random(seed + 1)
        )
        announced = targets.Announcement(
            target="t", service="s", url="http://t:1", slots=SLOTS
        )
        self._gate = slot_limiter.SlotLimiter(
            announced,
            queue_disciplines.find_queue_discipline(order)(),
            lambda _: 0.0,
            self._clock,
        )

    async def play(self) -> None:
        tasks = []
        for second in range(SECONDS):
            rate = BURST_RATE if second in BURST else USUAL_RATE
            for _ in range(rate):
                tasks.append(asyncio.create_task(self._caller()))
                await self._clock.sleep(datetime.timedelta(seconds=1 / rate))
        await asyncio.gather(*tasks)

    async def _caller(self) -> None:
        started = self._clock.monotonic()
        self.tally.asked += 1
        wait = await self._call(started)
        if wait is None:
            return
        left = started + DEADLINE - self._clock.monotonic()
        await self._clock.sleep(min(wait, left / 3))
        if await self._call(started) is not None:
            self.tally.lost += 1

    async def _call(
        self, started: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Send one attempt; return when to come back if it was refused."""
        now = self._clock.monotonic()
        left = started + DEADLINE - now
        request = messages.CallRequest(
            call_id="c",
            service="s",
            target="t",
            incarnation=1,
            method="GET",
            path="/",
            headers=(),
            timeout=left,
            idempotent=True,
            objective=max(started + OBJECTIVE - now, 0 * MS),
        )
        failure = self._gate.refusal(request, left)
        if failure is None:
            failure = await self._gate.acquire(request, now + left)
        if failure is not None:
            return self._returns.delay_for(failure)
        # The work of a call varies by half in both directions.
        work = WORK * self._random.uniform(0.5, 1.5)
        await self._clock.sleep(work)
        self._gate.finish(
            request, work, concurrency_limit.CallOutcome.ANSWERED
        )
        took = self._clock.monotonic() - started
        self.tally.longest = max(self.tally.longest, took)
        if took <= OBJECTIVE:
            self.tally.on_time += 1
        elif took <= DEADLINE:
            self.tally.late += 1
        else:
            self.tally.lost += 1
        return None


def _play(order: str, seed: int) -> _Tally:
    async def main() -> _Tally:
        load = _Load(order, seed)
        await load.play()
        return load.tally

    return virtual_time.run(main())


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("baseline", ["arrival", "deadline", "latest"])
def test_callers_get_more_from_the_order_by_worth(
    baseline: str, seed: int
) -> None:
    assert _play("worth", seed).worth > _play(baseline, seed).worth


@pytest.mark.parametrize("seed", SEEDS)
def test_no_answer_comes_after_its_caller_has_left(seed: int) -> None:
    tally = _play("worth", seed)
    assert tally.longest <= DEADLINE
    assert tally.asked == tally.on_time + tally.late + tally.lost
