"""Builds the status report of a rollout that operators read."""

import datetime
import typing

import attrs
import msgspec

from balsamramp_core.resources import rollout
from balsamramp_node.rollouts import rollout_evidence
from balsamramp_node.rollouts import rollout_policy
from balsamramp_node.rollouts import rollout_state
from balsamramp_wire import rollout_messages

__all__ = ["RolloutReport", "build_report", "report_to_dict"]

PHASE = rollout_state.RolloutPhase


@attrs.frozen(kw_only=True)
class Event:
    """One entry of a rollout's history."""

    event: str
    at: datetime.datetime
    cause: str = ""
    text: str = ""


@attrs.frozen(kw_only=True)
class VersionCalls:
    """Call counts of one version in the evidence stored on this node."""

    calls: int
    failures: int
    refused: int


@attrs.frozen(kw_only=True)
class RolloutReport:
    """Status of one rollout.

    ``phase`` was entered at ``decided_at`` for ``reason``. ``outcome`` is
    empty until the rollout ends; then it begins with "completed",
    "completed late" or "taken back", followed by the time and, if late or
    rolled back, the cause. ``waits_for`` is the reason why the next step
    is not granted yet, ``forecast`` the expected time of the last step and
    ``on_time`` whether that is before the deadline.
    """

    intent: str
    rollout: str
    service: str
    old: str
    new: str
    start: datetime.datetime
    deadline: datetime.datetime | None
    phase: str
    decided_at: datetime.datetime | None
    reason: str
    step: int
    share: float
    outcome: str
    waits_for: str
    forecast: datetime.datetime | None
    on_time: bool | None
    old_calls: VersionCalls
    new_calls: VersionCalls
    history: tuple[Event, ...]


def build_report(
    policy: rollout_policy.RolloutPolicy,
    intent: rollout.Rollout | None,
    state: rollout_messages.RolloutState,
    evidence: rollout_evidence.Evidence,
    now: datetime.datetime,
) -> RolloutReport:
    """Return the report of ``state``; a deleted ``intent`` is None."""
    forecast = None
    waits_for = ""
    phase = rollout_state.phase(state)
    if intent is not None and phase is PHASE.PROGRESSING:
        forecast = policy.forecast(intent, state, evidence, now)
        waits_for = policy.blocking_reason(intent, state, evidence, now)
    if not rollout_state.is_history_known(state) and phase is PHASE.WAITING:
        waits_for = "a peer or a storage row with the history of the rollout"
    mark = state.marks.get(phase.value)
    deadline = intent.deadline if intent else None
    on_time = None
    if forecast is not None and deadline is not None:
        on_time = forecast <= deadline
    return RolloutReport(
        intent=state.intent,
        rollout=state.rollout,
        service=state.service,
        old=state.old,
        new=state.new,
        start=state.start,
        deadline=deadline,
        phase=phase.value,
        decided_at=mark.at if mark else None,
        reason=mark.text if mark else "",
        step=rollout_state.step(state),
        share=policy.share(state),
        outcome=_outcome(state),
        waits_for=waits_for,
        forecast=forecast,
        on_time=on_time,
        old_calls=_calls(evidence, False),
        new_calls=_calls(evidence, True),
        history=_history(state),
    )


def report_to_dict(report: RolloutReport) -> dict[str, typing.Any]:
    """Convert ``report`` to built-in types."""
    return msgspec.to_builtins(report)


def _outcome(state: rollout_messages.RolloutState) -> str:
    phase = rollout_state.phase(state)
    rolled_back = state.marks.get(phase.value)
    if phase in rollout_state.ROLLED_BACK_PHASES and rolled_back is not None:
        return (
            f"taken back at {rolled_back.at.isoformat()}: {rolled_back.text}"
        )
    completed = state.marks.get(PHASE.COMPLETED.value)
    if completed is None:
        return ""
    late = state.marks.get(rollout_state.LATE_MARK)
    if late is None:
        return f"completed at {completed.at.isoformat()}"
    return f"completed late at {completed.at.isoformat()}: {late.text}"


def _calls(evidence: rollout_evidence.Evidence, new: bool) -> VersionCalls:
    counts = evidence.total(new)
    return VersionCalls(
        calls=counts.calls, failures=counts.failures, refused=counts.refused
    )


def _history(state: rollout_messages.RolloutState) -> tuple[Event, ...]:
    events = [
        Event(event=name, at=mark.at, cause=mark.cause, text=mark.text)
        for name, mark in state.marks.items()
    ]
    return tuple(sorted(events, key=lambda item: (item.at, item.event)))
