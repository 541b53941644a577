"""Error rate: a rollout policy with one fixed threshold of failures."""

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
    """Steps by time; takes back above a fixed share of failures.

    A baseline for the others: after 20 calls in the windows kept, more
    than 5% failed calls of the new version take it back, whatever the old
    version and the availability zone do.
    """

    name = "error-rate"
    doc = "steps by time, taken back above 5% failures"
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
