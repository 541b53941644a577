"""Bounded exposure: the evidence policy for orders of some seconds."""

import datetime

from balsamramp_core.resources import rollout
from balsamramp_node.rollouts.policies import evidence

__all__ = ["BoundedExposurePolicy"]

# Share of all calls in the planned time that a version may have got before
# the last step, so that a version which is only bad in full use stays
# within the 10% that operators allow.
EXPOSURE_MAX = 0.05
# Part of the planned time; half of that planned for the shortest step.
DWELL_PART = 0.02


class BoundedExposurePolicy(evidence.EvidencePolicy):
    """Gives each step below the last the same part of the exposure.

    A version that turns bad late, or only under load, has then got at
    most ``EXPOSURE_MAX`` of the calls of the planned time before its last
    step. The time spent at a share is inverse to it. Evidence and suspicion
    are those of the evidence policy. Failures at the last step that stand
    out from the record take the version back without another comparison:
    a second of half of the calls is more than a short plan allows.
    """

    name = "bounded-exposure"
    doc = "like evidence, with equal exposure at each step, for short plans"
    rolls_back_on_baseline = True
    shares = (0.0, 0.05, 0.1, 0.25, 0.5, 1.0)

    def min_step_duration(self, intent: rollout.Rollout) -> datetime.timedelta:
        """Return the shortest time between two steps."""
        return DWELL_PART * (intent.deadline - intent.start)

    def step_due_at(
        self, intent: rollout.Rollout, step: int
    ) -> datetime.datetime:
        """Return when ``step`` is planned."""
        planned = intent.deadline - intent.start
        each = EXPOSURE_MAX / (self.last_step - 1)
        part = 0.0
        for share in self.shares[1:step]:
            part += each / share
        return intent.start + part * planned
