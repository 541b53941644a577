"""Which share of the calls of each route a target serves under overload.

Guards against a route of which nothing is served for as long as the load
lasts: its priority is low, or its calls have less time to wait than others.
"""

import asyncio
import collections
import datetime
import random

import attrs
import pytest

from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import queue_disciplines
from balsamramp_node.inbound import targets
from balsamramp_node.inbound.limiters import slot_limiter
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

MS = datetime.timedelta(milliseconds=1)
SECONDS = 40
# A burst is as long, after a load that the target bears.
BURST_SECONDS = 15
CALM_LOAD = 0.5
SLOTS = 12
# Below this part of the share of all, operators count a route as starved.
STARVED_RATIO = 0.25


@attrs.frozen
class _Route:
    name: str
    rate: float
    priority: int
    work: float
    objective: int
    timeout: int

    def request(self) -> messages.CallRequest:
        return messages.CallRequest(
            call_id="c",
            service="s",
            target="t",
            incarnation=1,
            method="GET",
            path="/",
            headers=(),
            timeout=self.timeout * MS,
            idempotent=True,
            route=self.name,
            objective=self.objective * MS,
            priority=self.priority,
        )


WRITE = _Route("write", 31, 1, 240, 400, 1000)
LOOKUP = _Route("lookup", 54, 2, 44, 100, 250)
RARE = attrs.evolve(LOOKUP, rate=0.1)
CHECK = _Route("check", 22, 2, 44, 100, 250)
DOWNLOAD = _Route("download", 32, 2, 144, 300, 800)
FILE = _Route("file", 30, 2, 144, 250, 600)


async def _shares(
    routes: tuple[_Route, ...],
    load: float,
    seed: int,
    calm_seconds: float = 0,
    seconds: float = SECONDS,
) -> tuple[dict[str, float], float]:
    """Return the share of each route's calls that are served, and of all.

    Before the load, for ``calm_seconds``, no calls are counted.
    """
    rng = random.Random(seed)
    clock = virtual_time.VirtualClock()
    limiter = slot_limiter.SlotLimiter(
        targets.Announcement(
            target="t",
            service="s",
            url="http://t:80",
            instance="1",
            started_ms=1,
            slots=SLOTS,
        ),
        queue_disciplines.find_queue_discipline("worth")(),
        lambda _: 0.0,
        clock,
    )
    sent: collections.Counter[str] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()

    def calm() -> bool:
        return clock.monotonic() < calm_seconds * 1000 * MS

    async def call(route: _Route) -> None:
        request = route.request()
        counted = not calm()
        sent[route.name] += counted
        deadline = clock.monotonic() + request.timeout
        if limiter.refusal(request, request.timeout) is not None:
            return
        if await limiter.acquire(request, deadline) is not None:
            return
        work = route.work * rng.lognormvariate(-0.125, 0.5) * MS
        in_time = clock.monotonic() + work <= deadline
        work = min(work, deadline - clock.monotonic())
        await clock.sleep(work)
        outcome = concurrency_limit.CallOutcome.INCOMPLETE
        if in_time:
            served[route.name] += counted
            outcome = concurrency_limit.CallOutcome.ANSWERED
        limiter.finish(request, work, outcome)

    async def send(route: _Route) -> None:
        async with asyncio.TaskGroup() as calls:
            while clock.monotonic() < seconds * 1000 * MS:
                calls.create_task(call(route))
                factor = CALM_LOAD if calm() else load
                gap = rng.expovariate(route.rate * factor)
                await clock.sleep(gap * 1000 * MS)

    await asyncio.gather(*map(send, routes))
    shares = {name: served[name] / sent[name] for name in sent}
    return shares, served.total() / sent.total()


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("load", [1.7, 2.1, 3.0])
@pytest.mark.parametrize(
    "routes",
    [(WRITE, LOOKUP), (DOWNLOAD, FILE, CHECK)],
    ids=["priorities", "waits"],
)
def test_no_route_is_starved_while_a_target_is_overloaded(
    routes: tuple[_Route, ...], load: float, seed: int
) -> None:
    shares, all_share = virtual_time.run(_shares(routes, load, seed))
    assert min(shares.values()) >= STARVED_RATIO * all_share, shares


@pytest.mark.parametrize("seed", [1, 2])
def test_no_route_is_starved_in_a_burst_after_a_long_calm(seed: int) -> None:
    played = _shares((WRITE, LOOKUP), 2.1, seed, SECONDS - BURST_SECONDS)
    shares, all_share = virtual_time.run(played)
    assert min(shares.values()) >= STARVED_RATIO * all_share, shares


@pytest.mark.parametrize("seed", [1, 2])
def test_rare_route_is_not_starved_while_a_target_is_overloaded(
    seed: int,
) -> None:
    played = _shares((WRITE, RARE), 3.0, seed, seconds=200)
    shares, all_share = virtual_time.run(played)
    assert min(shares.values()) >= STARVED_RATIO * all_share, shares
