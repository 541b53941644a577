"""Adaptive: an admission limit that is learnt from how calls end."""

import datetime

import attrs

from balsamramp_node import admission

__all__ = ["AdaptiveLimit"]

LIMIT_MAX = 100
RISE_INTERVAL = datetime.timedelta(milliseconds=200)
IDLE_MAX = datetime.timedelta(seconds=10)
CEILING_RETENTION = datetime.timedelta(seconds=30)
COLD_SHARE = 0.5
SLOW_FACTOR = 3.0
SLOW_MIN = datetime.timedelta(milliseconds=5)
BASE_WEIGHT = 0.02
RECENT_WEIGHT = 0.3


class AdaptiveLimit(admission.AdmissionLimit):
    """Starts low, rises with evidence, falls at once.

    The limit rises by one after as many answers as the limit, given
    while the limit was in use, and at most once in ``RISE_INTERVAL``.
    When the target sheds, the limit falls below the number then in
    flight, which is remembered as a ceiling for a while. It starts anew
    when the target fails, sheds at half the limit or less, answers at
    ``SLOW_FACTOR`` times its usual latency, or was idle for
    ``IDLE_MAX``: it may have turned cold.
    """

    name = "adaptive"
    doc = "rises with answers, falls when the target sheds or turns cold"

    def __init__(self, initial: int) -> None:
        super().__init__(initial)
        self._learnt = _Learnt(initial)

    @property
    def limit(self) -> int:
        return self._learnt.limit

    def finish(
        self,
        now: datetime.timedelta,
        latency: datetime.timedelta,
        outcome: admission.Outcome,
        in_flight: int,
    ) -> None:
        last = self._learnt.last
        idle = last is not None and now - last > IDLE_MAX
        self._learnt.last = now
        if outcome is admission.Outcome.CANCELLED:
            return
        if outcome is admission.Outcome.SHED:
            self._fall(now, in_flight)
            return
        failed = outcome is admission.Outcome.FAILED
        if failed or idle or self._is_slow(latency):
            self.reset()
            self._learnt.last = now
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
            return
        learnt.limit = min(learnt.limit, borne)
        learnt.ceiling = learnt.limit
        learnt.ceiling_at = now

    def _rise(self, now: datetime.timedelta, in_flight: int) -> None:
        learnt = self._learnt
        if in_flight < learnt.limit:
            return
        learnt.answers += 1
        if learnt.risen_at is None:
            learnt.risen_at = now
        if learnt.answers < learnt.limit:
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
        weight = RECENT_WEIGHT if latency < learnt.base else BASE_WEIGHT
        learnt.base += (latency - learnt.base) * weight
        return learnt.recent > learnt.base * SLOW_FACTOR + SLOW_MIN


@attrs.define
class _Learnt:
    """What the calls have shown since the target was last fresh."""

    limit: int
    answers: int = 0
    risen_at: datetime.timedelta | None = None
    ceiling: int = LIMIT_MAX
    ceiling_at: datetime.timedelta = datetime.timedelta()
    base: datetime.timedelta | None = None
    recent: datetime.timedelta = datetime.timedelta()
    last: datetime.timedelta | None = None
