"""Rollout policy: base class of the ways to move traffic to a version."""

import abc
import datetime
import enum
import typing

import attrs

from balsamramp_core.resources import rollout

__all__ = [
    "Evidence",
    "RolloutPhase",
    "RolloutPolicy",
    "RolloutState",
    "VersionEvidence",
    "join",
]


class RolloutPhase(enum.Enum):
    """Where a rollout stands; later ones override earlier ones."""

    WAITING = "waiting"
    MOVING = "moving"
    COMPLETED = "completed"
    TAKEN_BACK = "taken-back"


PHASE_RANKS = {phase: rank for rank, phase in enumerate(RolloutPhase)}


@attrs.frozen(kw_only=True)
class RolloutState:
    """State of one rollout; states of different nodes join by maximum.

    ``step`` counts the steps of share already granted. ``reason`` says
    why the new version was taken back, and ``decided_at`` when the last
    phase was entered.
    """

    rollout: str
    step: int = 0
    phase: RolloutPhase = RolloutPhase.WAITING
    reason: str = ""
    decided_at: datetime.datetime | None = None


@attrs.frozen(kw_only=True)
class VersionEvidence:
    """Calls of one version: how many, how many failed, how slow."""

    calls: int = 0
    failures: int = 0
    latency_sum: datetime.timedelta = datetime.timedelta()


@attrs.frozen(kw_only=True)
class Evidence:
    """What calls showed of the old and the new version, per route."""

    old: dict[str, VersionEvidence] = attrs.field(factory=dict)
    new: dict[str, VersionEvidence] = attrs.field(factory=dict)


class RolloutPolicy(abc.ABC):
    """Decides the next state of a rollout from time and evidence.

    A subclass declares ``name`` and ``doc``.
    """

    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]

    @abc.abstractmethod
    def decide(
        self,
        intent: rollout.Rollout,
        state: RolloutState,
        evidence: Evidence,
        now: datetime.datetime,
    ) -> RolloutState:
        """Return the state that should follow ``state``."""

    @abc.abstractmethod
    def share(self, state: RolloutState) -> float:
        """Return the share of calls, 0 to 1, for the new version."""


def join(left: RolloutState, right: RolloutState) -> RolloutState:
    """Return the later of two states of the same rollout.

    The step only rises, and a version that was taken back stays so.
    """
    first, second = sorted(
        (left, right), key=lambda state: PHASE_RANKS[state.phase]
    )
    return attrs.evolve(second, step=max(first.step, second.step))
