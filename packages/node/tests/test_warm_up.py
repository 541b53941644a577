"""Warm-up: never more than the rate in any second while cold."""

import datetime

import hypothesis
from hypothesis import strategies

from balsamramp_node.inbound import warm_up

SECOND = datetime.timedelta(seconds=1)


@hypothesis.given(
    rate=strategies.integers(1, 60),
    gaps=strategies.lists(strategies.integers(0, 200), max_size=300),
)
def test_no_second_has_more_than_the_rate(rate: int, gaps: list[int]) -> None:
    tracked = warm_up.WarmUpRateLimiter()
    tracked.assume_cold()
    now = datetime.timedelta()
    sent: list[datetime.timedelta] = []
    for gap in gaps:
        now += datetime.timedelta(milliseconds=gap)
        if tracked.required_delay(now, float(rate)):
            continue
        tracked.record_call(now)
        sent.append(now)
    for start in sent:
        window = [at for at in sent if start <= at < start + SECOND]
        assert len(window) <= rate


def test_the_wait_ends_when_a_call_may_go() -> None:
    tracked = warm_up.WarmUpRateLimiter()
    tracked.set_cold_for(datetime.timedelta(), 10 * SECOND)
    now = datetime.timedelta()
    for _ in range(30):
        wait = tracked.required_delay(now, 10.0)
        now += wait
        assert not tracked.required_delay(now, 10.0)
        tracked.record_call(now)
    assert now >= 2 * SECOND


def test_a_warm_target_is_not_held_back() -> None:
    tracked = warm_up.WarmUpRateLimiter()
    now = datetime.timedelta()
    for _ in range(100):
        assert not tracked.required_delay(now, 1.0)
        tracked.record_call(now)
