"""Concurrency limit that adapts to the outcomes of calls."""

import datetime

import attrs

from balsamramp_node.inbound import concurrency_limit

__all__ = ["AdaptiveLimit"]

LIMIT_MAX = 100
RISE_INTERVAL = datetime.timedelta(milliseconds=200)
HALVE_INTERVAL = datetime.timedelta(milliseconds=100)
IDLE_MAX = datetime.timedelta(seconds=10)
CEILING_RETENTION = datetime.timedelta(seconds=30)
RESTART_SHARE = 0.5
SLOW_FACTOR = 3.0
SLOW_LATENCY_MARGIN = datetime.timedelta(milliseconds=5)
# Weights of the last call in the baseline and in the recent mean latency.
BASELINE_WEIGHT = 0.002
RECENT_WEIGHT = 0.1


class AdaptiveLimit(concurrency_limit.ConcurrencyLimit):
    """Raises the limit slowly with responses and lowers it at once.

    The limit rises by one after as many responses as the limit, each
    received while the limit was fully used, and at most once in
    ``RISE_INTERVAL``. It does not rise until ``warm_up`` after the first
    call to a newly started target, because the capacity of a cold target
    can only be probed by sending it more calls.

    When the target sheds a call, the limit drops below the number then in
    flight and stays a ceiling for ``CEILING_RETENTION``. The limit
    returns to its initial value when the target refuses connections,
    sheds at ``RESTART_SHARE`` of the limit or less, or was idle for
    ``IDLE_MAX``, as it may be cold again. While responses are incomplete,
    or the recent mean latency exceeds ``SLOW_FACTOR`` times the baseline
    (plus ``SLOW_LATENCY_MARGIN``), the limit is halved every
    ``HALVE_INTERVAL``, down to the initial value.
    """

    name = "adaptive"
    doc = "rises with responses, falls when the target sheds or may be cold"

    def __init__(
        self,
        initial: int,
        warm_up: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        super().__init__(initial, warm_up)
        self._state = _State(initial)

    @property
    def limit(self) -> int:
        return self._state.limit

    def finish(
        self,
        now: datetime.timedelta,
        latency: datetime.timedelta,
        outcome: concurrency_limit.CallOutcome,
        in_flight: int,
    ) -> None:
        last_call_at = self._state.last_call_at
        idle = last_call_at is not None and now - last_call_at > IDLE_MAX
        self._state.last_call_at = now
        if outcome in concurrency_limit.OUTCOMES_WITHOUT_EVIDENCE:
            return
        if outcome is concurrency_limit.CallOutcome.SHED:
            self._lower_on_shed(now, in_flight)
            return
        if outcome is concurrency_limit.CallOutcome.CONNECT_FAILED or idle:
            self.reset()
            self._state.last_call_at = now
            return
        if self._state.warm_up_ends_at is None:
            self._state.warm_up_ends_at = now + self._warm_up
        if (
            outcome is concurrency_limit.CallOutcome.INCOMPLETE
            or self._is_slow(latency)
        ):
            self._halve(now)
            return
        self._raise_on_response(now, in_flight)

    def reset(self) -> None:
        self._state = _State(self._initial)

    def _lower_on_shed(self, now: datetime.timedelta, in_flight: int) -> None:
        state = self._state
        state.response_count = 0
        state.raised_at = now
        sustained = max(in_flight - 1, 1)
        if sustained <= state.limit * RESTART_SHARE:
            state.limit = min(self._initial, sustained)
            state.ceiling = LIMIT_MAX
            state.warm_up_ends_at = now + self._warm_up
            return
        state.limit = min(state.limit, sustained)
        state.ceiling = state.limit
        state.ceiling_at = now

    def _halve(self, now: datetime.timedelta) -> None:
        state = self._state
        state.response_count = 0
        state.raised_at = now
        if now - state.halved_at < HALVE_INTERVAL:
            return
        state.halved_at = now
        floor = min(self._initial, state.limit)
        state.limit = max(state.limit // 2, floor)

    def _raise_on_response(
        self, now: datetime.timedelta, in_flight: int
    ) -> None:
        state = self._state
        if in_flight < state.limit:
            return
        state.response_count += 1
        if state.raised_at is None:
            state.raised_at = now
        if state.response_count < state.limit:
            return
        if state.warm_up_ends_at is not None and now < state.warm_up_ends_at:
            return
        if now - state.raised_at < RISE_INTERVAL:
            return
        if state.limit >= state.ceiling:
            if now - state.ceiling_at < CEILING_RETENTION:
                return
            state.ceiling = LIMIT_MAX
        state.limit = min(state.limit + 1, LIMIT_MAX)
        state.response_count = 0
        state.raised_at = now

    def _is_slow(self, latency: datetime.timedelta) -> bool:
        state = self._state
        if state.baseline_latency is None:
            state.baseline_latency = latency
            state.recent_latency = latency
            return False
        state.recent_latency += (
            latency - state.recent_latency
        ) * RECENT_WEIGHT
        state.baseline_latency += (
            latency - state.baseline_latency
        ) * BASELINE_WEIGHT
        return (
            state.recent_latency
            > state.baseline_latency * SLOW_FACTOR + SLOW_LATENCY_MARGIN
        )


@attrs.define
class _State:
    """The estimates since the target was last considered restarted."""

    limit: int
    response_count: int = 0
    warm_up_ends_at: datetime.timedelta | None = None
    raised_at: datetime.timedelta | None = None
    ceiling: int = LIMIT_MAX
    ceiling_at: datetime.timedelta = datetime.timedelta()
    halved_at: datetime.timedelta = datetime.timedelta()
    baseline_latency: datetime.timedelta | None = None
    recent_latency: datetime.timedelta = datetime.timedelta()
    last_call_at: datetime.timedelta | None = None
