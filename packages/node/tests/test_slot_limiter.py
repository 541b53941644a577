"""Slot gate: slots, order, patience and the rate of a cold target."""

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
RATE = 10.0


def _announced(**fields: object) -> targets.Announcement:
    made = targets.Announcement(
        target="t1",
        service="caja",
        url="http://t1:80",
        instance="1",
        started_ms=1,
        slots=SLOTS,
    )
    return attrs.evolve(made, **fields)  # type: ignore[arg-type]


def _request(**fields: object) -> messages.CallRequest:
    made = messages.CallRequest(
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
    return attrs.evolve(made, **fields)  # type: ignore[arg-type]


@attrs.define
class _Door:
    """A gate on a virtual clock, and the calls that came through it."""

    clock: virtual_time.VirtualClock
    gate: slot_limiter.SlotLimiter
    admitted: list[str] = attrs.field(factory=list)
    refused: list[str] = attrs.field(factory=list)

    async def run(
        self,
        name: str,
        request: messages.CallRequest,
        lasts: datetime.timedelta,
    ) -> None:
        now = self.clock.monotonic()
        failure = self.gate.refusal(request, request.timeout)
        if failure is None:
            failure = await self.gate.acquire(request, now + request.timeout)
        if failure is not None:
            assert failure.verdict is verdict.Verdict.NOT_RUN
            self.refused.append(name)
            return
        self.admitted.append(name)
        started = self.clock.monotonic()
        await self.clock.sleep(lasts)
        self.gate.finish(
            request,
            self.clock.monotonic() - started,
            concurrency_limit.CallOutcome.ANSWERED,
        )


def _play(
    main: abc.Callable[[_Door], abc.Awaitable[None]],
    **fields: object,
) -> _Door:
    async def start() -> _Door:
        clock = virtual_time.VirtualClock()
        gate = slot_limiter.SlotLimiter(
            _announced(**fields),
            priority.PriorityDiscipline(),
            lambda _: RATE,
            clock,
        )
        door = _Door(clock, gate)
        await main(door)
        return door

    return virtual_time.run(start())


def test_no_more_calls_run_than_the_target_has_slots() -> None:
    async def main(door: _Door) -> None:
        tasks = [
            asyncio.create_task(door.run(str(n), _request(), 50 * MS))
            for n in range(4)
        ]
        await door.clock.sleep(10 * MS)
        assert door.gate.load().in_flight == SLOTS
        assert door.gate.load().queued == 2
        await asyncio.gather(*tasks)

    assert _play(main).admitted == ["0", "1", "2", "3"]


def test_calls_by_targets_go_before_new_requests() -> None:
    async def main(door: _Door) -> None:
        tasks = [
            asyncio.create_task(door.run(f"first{n}", _request(), 50 * MS))
            for n in range(SLOTS)
        ]
        await door.clock.sleep(MS)
        for name, request in (
            ("new", _request()),
            ("urgent", _request(priority=-1)),
            ("call", _request(from_target=True)),
        ):
            tasks.append(asyncio.create_task(door.run(name, request, 50 * MS)))
            await door.clock.sleep(MS)
        await asyncio.gather(*tasks)

    assert _play(main).admitted[SLOTS:] == ["call", "urgent", "new"]


def test_one_that_can_meet_its_objective_goes_before_one_that_is_late() -> (
    None
):
    async def main(door: _Door) -> None:
        tasks = [
            asyncio.create_task(door.run(f"first{n}", _request(), 50 * MS))
            for n in range(SLOTS)
        ]
        await door.clock.sleep(MS)
        late = _request(objective=0 * MS)
        tasks.append(asyncio.create_task(door.run("late", late, 50 * MS)))
        await door.clock.sleep(MS)
        tasks.append(
            asyncio.create_task(door.run("in time", _request(), 50 * MS))
        )
        await asyncio.gather(*tasks)

    assert _play(main).admitted[SLOTS:] == ["in time", "late"]


def test_a_call_whose_turn_comes_too_late_is_refused_at_once() -> None:
    async def main(door: _Door) -> None:
        tasks = [
            asyncio.create_task(door.run(f"first{n}", _request(), SECOND))
            for n in range(SLOTS)
        ]
        await door.clock.sleep(MS)
        for number in range(40):
            tasks.append(
                asyncio.create_task(
                    door.run(f"next{number}", _request(), 100 * MS)
                )
            )
        await door.clock.sleep(MS)
        assert door.refused, "the queue grew beyond what can be served"
        assert "next0" not in door.refused
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    _play(main)


def test_a_cancelled_waiter_leaves_its_place() -> None:
    async def main(door: _Door) -> None:
        tasks = [
            asyncio.create_task(door.run(f"first{n}", _request(), 50 * MS))
            for n in range(SLOTS)
        ]
        await door.clock.sleep(MS)
        left = asyncio.create_task(door.run("left", _request(), 50 * MS))
        stays = asyncio.create_task(door.run("stays", _request(), 50 * MS))
        await door.clock.sleep(MS)
        left.cancel()
        await asyncio.gather(*tasks, stays)
        assert door.gate.load().in_flight == 0

    assert _play(main).admitted[SLOTS:] == ["stays"]


@pytest.mark.parametrize("assumed", [False, True])
def test_a_cold_target_gets_no_more_than_its_rate(assumed: bool) -> None:
    async def main(door: _Door) -> None:
        if assumed:
            door.gate.assume_cold()
        started = door.clock.monotonic()
        count = 0
        while door.clock.monotonic() - started < 2 * SECOND:
            await asyncio.create_task(
                door.run(str(count), _request(timeout=100 * MS), MS)
            )
            count += 1
            await door.clock.sleep(5 * MS)
        assert RATE <= len(door.admitted) <= 2 * RATE + 1

    cold = datetime.timedelta() if assumed else 10 * SECOND
    _play(main, cold_for=cold)


def test_a_target_that_says_so_is_no_longer_cold() -> None:
    async def main(door: _Door) -> None:
        door.gate.assume_cold()
        assert door.gate.load().cold
        door.gate.announce(_announced(sequence=2))
        assert not door.gate.load().cold

    _play(main)
