"""Rollout policy: base class of the ways to move traffic to a version."""

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
        """Return the step at which the new version has all calls."""
        return len(self.shares) - 1

    @abc.abstractmethod
    def decide(
        self,
        intent: rollout.Rollout,
        state: rollout_messages.RolloutState,
        evidence: rollout_evidence.Evidence,
        now: datetime.datetime,
    ) -> rollout_messages.RolloutState:
        """Return the state that should follow ``state``."""

    def blocking_reason(
        self,
        intent: rollout.Rollout,
        state: rollout_messages.RolloutState,
        evidence: rollout_evidence.Evidence,
        now: datetime.datetime,
    ) -> str:
        """Return why the next step is not granted yet, or nothing."""
        return ""

    def step_due_at(
        self, intent: rollout.Rollout, step: int
    ) -> datetime.datetime:
        """Return when ``step`` is planned."""
        part = (step - 1) / self.last_step
        return intent.start + part * (intent.deadline - intent.start)

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
        """Return when the last step is expected by plain extrapolation.

        The steps left take as long as planned, and the next one is as
        late as it is by now.
        """
        following = min(rollout_state.step(state) + 1, self.last_step)
        delay = max(
            now - self.step_due_at(intent, following), datetime.timedelta()
        )
        return self.step_due_at(intent, self.last_step) + delay

    def share(self, state: rollout_messages.RolloutState) -> float:
        """Return the share of calls, 0 to 1, for the new version."""
        if rollout_state.phase(state) in rollout_state.ROLLED_BACK_PHASES:
            return 0.0
        return self.shares[min(rollout_state.step(state), self.last_step)]


def apply_operator_abort(
    intent: rollout.Rollout,
    state: rollout_messages.RolloutState,
    now: datetime.datetime,
) -> rollout_messages.RolloutState:
    """Return ``state`` taken back if an operator has aborted it."""
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
