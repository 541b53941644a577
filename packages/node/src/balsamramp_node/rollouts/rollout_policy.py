"""Base class of the policies that shift traffic to a new version."""

import abc
import datetime
import typing

from balsamramp_core.resources import rollout
from balsamramp_node.rollouts import rollout_evidence
from balsamramp_node.rollouts import rollout_state
from balsamramp_wire import rollout_messages

__all__ = ["RolloutPolicy", "apply_operator_abort"]


class RolloutPolicy(abc.ABC):
    """Decides the next state of a rollout from time and evidence.

    A subclass declares ``name``, ``doc`` and ``shares``, the share of
    calls for the new version at each step; the first is 0, the last 1.
    """

    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]
    shares: typing.ClassVar[tuple[float, ...]]

    @property
    def last_step(self) -> int:
        """Return the step at which the new version receives all calls."""
        return len(self.shares) - 1

    @abc.abstractmethod
    def decide(
        self,
        intent: rollout.Rollout,
        state: rollout_messages.RolloutState,
        evidence: rollout_evidence.Evidence,
        now: datetime.datetime,
    ) -> rollout_messages.RolloutState:
        """Return the next state, or ``state`` itself if nothing changes."""

    def blocking_reason(
        self,
        intent: rollout.Rollout,
        state: rollout_messages.RolloutState,
        evidence: rollout_evidence.Evidence,
        now: datetime.datetime,
    ) -> str:
        """Return why the next step is not granted yet; empty if it is."""
        return ""

    def step_due_at(
        self, intent: rollout.Rollout, step: int
    ) -> datetime.datetime:
        """Return when ``step`` is planned."""
        fraction = (step - 1) / self.last_step
        return intent.start + fraction * (intent.deadline - intent.start)

    def forecast(
        self,
        intent: rollout.Rollout,
        state: rollout_messages.RolloutState,
        evidence: rollout_evidence.Evidence,
        now: datetime.datetime,
    ) -> datetime.datetime:
        """Return when the last step is expected."""
        return self.extrapolate(intent, state, now)

    def extrapolate(
        self,
        intent: rollout.Rollout,
        state: rollout_messages.RolloutState,
        now: datetime.datetime,
    ) -> datetime.datetime:
        """Return the expected time of the last step from the schedule alone.

        The remaining steps take as long as planned, shifted by the current
        delay of the next step.
        """
        next_step = min(rollout_state.step(state) + 1, self.last_step)
        delay = max(
            now - self.step_due_at(intent, next_step), datetime.timedelta()
        )
        return self.step_due_at(intent, self.last_step) + delay

    def share(self, state: rollout_messages.RolloutState) -> float:
        """Return the share of calls, 0 to 1, of the new version."""
        if rollout_state.phase(state) in rollout_state.ROLLED_BACK_PHASES:
            return 0.0
        return self.shares[min(rollout_state.step(state), self.last_step)]


def apply_operator_abort(
    intent: rollout.Rollout,
    state: rollout_messages.RolloutState,
    now: datetime.datetime,
) -> rollout_messages.RolloutState:
    """Return ``state``, rolled back if an operator aborted ``intent``."""
    if not intent.aborted_by:
        return state
    if rollout_state.phase(state) is rollout_state.RolloutPhase.FINISHED:
        return state
    return rollout_state.enter_phase(
        state,
        rollout_state.RolloutPhase.ROLLED_BACK,
        now,
        rollout_state.Cause.ABORTED.value,
        f"aborted by {intent.aborted_by}",
    )
