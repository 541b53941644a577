"""The slot limiter: slots, queue order, waits and warm-up rate."""

import asyncio
from collections import abc
import datetime

import attrs
import pytest

from balsamramp_core import verdict
from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import targets
from balsamramp_node.inbound.limiters import slot_limiter
from balsamramp_node.inbound.queue_disciplines import priority
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
SLOTS = 2
WARM_UP_RATE = 10.0


def _announcement(**fields: object) -> targets.Announcement:
    default = targets.Announcement(
        target="t1",
        service="caja",
        url="http://t1:80",
        instance="1",
        started_ms=1,
        slots=SLOTS,
    )
    return attrs.evolve(default, **fields)  # type: ignore[arg-type]


def _request(**fields: object) -> messages.CallRequest:
    default = messages.CallRequest(
        call_id="c",
        service="caja",
        target="t1",
        incarnation=1,
        method="GET",
        path="/",
        headers=(),
        timeout=2 * SECOND,
        idempotent=True,
        route="r",
        objective=300 * MS,
    )
    return attrs.evolve(default, **fields)  # type: ignore[arg-type]


@attrs.define
class _LimiterFixture:
    """A limiter on a virtual clock, and the calls that it admitted."""

    clock: virtual_time.VirtualClock
    limiter: slot_limiter.SlotLimiter
    admitted: list[str] = attrs.field(factory=list)
    refused: list[str] = attrs.field(factory=list)

    async def run(
        self,
        name: str,
        request: messages.CallRequest,
        duration: datetime.timedelta,
    ) -> None:
        now = self.clock.monotonic()
        failure = self.limiter.refusal(request, request.timeout)
        if failure is None:
            failure = await self.limiter.acquire(
                request, now + request.timeout
            )
        if failure is not None:
            assert failure.verdict is verdict.Verdict.NOT_RUN
            self.refused.append(name)
            return
        self.admitted.append(name)
        started = self.clock.monotonic()
        await self.clock.sleep(duration)
        self.limiter.finish(
            request,
            self.clock.monotonic() - started,
            concurrency_limit.CallOutcome.ANSWERED,
        )


def _run_scenario(
    main: abc.Callable[[_LimiterFixture], abc.Awaitable[None]],
    **fields: object,
) -> _LimiterFixture:
    async def start() -> _LimiterFixture:
        clock = virtual_time.VirtualClock()
        limiter = slot_limiter.SlotLimiter(
            _announcement(**fields),
            priority.PriorityDiscipline(),
            lambda _: WARM_UP_RATE,
            clock,
        )
        fixture = _LimiterFixture(clock, limiter)
        await main(fixture)
        return fixture

    return virtual_time.run(start())


def test_running_calls_do_not_exceed_slots() -> None:
    async def main(fixture: _LimiterFixture) -> None:
        tasks = [
            asyncio.create_task(fixture.run(str(n), _request(), 50 * MS))
            for n in range(4)
        ]
        await fixture.clock.sleep(10 * MS)
        assert fixture.limiter.load().in_flight == SLOTS
        assert fixture.limiter.load().queued == 2
        await asyncio.gather(*tasks)

    assert _run_scenario(main).admitted == ["0", "1", "2", "3"]


def test_calls_made_by_targets_are_admitted_first() -> None:
    async def main(fixture: _LimiterFixture) -> None:
        tasks = [
            asyncio.create_task(fixture.run(f"first{n}", _request(), 50 * MS))
            for n in range(SLOTS)
        ]
        await fixture.clock.sleep(MS)
        for name, request in (
            ("new", _request()),
            ("urgent", _request(priority=-1)),
            ("call", _request(from_target=True)),
        ):
            tasks.append(
                asyncio.create_task(fixture.run(name, request, 50 * MS))
            )
            await fixture.clock.sleep(MS)
        await asyncio.gather(*tasks)

    assert _run_scenario(main).admitted[SLOTS:] == ["call", "urgent", "new"]


def test_call_that_can_meet_its_objective_is_before_late_one() -> None:
    async def main(fixture: _LimiterFixture) -> None:
        tasks = [
            asyncio.create_task(fixture.run(f"first{n}", _request(), 50 * MS))
            for n in range(SLOTS)
        ]
        await fixture.clock.sleep(MS)
        late = _request(objective=0 * MS)
        tasks.append(asyncio.create_task(fixture.run("late", late, 50 * MS)))
        await fixture.clock.sleep(MS)
        tasks.append(
            asyncio.create_task(fixture.run("in time", _request(), 50 * MS))
        )
        await asyncio.gather(*tasks)

    assert _run_scenario(main).admitted[SLOTS:] == ["in time", "late"]


