"""A cold target never gets more calls per second than the rate."""

import datetime

import hypothesis
from hypothesis import strategies

from balsamramp_node.inbound import warm_up

SECOND = datetime.timedelta(seconds=1)


@hypothesis.given(
    rate=strategies.integers(1, 60),
    gaps=strategies.lists(strategies.integers(0, 200), max_size=300),
)
def test_no_second_exceeds_the_rate(rate: int, gaps: list[int]) -> None:
    limiter = warm_up.WarmUpRateLimiter()
    limiter.assume_cold()
    now = datetime.timedelta()
    sent_at: list[datetime.timedelta] = []
    for gap in gaps:
        now += datetime.timedelta(milliseconds=gap)
        if limiter.required_delay(now, float(rate)):
            continue
        limiter.record_call(now)
        sent_at.append(now)
    for start in sent_at:
        window = [at for at in sent_at if start <= at < start + SECOND]
        assert len(window) <= rate


def test_call_may_be_sent_after_the_required_delay() -> None:
    limiter = warm_up.WarmUpRateLimiter()
    limiter.set_cold_for(datetime.timedelta(), 10 * SECOND)
    now = datetime.timedelta()
    for _ in range(30):
        wait = limiter.required_delay(now, 10.0)
        now += wait
        assert not limiter.required_delay(now, 10.0)
        limiter.record_call(now)
    assert now >= 2 * SECOND


def test_warm_target_is_not_limited() -> None:
    limiter = warm_up.WarmUpRateLimiter()
    now = datetime.timedelta()
    for _ in range(100):
        assert not limiter.required_delay(now, 1.0)
        limiter.record_call(now)
