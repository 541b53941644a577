"""Estimates how long a target takes for the calls of each route.

Calls are refused by these estimates, and only calls that are served correct
them. Under a load that keeps the target full, an estimate that has become
too long would have all calls of its route refused for as long as the load
lasts. So an estimate that no call confirms is taken to be shorter and
shorter, until a call is admitted.
"""

import datetime

import attrs

__all__ = ["ServiceTimes"]

# Weight of the last call in the mean service times of its route and target.
MEAN_WEIGHT = 0.1
# Assumed until the first call to a target has ended.
MEAN_DEFAULT = datetime.timedelta(milliseconds=100)
# Time for which an estimate holds without a call that confirms it, besides
# the time that such a call takes. Callers retry for about as long.
CONFIRMED_FOR = datetime.timedelta(seconds=1)
# Time in which an estimate halves after that.
HALF_LIFE = datetime.timedelta(seconds=1)
# Halvings after which nothing is left of any estimate.
HALVINGS_MAX = 20
# Routes that are known; the oldest are forgotten.
ROUTES_MAX = 10_000
NONE = datetime.timedelta()


@attrs.define
class _Estimate:
    """``mean`` is None until the target has answered a call of the route."""

    confirmed_at: datetime.timedelta
    mean: datetime.timedelta | None = None


class ServiceTimes:
    """Moving averages of the service times of one target.

    A route that the target has not answered yet has the mean of all.

    Example::

        times.expected("read", now)
        times.record_answer("read", latency, now)
    """

    def __init__(self) -> None:
        self._mean = MEAN_DEFAULT
        self._estimates: dict[str, _Estimate] = {}

    @property
    def mean(self) -> datetime.timedelta:
        """Return the mean service time of all calls."""
        return self._mean

    def expected(
        self, route: str, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return the time that a call of the route is expected to take."""
        estimate = self._find(route, now)
        mean = self._mean if estimate.mean is None else estimate.mean
        unconfirmed = now - estimate.confirmed_at - CONFIRMED_FOR - mean
        if unconfirmed <= NONE:
            return mean
        return mean * 0.5 ** min(unconfirmed / HALF_LIFE, HALVINGS_MAX)

    def record_answer(
        self, route: str, latency: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Record that the target answered a call after ``latency``."""
        estimate = self._find(route, now)
        estimate.confirmed_at = now
        mean = latency if estimate.mean is None else estimate.mean
        estimate.mean = mean + (latency - mean) * MEAN_WEIGHT
        self._mean += (latency - self._mean) * MEAN_WEIGHT

    def record_failure(
        self, route: str, latency: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Record that a call ended after ``latency`` without an answer.

        Its service time may have been longer, so it confirms an estimate
        that is not.
        """
        estimate = self._find(route, now)
        mean = self._mean if estimate.mean is None else estimate.mean
        if latency >= mean:
            estimate.confirmed_at = now

    def _find(self, route: str, now: datetime.timedelta) -> _Estimate:
        estimate = self._estimates.get(route)
        if estimate is None:
            while len(self._estimates) >= ROUTES_MAX:
                del self._estimates[next(iter(self._estimates))]
            estimate = _Estimate(now)
            self._estimates[route] = estimate
        return estimate
