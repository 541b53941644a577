"""Rollout policy that compares both versions with a sequential test."""

from collections import abc
import datetime
import math
import typing

import attrs

from balsamramp_core.resources import rollout
from balsamramp_node.rollouts import rollout_evidence
from balsamramp_node.rollouts import rollout_policy
from balsamramp_node.rollouts import rollout_state
from balsamramp_node.rollouts import sequential_test
from balsamramp_wire import rollout_messages

__all__ = ["EvidencePolicy", "FALSE_ALARM_RATE", "CANARY_SHARE"]

# Maximum probability that a version as good as the old one is rolled back.
FALSE_ALARM_RATE = 0.01
# Probability that a version with one of the rates below shows no failure.
MISS_RATE = 0.05
DETECTABLE_BAD_RATE = 0.05
DETECTABLE_STEP_BAD_RATE = 0.15
DETECTABLE_ROUTE_BAD_RATE = 1 / 3
CANARY_SHARE = 0.05
ROUTE_SHARE_MIN = 0.05
# Likelihood ratios of "new is worse" from which a completed rollout is
# revalidated, and from which no further step is granted.
REVALIDATION_RATIO = 100.0
HOLD_RATIO = 20.0
REVALIDATION_SHARE = 0.5
REFUSED_SHARE_MAX = 0.05
# Fraction of the planned time in which the steps are scheduled.
SCHEDULED_FRACTION = 0.8
STEP_DURATION_FRACTION = 0.04
STEP_DURATION_MIN = datetime.timedelta(seconds=2)
CAPACITY_INTERVAL = datetime.timedelta(seconds=5)
REVALIDATION_FRACTION = 0.25
REVALIDATION_MIN = datetime.timedelta(seconds=15)
TESTS_PER_GROUP = 2
BAD_CALLS_MIN = 2
BASELINE_WEIGHT_MAX = 4

CALLS_NEEDED = math.ceil(
    math.log(MISS_RATE) / math.log1p(-DETECTABLE_BAD_RATE)
)
STEP_CALLS_NEEDED = math.ceil(
    math.log(MISS_RATE) / math.log1p(-DETECTABLE_STEP_BAD_RATE)
)
ROUTE_CALLS_NEEDED = math.ceil(
    math.log(MISS_RATE) / math.log1p(-DETECTABLE_ROUTE_BAD_RATE)
)

PHASE = rollout_state.RolloutPhase
TERMINAL_PHASES = (*rollout_state.ROLLED_BACK_PHASES, PHASE.FINISHED)
State = rollout_messages.RolloutState
Evidence = rollout_evidence.Evidence


@attrs.frozen
class _Finding:
    """The comparison with the highest likelihood ratio."""

    ratio: float
    cause: rollout_state.Cause
    text: str


