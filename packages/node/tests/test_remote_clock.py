"""The age of a remote time is never taken for less than it is.

Guards against an old state that counts as the present one since the clocks of
two hosts are unrelated, drift, or were set.
"""

import datetime

import hypothesis
from hypothesis import strategies

from balsamramp_core import remote_clock
from balsamramp_testing import virtual_time

MILLISECOND = datetime.timedelta(milliseconds=1)
FIVE_SECONDS = datetime.timedelta(seconds=5)
DELAYS = strategies.integers(0, 2000).map(lambda number: number * MILLISECOND)


class _Hosts:
    """The own clock, which is steady, and one that drifts or is set."""

    def __init__(self, offset: datetime.timedelta, drift: float) -> None:
        self.now = datetime.timedelta()
        self.offset = offset
        self.drift = drift
        self.remote = remote_clock.RemoteClock(_Clock(self))

    @property
    def remote_time(self) -> datetime.timedelta:
        elapsed = self.now * (1 + self.drift) + self.offset
        return elapsed // MILLISECOND * MILLISECOND

    def exchange(
        self, there: datetime.timedelta, back: datetime.timedelta
    ) -> datetime.timedelta:
        """Record a response; return when it was made, by the own clock."""
        sent_at = self.now
        self.now += there
        stated, made_at = self.remote_time, self.now
        self.now += back
        self.remote.record(sent_at, self.now, stated)
        return made_at


class _Clock(virtual_time.VirtualClock):
    def __init__(self, hosts: _Hosts) -> None:
        self._hosts = hosts

    def monotonic(self) -> datetime.timedelta:
        return self._hosts.now


@hypothesis.given(
    offset=strategies.integers(0, 10**9),
    drift=strategies.floats(-0.0004, 0.0004),
    exchanges=strategies.lists(
        strategies.tuples(DELAYS, DELAYS, DELAYS), min_size=1, max_size=8
    ),
    wait=DELAYS,
)
def test_age_is_never_less_than_it_is(
    offset: int,
    drift: float,
    exchanges: list[tuple[datetime.timedelta, ...]],
    wait: datetime.timedelta,
) -> None:
    hosts = _Hosts(offset * datetime.timedelta(microseconds=1), drift)
    for there, back, pause in exchanges:
        hosts.exchange(there, back)
        hosts.now += pause
    stated, made_at = hosts.remote_time, hosts.now
    hosts.now += wait
    age = hosts.remote.age(stated)
    assert age is not None
    assert age >= hosts.now - made_at
    # A response bounds the error by the time of its round trip.
    shortest = min(there + back for there, back, _ in exchanges)
    passed = hosts.now * 2 * remote_clock.DRIFT_MAX
    assert age <= hosts.now - made_at + shortest + passed + 2 * MILLISECOND


def test_age_is_unknown_before_the_first_response() -> None:
    hosts = _Hosts(datetime.timedelta(hours=3), 0.0)
    assert hosts.remote.age(hosts.remote_time) is None


def test_age_is_unknown_after_a_reset() -> None:
    hosts = _Hosts(datetime.timedelta(hours=3), 0.0)
    hosts.exchange(MILLISECOND, MILLISECOND)
    hosts.remote.reset()
    assert hosts.remote.age(hosts.remote_time) is None


def test_time_that_has_not_come_is_not_taken_for_the_present() -> None:
    hosts = _Hosts(datetime.timedelta(hours=3), 0.0)
    hosts.exchange(MILLISECOND, MILLISECOND)
    hosts.offset += datetime.timedelta(seconds=5)
    assert hosts.remote.age(hosts.remote_time) is None


def test_clock_that_was_set_ahead_is_measured_anew() -> None:
    hosts = _Hosts(datetime.timedelta(hours=3), 0.0)
    hosts.exchange(MILLISECOND, MILLISECOND)
    hosts.offset += FIVE_SECONDS
    hosts.exchange(10 * MILLISECOND, 10 * MILLISECOND)
    age = hosts.remote.age(hosts.remote_time)
    assert age is not None
    assert age <= 30 * MILLISECOND


def test_response_that_states_an_earlier_time_is_an_old_one() -> None:
    hosts = _Hosts(datetime.timedelta(hours=3), 0.0)
    hosts.exchange(MILLISECOND, MILLISECOND)
    for _ in range(10):
        hosts.offset -= FIVE_SECONDS
        hosts.exchange(MILLISECOND, MILLISECOND)
        age = hosts.remote.age(hosts.remote_time)
        assert age is not None
        assert age >= FIVE_SECONDS
        hosts.offset += FIVE_SECONDS
        hosts.exchange(MILLISECOND, MILLISECOND)
        age = hosts.remote.age(hosts.remote_time)
        assert age is not None
        assert age <= 30 * MILLISECOND
        hosts.now += FIVE_SECONDS


def test_clock_that_stays_set_back_is_measured_anew() -> None:
    hosts = _Hosts(datetime.timedelta(hours=3), 0.0)
    hosts.exchange(MILLISECOND, MILLISECOND)
    hosts.offset -= FIVE_SECONDS
    began = hosts.now
    while hosts.now < began + remote_clock.SET_BACK_TIME:
        age = hosts.remote.age(hosts.remote_time)
        assert age is not None
        assert age >= FIVE_SECONDS
        hosts.exchange(MILLISECOND, MILLISECOND)
        hosts.now += datetime.timedelta(seconds=1)
    hosts.exchange(MILLISECOND, MILLISECOND)
    age = hosts.remote.age(hosts.remote_time)
    assert age is not None
    assert age <= 50 * MILLISECOND


def test_slow_response_does_not_loosen_the_age() -> None:
    hosts = _Hosts(datetime.timedelta(hours=3), 0.0)
    hosts.exchange(MILLISECOND, MILLISECOND)
    hosts.exchange(900 * MILLISECOND, 900 * MILLISECOND)
    age = hosts.remote.age(hosts.remote_time)
    assert age is not None
    assert age <= 10 * MILLISECOND


def test_age_grows_with_the_drift_since_the_last_response() -> None:
    hosts = _Hosts(datetime.timedelta(hours=3), 0.0)
    hosts.exchange(MILLISECOND, MILLISECOND)
    hosts.now += datetime.timedelta(minutes=20)
    age = hosts.remote.age(hosts.remote_time)
    assert age is not None
    seconds = datetime.timedelta(minutes=20).total_seconds()
    assert age.total_seconds() >= seconds * remote_clock.DRIFT_MAX
