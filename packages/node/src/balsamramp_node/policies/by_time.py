"""By time: a rollout policy that follows the clock and no evidence."""

import datetime

import attrs

from balsamramp_core.resources import rollout
from balsamramp_node import rollout_policy

__all__ = ["ByTime"]

STEPS = 10


class ByTime(rollout_policy.RolloutPolicy):
    """Raises the share in equal steps; a baseline for the others."""

    name = "by-time"
    doc = "equal steps between start and deadline, whatever calls show"

    def decide(
        self,
        intent: rollout.Rollout,
        state: rollout_policy.RolloutState,
        evidence: rollout_policy.Evidence,
        now: datetime.datetime,
    ) -> rollout_policy.RolloutState:
        if state.phase is rollout_policy.RolloutPhase.TAKEN_BACK:
            return state
        if intent.aborted_by:
            return attrs.evolve(
                state,
                phase=rollout_policy.RolloutPhase.TAKEN_BACK,
                reason=f"aborted by {intent.aborted_by}",
                decided_at=now,
            )
        if now < intent.start:
            return state
        part = (now - intent.start) / (intent.deadline - intent.start)
        step = max(state.step, min(STEPS, int(part * STEPS) + 1))
        phase = rollout_policy.RolloutPhase.MOVING
        if step == STEPS:
            phase = rollout_policy.RolloutPhase.COMPLETED
        if phase is state.phase:
            return attrs.evolve(state, step=step)
        return attrs.evolve(state, step=step, phase=phase, decided_at=now)

    def share(self, state: rollout_policy.RolloutState) -> float:
        if state.phase is rollout_policy.RolloutPhase.TAKEN_BACK:
            return 0.0
        return state.step / STEPS