class EvidencePolicy(rollout_policy.RolloutPolicy):
    """Raises the share on schedule while the evidence permits it.

    The new version receives 5% of the calls until 59 calls, and 8 on each
    route with at least 5% of the traffic, have been recorded: by then, a
    version that fails one call in 20 (one in 3 on one route) has failed at
    least once with a probability of 95%. Each further step needs 19 calls
    at the current share (enough to detect one failure in 7 at that load),
    at most 5% refusals for lack of capacity in the last 5 s, and a
    likelihood ratio below ``HOLD_RATIO``. The steps are scheduled in the
    first 80% of the time, which leaves a reserve for holds; a rollout two
    steps behind schedule skips one.

    A sequential test (see ``sequential_test``) compares failures and
    slowness, on each route and overall. The probability that a version as
    good as the old one is rolled back is at most 1% for each span of 120
    windows (two planned durations).
    """

    name = "evidence"
    doc = "on schedule while a side-by-side test finds new no worse than old"
    rolls_back_on_baseline: typing.ClassVar[bool] = False
    shares: typing.ClassVar[tuple[float, ...]] = (
        0.0,
        CANARY_SHARE,
        0.1,
        0.2,
        0.35,
        0.5,
        0.75,
        1.0,
    )

    def decide(
        self,
        intent: rollout.Rollout,
        state: State,
        evidence: Evidence,
        now: datetime.datetime,
    ) -> State:
        state = rollout_policy.apply_operator_abort(intent, state, now)
        phase = rollout_state.phase(state)
        if phase in TERMINAL_PHASES or now < intent.start:
            return state
        if phase is PHASE.COMPLETED:
            return self._check_completed(intent, state, evidence, now)
        worst = _worst_finding(evidence, _test_epoch(state))
        if worst.ratio >= _rollback_ratio(evidence):
            return rollout_state.enter_phase(
                state, PHASE.ROLLED_BACK, now, worst.cause.value, worst.text
            )
        if phase is PHASE.REVALIDATING:
            return _finish_if_due(intent, state, now)
        return self._advance(intent, state, evidence, now, worst.ratio)

    def share(self, state: State) -> float:
        if rollout_state.phase(state) is PHASE.REVALIDATING:
            return REVALIDATION_SHARE
        return super().share(state)

    def blocking_reason(
        self,
        intent: rollout.Rollout,
        state: State,
        evidence: Evidence,
        now: datetime.datetime,
    ) -> str:
        """Return why the next step is not granted yet; empty if it is."""
        return self._blocking_reason(
            intent, state, evidence, now, _worst_finding(evidence, 0).ratio
        )

    def min_step_duration(self, intent: rollout.Rollout) -> datetime.timedelta:
        """Return the shortest time between two steps."""
        return max(
            STEP_DURATION_MIN,
            STEP_DURATION_FRACTION * (intent.deadline - intent.start),
        )

    def step_due_at(
        self, intent: rollout.Rollout, step: int
    ) -> datetime.datetime:
        """Return the planned time of ``step``."""
        fraction = SCHEDULED_FRACTION * (step - 1) / (self.last_step - 1)
        return intent.start + fraction * (intent.deadline - intent.start)

    def forecast(
        self,
        intent: rollout.Rollout,
        state: State,
        evidence: Evidence,
        now: datetime.datetime,
    ) -> datetime.datetime:
        """Return the expected time of the last step.

        The schedule is simulated from the current step on: each step waits
        for its planned time, for the minimum duration of the previous step
        and for the calls that it needs, at the call rate so far.
        """
        step = rollout_state.step(state)
        started = state.marks.get(PHASE.PROGRESSING.value)
        calls = evidence.total(False).calls + evidence.total(True).calls
        if started is None or not calls or now <= started.at:
            return self.extrapolate(intent, state, now)
        call_interval = (now - started.at) / calls
        recorded_calls = evidence.total(True, None, step).calls
        at = rollout_state.step_started_at(state) or now
        while 0 < step < self.last_step:
            calls_left = max(0, _calls_needed(step) - recorded_calls)
            required_wait = calls_left / self.shares[step] * call_interval
            earliest = at + self.min_step_duration(intent)
            at = max(
                self.step_due_at(intent, step + 1),
                earliest,
                now + required_wait,
            )
            now = at
            step = self._next_step(intent, step, now)
            recorded_calls = 0
        return at

    def _advance(
        self,
        intent: rollout.Rollout,
        state: State,
        evidence: Evidence,
        now: datetime.datetime,
        ratio: float,
    ) -> State:
        state = rollout_state.enter_phase(state, PHASE.PROGRESSING, now)
        step = rollout_state.step(state)
        if step == 0:
            return rollout_state.advance_to_step(state, 1, now)
        reason = self._blocking_reason(intent, state, evidence, now, ratio)
        if reason:
            return _handle_deadline(intent, state, now, reason)
        next_step = self._next_step(intent, step, now)
        state = rollout_state.advance_to_step(state, next_step, now)
        if next_step < self.last_step:
            return state
        return rollout_state.enter_phase(state, PHASE.COMPLETED, now)

    def _next_step(
        self, intent: rollout.Rollout, step: int, now: datetime.datetime
    ) -> int:
        """Return the next step, skipping one if behind schedule."""
        after_next = step + 2
        if after_next > self.last_step or now < self.step_due_at(
            intent, after_next
        ):
            return step + 1
        return after_next

    def _blocking_reason(
        self,
        intent: rollout.Rollout,
        state: State,
        evidence: Evidence,
        now: datetime.datetime,
        ratio: float,
    ) -> str:
        step = rollout_state.step(state)
        step_began_at = rollout_state.step_started_at(state) or intent.start
        if now < self.step_due_at(intent, step + 1):
            return "the next step is not due"
        if now < step_began_at + self.min_step_duration(intent):
            return "the previous step is too recent"
        if ratio >= HOLD_RATIO:
            return f"likelihood ratio of a worse new version is {ratio:.0f}"
        return _missing_calls(evidence, step) or _capacity_shortfall(
            evidence,
            step,
            rollout_evidence.window_of(intent, now - CAPACITY_INTERVAL),
        )

    def _check_completed(
        self,
        intent: rollout.Rollout,
        state: State,
        evidence: Evidence,
        now: datetime.datetime,
    ) -> State:
        for route, slow in _applicable_tests(evidence, self.last_step):
            ratio = sequential_test.likelihood_ratio(
                _compare_with_baseline(evidence, route, slow, self.last_step),
                rollout_evidence.RETAINED_WINDOWS,
            )
            if ratio < REVALIDATION_RATIO:
                continue
            cause = _cause(slow).value
            scope = f"route {route}" if route else "all routes"
            text = f"more {cause} on {scope} than in the baseline"
            entered = PHASE.REVALIDATING
            if slow is None and self.rolls_back_on_baseline:
                entered = PHASE.ROLLED_BACK
            return rollout_state.enter_phase(state, entered, now, cause, text)
        return _finish_if_due(intent, state, now)