def test_call_with_too_long_expected_wait_is_refused() -> None:
    async def main(fixture: _LimiterFixture) -> None:
        tasks = [
            asyncio.create_task(fixture.run(f"first{n}", _request(), SECOND))
            for n in range(SLOTS)
        ]
        await fixture.clock.sleep(MS)
        for number in range(40):
            tasks.append(
                asyncio.create_task(
                    fixture.run(f"next{number}", _request(), 100 * MS)
                )
            )
        await fixture.clock.sleep(MS)
        assert fixture.refused, (
            "no call was refused: the queue exceeds what can be served"
        )
        assert "next0" not in fixture.refused
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    _run_scenario(main)


def test_cancelled_queued_call_leaves_the_queue() -> None:
    async def main(fixture: _LimiterFixture) -> None:
        tasks = [
            asyncio.create_task(fixture.run(f"first{n}", _request(), 50 * MS))
            for n in range(SLOTS)
        ]
        await fixture.clock.sleep(MS)
        left = asyncio.create_task(fixture.run("left", _request(), 50 * MS))
        stays = asyncio.create_task(fixture.run("stays", _request(), 50 * MS))
        await fixture.clock.sleep(MS)
        left.cancel()
        await asyncio.gather(*tasks, stays)
        assert fixture.limiter.load().in_flight == 0

    assert _run_scenario(main).admitted[SLOTS:] == ["stays"]


@pytest.mark.parametrize("assumed", [False, True])
def test_cold_target_gets_no_more_than_its_rate(assumed: bool) -> None:
    async def main(fixture: _LimiterFixture) -> None:
        if assumed:
            fixture.limiter.assume_cold()
        started = fixture.clock.monotonic()
        count = 0
        while fixture.clock.monotonic() - started < 2 * SECOND:
            await asyncio.create_task(
                fixture.run(str(count), _request(timeout=100 * MS), MS)
            )
            count += 1
            await fixture.clock.sleep(5 * MS)
        assert WARM_UP_RATE <= len(fixture.admitted) <= 2 * WARM_UP_RATE + 1

    cold = datetime.timedelta() if assumed else 10 * SECOND
    _run_scenario(main, cold_for=cold)


def test_announcement_ends_the_assumed_cold_state() -> None:
    async def main(fixture: _LimiterFixture) -> None:
        fixture.limiter.assume_cold()
        assert fixture.limiter.load().cold
        fixture.limiter.announce(_announcement(sequence=2))
        assert not fixture.limiter.load().cold

    _run_scenario(main)


def test_call_does_not_wait_until_its_deadline_for_a_later_objective() -> None:
    async def main(fixture: _LimiterFixture) -> None:
        busy = [
            asyncio.create_task(fixture.run("busy", _request(), 5 * SECOND))
            for _ in range(SLOTS)
        ]
        await fixture.clock.sleep(MS)
        started = fixture.clock.monotonic()
        request = _request(timeout=300 * MS, objective=5 * SECOND)
        await fixture.run("short", request, MS)
        waited = fixture.clock.monotonic() - started
        assert fixture.refused == ["short"]
        assert waited <= 300 * MS - slot_limiter.SERVICE_TIME_DEFAULT
        await asyncio.gather(*busy)

    _run_scenario(main)


@pytest.mark.parametrize("slow_calls", [0, 20])
def test_no_call_is_refused_for_good_by_an_unconfirmed_service_time(
    slow_calls: int,
) -> None:
    slots = 12
    write = _request(route="write", objective=400 * MS)
    lookup = _request(
        route="lookup",
        objective=100 * MS,
        timeout=250 * MS,
        from_target=True,
    )

    async def main(fixture: _LimiterFixture) -> None:
        async def keep_writing(number: int) -> None:
            await fixture.clock.sleep(number * 20 * MS)
            while True:
                await fixture.run("write", write, 240 * MS)
                await fixture.clock.sleep(20 * MS)

        for _ in range(slow_calls):
            await fixture.run("slow", lookup, 220 * MS)
        writers = [
            asyncio.create_task(keep_writing(number))
            for number in range(2 * slots)
        ]
        await fixture.clock.sleep(2 * SECOND)
        lookups = []
        for _ in range(100):
            lookups.append(
                asyncio.create_task(fixture.run("lookup", lookup, 22 * MS))
            )
            await fixture.clock.sleep(50 * MS)
        for task in writers:
            task.cancel()
        await asyncio.gather(*lookups)

    played = _run_scenario(main, slots=slots)
    # A kind of request is starved if it is served a quarter as often as all.
    ends = played.admitted + played.refused
    share = len(played.admitted) / len(ends)
    lookups_share = played.admitted.count("lookup") / ends.count("lookup")
    assert lookups_share >= share / 4
