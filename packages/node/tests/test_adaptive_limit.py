"""The adaptive limit converges to the slots and falls with them."""

import datetime
import random

import attrs
import pytest

from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound.concurrency_limits import adaptive

INITIAL = 4
ROUND_INTERVAL = datetime.timedelta(milliseconds=50)
FAST_LATENCY = datetime.timedelta(milliseconds=10)
ANSWERED = concurrency_limit.CallOutcome.ANSWERED
INCOMPLETE = concurrency_limit.CallOutcome.INCOMPLETE
CONNECT_FAILED = concurrency_limit.CallOutcome.CONNECT_FAILED
SHED = concurrency_limit.CallOutcome.SHED


@attrs.define
class _LoadGenerator:
    """Offers calls in rounds, as many at once as the limit admits."""

    limit: adaptive.AdaptiveLimit = attrs.field(
        factory=lambda: adaptive.AdaptiveLimit(INITIAL)
    )
    now: datetime.timedelta = datetime.timedelta()
    shed: int = 0
    max_admitted: int = 0

    def run(self, slots: int, seconds: int, demand: int = 1000) -> None:
        """Offer ``demand`` calls per round to a target with ``slots``."""
        end = self.now + datetime.timedelta(seconds=seconds)
        while self.now < end:
            self.now += ROUND_INTERVAL
            admitted = min(self.limit.limit, demand)
            self.max_admitted = max(self.max_admitted, admitted)
            for number in range(admitted, 0, -1):
                outcome = SHED if number > slots else ANSWERED
                self.shed += outcome is SHED
                self.limit.finish(self.now, FAST_LATENCY, outcome, number)


@pytest.mark.parametrize("slots", [10, 20])
def test_converges_to_the_slots_of_the_target(slots: int) -> None:
    demand = _LoadGenerator()
    demand.run(slots, 60)
    assert demand.limit.limit == slots
    assert demand.max_admitted == slots + 1
    assert demand.shed <= 2


def test_does_not_rise_while_not_fully_used() -> None:
    demand = _LoadGenerator()
    demand.run(20, 60, demand=2)
    assert demand.limit.limit == INITIAL


def test_returns_to_initial_limit_on_connect_failure() -> None:
    demand = _LoadGenerator()
    demand.run(20, 60)
    demand.limit.finish(demand.now, FAST_LATENCY, CONNECT_FAILED, 20)
    assert demand.limit.limit == INITIAL


def test_returns_to_initial_limit_when_shed_at_low_load() -> None:
    demand = _LoadGenerator()
    demand.run(20, 60)
    demand.limit.finish(demand.now, FAST_LATENCY, SHED, 3)
    assert demand.limit.limit == 2


def test_returns_to_initial_limit_after_idle_time() -> None:
    demand = _LoadGenerator()
    demand.run(20, 60)
    demand.now += 2 * adaptive.IDLE_MAX
    demand.limit.finish(demand.now, FAST_LATENCY, ANSWERED, 1)
    assert demand.limit.limit == INITIAL


def test_falls_when_latency_rises() -> None:
    demand = _LoadGenerator()
    demand.run(20, 60)
    for _ in range(100):
        demand.now += FAST_LATENCY
        demand.limit.finish(demand.now, FAST_LATENCY * 10, ANSWERED, 20)
    assert demand.limit.limit == INITIAL


def test_keeps_limit_under_mixed_latencies() -> None:
    demand = _LoadGenerator()
    demand.run(20, 60)
    rng = random.Random(1)
    for _ in range(5000):
        demand.now += ROUND_INTERVAL / 20
        latency = rng.choice([FAST_LATENCY, FAST_LATENCY, FAST_LATENCY * 5])
        demand.limit.finish(demand.now, latency, ANSWERED, 10)
    assert demand.limit.limit == 20


def test_keeps_initial_limit_while_target_warms_up() -> None:
    warm_up = datetime.timedelta(seconds=10)
    demand = _LoadGenerator(adaptive.AdaptiveLimit(INITIAL, warm_up))
    demand.run(INITIAL, 10)
    assert demand.shed == 0
    demand.run(20, 60)
    assert demand.limit.limit == 20


def test_halves_on_incomplete_response() -> None:
    demand = _LoadGenerator()
    demand.run(20, 60)
    for _ in range(20):
        demand.limit.finish(demand.now, FAST_LATENCY, INCOMPLETE, 20)
    assert demand.limit.limit == 10