def _finish_if_due(
    intent: rollout.Rollout, state: State, now: datetime.datetime
) -> State:
    end = state.marks[PHASE.COMPLETED.value].at + intent.scale_down_delay
    revalidating = state.marks.get(PHASE.REVALIDATING.value)
    if revalidating is not None:
        planned = intent.deadline - intent.start
        end = max(
            end,
            revalidating.at
            + max(REVALIDATION_MIN, REVALIDATION_FRACTION * planned),
        )
    if now < end:
        return state
    return rollout_state.enter_phase(state, PHASE.FINISHED, now)


def _handle_deadline(
    intent: rollout.Rollout,
    state: State,
    now: datetime.datetime,
    reason: str,
) -> State:
    if now < intent.deadline:
        return state
    text = f"not complete by {intent.deadline.isoformat()}: {reason}"
    if intent.late is rollout.LatePolicy.HOLD:
        return rollout_state.mark_late(state, now, text)
    return rollout_state.enter_phase(
        state,
        PHASE.EXPIRED,
        now,
        rollout_state.Cause.LATE.value,
        text,
    )


def _test_epoch(state: State) -> int:
    if PHASE.REVALIDATING.value in state.marks:
        return rollout_state.epoch(state)
    return 0


def _rollback_ratio(evidence: Evidence) -> float:
    groups = 1 + len(evidence.routes())
    return TESTS_PER_GROUP * groups / FALSE_ALARM_RATE


def _applicable_tests(
    evidence: Evidence, epoch: int
) -> abc.Iterator[tuple[str | None, int | None]]:
    """Yield route and slow bucket of each test with enough bad calls."""
    for route in (None, *evidence.routes()):
        new = evidence.total(True, route, epoch)
        if new.bad(None) >= BAD_CALLS_MIN:
            yield route, None
        slow = evidence.slow_bucket(route)
        if slow is not None and new.bad(slow) >= BAD_CALLS_MIN:
            yield route, slow


def _cause(slow: int | None) -> rollout_state.Cause:
    if slow is None:
        return rollout_state.Cause.FAILURES
    return rollout_state.Cause.SLOWNESS


def _worst_finding(evidence: Evidence, epoch: int) -> _Finding:
    worst = _Finding(0.0, rollout_state.Cause.FAILURES, "")
    for route, slow in _applicable_tests(evidence, epoch):
        ratio = sequential_test.likelihood_ratio(
            evidence.logs(route, slow, epoch),
            rollout_evidence.RETAINED_WINDOWS,
        )
        if ratio <= worst.ratio:
            continue
        old = evidence.total(False, route, epoch)
        new = evidence.total(True, route, epoch)
        cause = _cause(slow)
        scope = f"route {route}" if route else "all routes"
        text = (
            f"{cause.value} on {scope}: new {new.bad(slow)} of {new.calls} "
            f"calls, old {old.bad(slow)} of {old.calls}"
        )
        worst = _Finding(ratio, cause, text)
    return worst


def _calls_needed(step: int) -> int:
    return CALLS_NEEDED if step <= 1 else STEP_CALLS_NEEDED


def _missing_calls(evidence: Evidence, step: int) -> str:
    needed = _calls_needed(step)
    at_step = evidence.total(True, None, step)
    if at_step.calls < needed:
        return f"{at_step.calls} of {needed} calls recorded at this step"
    all_calls = evidence.total(False).calls + evidence.total(True).calls
    for route in evidence.routes():
        recorded_calls = evidence.total(True, route).calls
        route_calls = evidence.total(False, route).calls + recorded_calls
        if route_calls < ROUTE_SHARE_MIN * all_calls:
            continue
        if recorded_calls < ROUTE_CALLS_NEEDED:
            return (
                f"{recorded_calls} of {ROUTE_CALLS_NEEDED} calls recorded on "
                f"route {route}"
            )
    return ""


def _capacity_shortfall(evidence: Evidence, epoch: int, window: int) -> str:
    new = evidence.recent(True, epoch, window)
    offered = new.calls + new.refused
    if new.refused <= REFUSED_SHARE_MAX * offered:
        return ""
    return (
        f"targets of the new version refused {new.refused} of {offered} calls"
    )


def _compare_with_baseline(
    evidence: Evidence, route: str | None, slow: int | None, epoch: int
) -> list[sequential_test.WindowLogs]:
    """Compare each window since ``epoch`` with the baseline.

    The baseline is the old version over all retained windows, scaled down
    to at most four times the calls of the window.
    """
    baseline = evidence.total(False, route)
    windows = []
    for strata in evidence.strata(route, slow, epoch):
        new_calls = sum(item.new_calls for item in strata)
        new_bad = sum(item.new_bad for item in strata)
        if not baseline.calls or not new_calls:
            continue
        scale = min(1.0, BASELINE_WEIGHT_MAX * new_calls / baseline.calls)
        old_calls = max(1, round(scale * baseline.calls))
        old_bad = min(old_calls, math.ceil(scale * baseline.bad(slow)))
        stratum = sequential_test.Stratum(
            old_calls, old_bad, new_calls, new_bad
        )
        windows.append(sequential_test.window_logs([stratum]))
    return windows
