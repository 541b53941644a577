"""Rollout policy with a fixed threshold for the error rate."""

import datetime

from balsamramp_core.resources import rollout
from balsamramp_node.rollouts import rollout_evidence
from balsamramp_node.rollouts import rollout_policy
from balsamramp_node.rollouts import rollout_state
from balsamramp_node.rollouts.policies import by_time
from balsamramp_wire import rollout_messages

__all__ = ["ErrorRatePolicy"]

CALLS_MIN = 20
FAILURE_SHARE_MAX = 0.05
PHASE = rollout_state.RolloutPhase


class ErrorRatePolicy(rollout_policy.RolloutPolicy):
    """Raises the share by time; rolls back above a fixed error rate.

    A baseline for other policies: once the retained windows have 20 calls
    of the new version, it is rolled back if more than 5% of them failed,
    regardless of the old version and of the availability zone.
    """

    name = "error-rate"
    doc = "steps by time, rolled back above 5% failures"
    shares = by_time.ByTimePolicy.shares

    def __init__(self) -> None:
        self._by_time = by_time.ByTimePolicy()

    def decide(
        self,
        intent: rollout.Rollout,
        state: rollout_messages.RolloutState,
        evidence: rollout_evidence.Evidence,
        now: datetime.datetime,
    ) -> rollout_messages.RolloutState:
        phase = rollout_state.phase(state)
        if phase in (PHASE.ROLLED_BACK, PHASE.FINISHED):
            return state
        new = evidence.total(True)
        share = new.failures / new.calls if new.calls else 0.0
        if new.calls >= CALLS_MIN and share > FAILURE_SHARE_MAX:
            return rollout_state.enter_phase(
                state,
                PHASE.ROLLED_BACK,
                now,
                rollout_state.Cause.FAILURES.value,
                f"{new.failures} of {new.calls} calls failed",
            )
        return self._by_time.decide(intent, state, evidence, now)
