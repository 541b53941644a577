"""Adaptive: an admission limit that is learnt from how calls end."""

import datetime

import attrs

from balsamramp_node.inbound import concurrency_limit

__all__ = ["AdaptiveLimit"]

LIMIT_MAX = 100
RISE_INTERVAL = datetime.timedelta(milliseconds=200)
FALL_INTERVAL = datetime.timedelta(milliseconds=100)
IDLE_MAX = datetime.timedelta(seconds=10)
CEILING_RETENTION = datetime.timedelta(seconds=30)
COLD_SHARE = 0.5
SLOW_FACTOR = 3.0
SLOW_MIN = datetime.timedelta(milliseconds=5)
BASE_WEIGHT = 0.002
RECENT_WEIGHT = 0.1


class AdaptiveLimit(concurrency_limit.ConcurrencyLimit):
    """Starts low, rises with evidence, falls at once.

    The limit rises by one after as many answers as the limit, given
    while the limit was in use, and at most once in ``RISE_INTERVAL``; not
    before ``warm_up`` is over, counted from the first call to a target
    that is fresh, since there is no finding out what a cold target bears
    without giving it more.
    When the target sheds, the limit falls below the number then in
    flight, which is remembered as a ceiling for a while. It starts anew
    when the target takes no connection, sheds at half the limit or less,
    or was idle for ``IDLE_MAX``: it may have turned cold. While answers
    are cut, or the mean latency of the last calls is over
    ``SLOW_FACTOR`` times the usual one, the limit is halved each
    ``FALL_INTERVAL``, down to where it started.
    """

    name = "adaptive"
    doc = "rises with answers, falls when the target sheds or turns cold"

    def __init__(
        self,
        initial: int,
        warm_up: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        super().__init__(initial, warm_up)
        self._learnt = _Learnt(initial)

    @property
    def limit(self) -> int:
        return self._learnt.limit

    def finish(
        self,
        now: datetime.timedelta,
        latency: datetime.timedelta,
        outcome: concurrency_limit.CallOutcome,
        in_flight: int,
    ) -> None:
        last = self._learnt.last
        idle = last is not None and now - last > IDLE_MAX
        self._learnt.last = now
        if outcome is concurrency_limit.CallOutcome.CANCELLED:
            return
        if outcome is concurrency_limit.CallOutcome.SHED:
            self._fall(now, in_flight)
            return
        if outcome is concurrency_limit.CallOutcome.CONNECT_FAILED or idle:
            self.reset()
            self._learnt.last = now
            return
        if self._learnt.warm_at is None:
            self._learnt.warm_at = now + self._warm_up
        if (
            outcome is concurrency_limit.CallOutcome.INCOMPLETE
            or self._is_slow(latency)
        ):
            self._halve(now)
            return
        self._rise(now, in_flight)

    def reset(self) -> None:
        self._learnt = _Learnt(self._initial)

    def _fall(self, now: datetime.timedelta, in_flight: int) -> None:
        learnt = self._learnt
        learnt.answers = 0
        learnt.risen_at = now
        borne = max(in_flight - 1, 1)
        if borne <= learnt.limit * COLD_SHARE:
            learnt.limit = min(self._initial, borne)
            learnt.ceiling = LIMIT_MAX
            learnt.warm_at = now + self._warm_up
            return
        learnt.limit = min(learnt.limit, borne)
        learnt.ceiling = learnt.limit
        learnt.ceiling_at = now

    def _halve(self, now: datetime.timedelta) -> None:
        learnt = self._learnt
        learnt.answers = 0
        learnt.risen_at = now
        if now - learnt.halved_at < FALL_INTERVAL:
            return
        learnt.halved_at = now
        low = min(self._initial, learnt.limit)
        learnt.limit = max(learnt.limit // 2, low)

    def _rise(self, now: datetime.timedelta, in_flight: int) -> None:
        learnt = self._learnt
        if in_flight < learnt.limit:
            return
        learnt.answers += 1
        if learnt.risen_at is None:
            learnt.risen_at = now
        if learnt.answers < learnt.limit:
            return
        if learnt.warm_at is not None and now < learnt.warm_at:
            return
        if now - learnt.risen_at < RISE_INTERVAL:
            return
        if learnt.limit >= learnt.ceiling:
            if now - learnt.ceiling_at < CEILING_RETENTION:
                return
            learnt.ceiling = LIMIT_MAX
        learnt.limit = min(learnt.limit + 1, LIMIT_MAX)
        learnt.answers = 0
        learnt.risen_at = now

    def _is_slow(self, latency: datetime.timedelta) -> bool:
        learnt = self._learnt
        if learnt.base is None:
            learnt.base = latency
            learnt.recent = latency
            return False
        learnt.recent += (latency - learnt.recent) * RECENT_WEIGHT
        learnt.base += (latency - learnt.base) * BASE_WEIGHT
        return learnt.recent > learnt.base * SLOW_FACTOR + SLOW_MIN


@attrs.define
class _Learnt:
    """What the calls have shown since the target was last fresh."""

    limit: int
    answers: int = 0
    warm_at: datetime.timedelta | None = None
    risen_at: datetime.timedelta | None = None
    ceiling: int = LIMIT_MAX
    ceiling_at: datetime.timedelta = datetime.timedelta()
    halved_at: datetime.timedelta = datetime.timedelta()
    base: datetime.timedelta | None = None
    recent: datetime.timedelta = datetime.timedelta()
    last: datetime.timedelta | None = None
