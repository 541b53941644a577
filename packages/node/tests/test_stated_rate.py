"""A target gets no more calls than the limit that it states."""

import datetime
import typing

import hypothesis
from hypothesis import strategies

from balsamramp_node.inbound import stated_rate

STEP = datetime.timedelta(milliseconds=5)
START = datetime.timedelta(seconds=100)
WINDOW = datetime.timedelta(seconds=4)
SECOND = datetime.timedelta(seconds=1)


def _flood(
    limiter: stated_rate.StatedRateLimiter,
    start: datetime.timedelta,
    seconds: float,
    respond: typing.Callable[[datetime.timedelta], None] | None = None,
) -> list[datetime.timedelta]:
    """Send a call whenever it is allowed, and return the times."""
    calls = []
    now = start
    while now < start + seconds * SECOND:
        while not limiter.required_delay(now):
            limiter.record_call(now)
            calls.append(now)
            if respond is not None:
                respond(now)
            if len(calls) > 10_000:
                return calls
        now += STEP
    return calls


def _most_in_window(calls: list[datetime.timedelta]) -> int:
    return max(
        sum(first <= call <= first + WINDOW for call in calls)
        for first in calls
    )


@hypothesis.settings(max_examples=30, deadline=None)
@hypothesis.given(rate=strategies.floats(0.0, 200.0))
def test_no_window_has_more_calls_than_the_limit_allows(rate: float) -> None:
    limiter = stated_rate.StatedRateLimiter()
    limiter.set_rate(START, rate, START)
    calls = _flood(limiter, START, 10)
    assert _most_in_window(calls) <= 1.5 * rate * 4 + 5
    assert len(calls) >= rate * 10 * 0.9


def test_lower_limit_holds_at_once() -> None:
    limiter = stated_rate.StatedRateLimiter()
    limiter.set_rate(START, 100.0, START)
    _flood(limiter, START, 1)
    later = START + SECOND
    limiter.set_rate(later, 4.0, later)
    assert len(_flood(limiter, later, 4)) <= 17


def test_limit_ends_with_a_response_to_a_later_call() -> None:
    limiter = stated_rate.StatedRateLimiter()
    limiter.set_rate(START, 4.0, START - SECOND)
    limiter.set_rate(START + SECOND, None, START - SECOND)
    assert limiter.rate == 4.0
    limiter.set_rate(START + SECOND, None, START + SECOND / 2)
    assert limiter.rate is None
    assert not limiter.required_delay(START + SECOND)


def test_one_call_is_sent_while_the_limit_is_unknown() -> None:
    limiter = stated_rate.StatedRateLimiter(known=False)
    assert len(_flood(limiter, START, 0.4)) == 1
    limiter.set_rate(START + 0.4 * SECOND, 4.0, START)
    assert len(_flood(limiter, START + 0.4 * SECOND, 4)) <= 17


def test_calls_go_on_if_the_first_response_does_not_come() -> None:
    limiter = stated_rate.StatedRateLimiter(known=False)
    assert len(_flood(limiter, START, 1)) > 10
