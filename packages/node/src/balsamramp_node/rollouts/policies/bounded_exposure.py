"""Evidence policy for orders whose duration is only seconds."""

import datetime

from balsamramp_core.resources import rollout
from balsamramp_node.rollouts.policies import evidence

__all__ = ["BoundedExposurePolicy"]

# Share of all calls in the planned time that a version may receive before
# the last step, so that a version that fails only under full load stays
# within the 10% that operators allow.
EXPOSURE_MAX = 0.05
# Fraction of the planned time; half of what is planned for the shortest step.
STEP_DURATION_FRACTION = 0.02


class BoundedExposurePolicy(evidence.EvidencePolicy):
    """Limits the calls of a new version to the same number at each step.

    A version that becomes bad late, or only under load, has received at
    most ``EXPOSURE_MAX`` of the calls of the planned time before its last
    step. The duration of a step is inversely proportional to its share.
    The required evidence and the test are the ones of the evidence policy.
    Failures at the last step that exceed the baseline roll the version
    back without revalidation: one second with half of the calls is more
    than a short rollout allows.
    """

    name = "bounded-exposure"
    doc = "like evidence, with equal exposure at each step, for short plans"
    rolls_back_on_baseline = True
    shares = (0.0, 0.05, 0.1, 0.25, 0.5, 1.0)

    def min_step_duration(self, intent: rollout.Rollout) -> datetime.timedelta:
        """Return the shortest time between two steps."""
        return STEP_DURATION_FRACTION * (intent.deadline - intent.start)

    def step_due_at(
        self, intent: rollout.Rollout, step: int
    ) -> datetime.datetime:
        """Return the planned time of ``step``."""
        planned = intent.deadline - intent.start
        exposure_per_step = EXPOSURE_MAX / (self.last_step - 1)
        fraction = 0.0
        for share in self.shares[1:step]:
            fraction += exposure_per_step / share
        return intent.start + fraction * planned
