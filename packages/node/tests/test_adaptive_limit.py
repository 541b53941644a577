"""Adaptive admission limit: learns the slots, falls when they vanish."""

import datetime
import random

import attrs
import pytest

from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound.concurrency_limits import adaptive

INITIAL = 4
ROUND = datetime.timedelta(milliseconds=50)
FAST = datetime.timedelta(milliseconds=10)
ANSWERED = concurrency_limit.CallOutcome.ANSWERED
CUT = concurrency_limit.CallOutcome.INCOMPLETE
FAILED = concurrency_limit.CallOutcome.CONNECT_FAILED
SHED = concurrency_limit.CallOutcome.SHED


@attrs.define
class _Demand:
    """Offers calls in rounds, as many at once as the limit lets in."""

    limit: adaptive.AdaptiveLimit = attrs.field(
        factory=lambda: adaptive.AdaptiveLimit(INITIAL)
    )
    now: datetime.timedelta = datetime.timedelta()
    shed: int = 0
    highest: int = 0

    def run(self, slots: int, seconds: int, demand: int = 1000) -> None:
        """Offer ``demand`` calls a round to a target with ``slots``."""
        end = self.now + datetime.timedelta(seconds=seconds)
        while self.now < end:
            self.now += ROUND
            admitted = min(self.limit.limit, demand)
            self.highest = max(self.highest, admitted)
            for number in range(admitted, 0, -1):
                outcome = SHED if number > slots else ANSWERED
                self.shed += outcome is SHED
                self.limit.finish(self.now, FAST, outcome, number)


@pytest.mark.parametrize("slots", [10, 20])
def test_learns_slots_without_being_told(slots: int) -> None:
    demand = _Demand()
    demand.run(slots, 60)
    assert demand.limit.limit == slots
    assert demand.highest == slots + 1
    assert demand.shed <= 2


def test_does_not_rise_while_it_is_not_in_use() -> None:
    demand = _Demand()
    demand.run(20, 60, demand=2)
    assert demand.limit.limit == INITIAL


def test_starts_anew_at_first_failure() -> None:
    demand = _Demand()
    demand.run(20, 60)
    demand.limit.finish(demand.now, FAST, FAILED, 20)
    assert demand.limit.limit == INITIAL


def test_starts_anew_when_little_is_shed() -> None:
    demand = _Demand()
    demand.run(20, 60)
    demand.limit.finish(demand.now, FAST, SHED, 3)
    assert demand.limit.limit == 2


def test_starts_anew_after_idle_time() -> None:
    demand = _Demand()
    demand.run(20, 60)
    demand.now += 2 * adaptive.IDLE_MAX
    demand.limit.finish(demand.now, FAST, ANSWERED, 1)
    assert demand.limit.limit == INITIAL


def test_falls_when_latency_jumps() -> None:
    demand = _Demand()
    demand.run(20, 60)
    for _ in range(100):
        demand.now += FAST
        demand.limit.finish(demand.now, FAST * 10, ANSWERED, 20)
    assert demand.limit.limit == INITIAL


def test_keeps_limit_under_mixed_latencies() -> None:
    demand = _Demand()
    demand.run(20, 60)
    rng = random.Random(1)
    for _ in range(5000):
        demand.now += ROUND / 20
        latency = rng.choice([FAST, FAST, FAST * 5])
        demand.limit.finish(demand.now, latency, ANSWERED, 10)
    assert demand.limit.limit == 20


def test_keeps_initial_limit_while_target_warms_up() -> None:
    warm_up = datetime.timedelta(seconds=10)
    demand = _Demand(adaptive.AdaptiveLimit(INITIAL, warm_up))
    demand.run(INITIAL, 10)
    assert demand.shed == 0
    demand.run(20, 60)
    assert demand.limit.limit == 20


def test_halves_when_an_answer_is_cut() -> None:
    demand = _Demand()
    demand.run(20, 60)
    for _ in range(20):
        demand.limit.finish(demand.now, FAST, CUT, 20)
    assert demand.limit.limit == 10
