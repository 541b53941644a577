"""Rollout policy that follows the clock and ignores evidence."""

import datetime

from balsamramp_core.resources import rollout
from balsamramp_node.rollouts import rollout_evidence
from balsamramp_node.rollouts import rollout_policy
from balsamramp_node.rollouts import rollout_state
from balsamramp_wire import rollout_messages

__all__ = ["ByTimePolicy"]

STEPS = 10
PHASE = rollout_state.RolloutPhase


class ByTimePolicy(rollout_policy.RolloutPolicy):
    """Raises the share in equal steps; a baseline for other policies."""

    name = "by-time"
    doc = "equal steps between start and deadline, regardless of evidence"
    shares = tuple(step / STEPS for step in range(STEPS + 1))

    def decide(
        self,
        intent: rollout.Rollout,
        state: rollout_messages.RolloutState,
        evidence: rollout_evidence.Evidence,
        now: datetime.datetime,
    ) -> rollout_messages.RolloutState:
        state = rollout_policy.apply_operator_abort(intent, state, now)
        if rollout_state.phase(state) is PHASE.ROLLED_BACK:
            return state
        if now < intent.start:
            return state
        state = rollout_state.enter_phase(state, PHASE.PROGRESSING, now)
        fraction = (now - intent.start) / (intent.deadline - intent.start)
        step = min(STEPS, int(fraction * STEPS) + 1)
        state = rollout_state.advance_to_step(state, step, now)
        if step < STEPS:
            return state
        state = rollout_state.enter_phase(state, PHASE.COMPLETED, now)
        if now < intent.deadline + intent.scale_down_delay:
            return state
        return rollout_state.enter_phase(state, PHASE.FINISHED, now)
