"""Rollout state: a grow-only set of marks, which determine the phase."""

import datetime
import enum

import attrs
import xxhash

from balsamramp_core.resources import rollout
from balsamramp_wire import rollout_messages

__all__ = [
    "ROLLED_BACK_PHASES",
    "BUCKETS",
    "Cause",
    "RolloutPhase",
    "bucket_of",
    "continue_state",
    "earlier_intent_ids",
    "enter_phase",
    "epoch",
    "initial_state",
    "hash_of",
    "intent_id",
    "is_reported",
    "is_history_absent",
    "is_history_known",
    "is_stored",
    "merge_states",
    "mark_late",
    "mark_reported",
    "mark_stored",
    "phase",
    "advance_to_step",
    "step",
    "step_started_at",
    "mark_history_absent",
    "mark_history_known",
    "outcome_phases",
]

BUCKETS = 64
LATE_MARK = "late"
REPORTED_PREFIX = "reported-"
STEP_PREFIX = "step-"
STORED_PREFIX = "stored-"
HISTORY_KNOWN_MARK = "vouched"
HISTORY_ABSENT_MARK = "unrecorded"

State = rollout_messages.RolloutState


class RolloutPhase(enum.Enum):
    """Phase of a rollout; later members override earlier ones.

    ``EXPIRED`` means that the rollout was rolled back because its deadline
    passed. ``COMPLETED`` overrides it, because nodes on the other side of
    a partition may have had more evidence and completed the rollout before
    the deadline. ``REVALIDATING`` means that the new version had all
    traffic and then performed worse than the baseline; the old version
    gets a share of the traffic again for a side-by-side test.
    """

    WAITING = "waiting"
    PROGRESSING = "moving"
    EXPIRED = "expired"
    COMPLETED = "completed"
    REVALIDATING = "doubted"
    FINISHED = "finished"
    ROLLED_BACK = "taken-back"


class Cause(enum.Enum):
    """Why a rollout was rolled back."""

    ABORTED = "aborted"
    FAILURES = "failures"
    LATE = "late"
    SLOWNESS = "slowness"
    SUPERSEDED = "superseded"


ROLLED_BACK_PHASES = (RolloutPhase.EXPIRED, RolloutPhase.ROLLED_BACK)
PHASES_LAST_FIRST = tuple(reversed(RolloutPhase))


def intent_id(intent: rollout.Rollout) -> str:
    """Return the id of ``intent``.

    A changed deadline or an abort keeps the id; a change of the versions
    or of the start makes a new intent. An order is identified by its
    revision instead of its start, which differs between nodes: each uses
    the time at which it received the order. So a node that starts with the
    store alone finds the id under which other nodes stored an outcome.
    """
    if intent.revision:
        return _order_id(intent, intent.revision)
    key = (
        f"{intent.service} {intent.old} {intent.new} "
        f"{intent.start.astimezone(datetime.UTC).isoformat()}"
    )
    return f"{intent.name}.{xxhash.xxh64_hexdigest(key.encode())}"


def earlier_intent_ids(intent: rollout.Rollout) -> list[str]:
    """Return the ids that ``intent`` had before restores of its store."""
    return [
        _order_id(intent, revision) for revision in intent.earlier_revisions
    ]


def _order_id(intent: rollout.Rollout, revision: int) -> str:
    key = f"{intent.service} {intent.new} {revision}"
    return f"{intent.name}.{xxhash.xxh64_hexdigest(key.encode())}"


def initial_state(intent: rollout.Rollout) -> State:
    """Return the state of an intent without any mark."""
    return State(
        intent=intent_id(intent),
        rollout=intent.name,
        service=intent.service,
        old=intent.old,
        new=intent.new,
        start=intent.start,
    )


def merge_states(left: State, right: State) -> State:
    """Return the merged state of the same intent.

    It has the union of the marks, the smaller of two marks with the same
    name, and the earlier start. The operation is commutative, associative
    and idempotent.
    """
    marks = dict(left.marks)
    for name, mark in right.marks.items():
        existing = marks.get(name)
        marks[name] = mark if existing is None else min(existing, mark)
    start = min(left.start, right.start)
    return attrs.evolve(left, start=start, marks=marks)


def continue_state(state: State, earlier: State) -> State:
    """Return ``state`` with what the same order has reached as ``earlier``.

    What was stored and published of ``earlier`` bears another id, so it is
    to be stored and published once more.
    """
    marks = {
        name: mark
        for name, mark in earlier.marks.items()
        if not name.startswith((STORED_PREFIX, REPORTED_PREFIX))
    }
    return merge_states(state, attrs.evolve(earlier, marks=marks))


def phase(state: State) -> RolloutPhase:
    """Return the entered phase that is last in ``RolloutPhase``."""
    for item in PHASES_LAST_FIRST:
        if item.value in state.marks:
            return item
    return RolloutPhase.WAITING


def step(state: State) -> int:
    """Return the highest step granted, or 0 if there is none."""
    steps = [
        int(name.removeprefix(STEP_PREFIX))
        for name in state.marks
        if name.startswith(STEP_PREFIX)
    ]
    return max(steps, default=0)


def epoch(state: State) -> int:
    """Return a number that grows with each change of the traffic share."""
    is_revalidating = RolloutPhase.REVALIDATING.value in state.marks
    return step(state) + int(is_revalidating)


def step_started_at(state: State) -> datetime.datetime | None:
    """Return when the highest step was granted, or None."""
    mark = state.marks.get(f"{STEP_PREFIX}{step(state)}")
    return mark.at if mark else None


def enter_phase(
    state: State,
    entered: RolloutPhase,
    at: datetime.datetime,
    cause: str = "",
    text: str = "",
) -> State:
    """Return ``state`` after it enters the phase ``entered``."""
    return _add_mark(state, entered.value, at, cause, text)


def advance_to_step(state: State, to: int, at: datetime.datetime) -> State:
    """Return ``state`` with the step ``to`` granted."""
    return _add_mark(state, f"{STEP_PREFIX}{to}", at)


def mark_late(state: State, at: datetime.datetime, text: str) -> State:
    """Return ``state`` marked as late, its phase unchanged."""
    return _add_mark(state, LATE_MARK, at, Cause.LATE.value, text)


def mark_reported(
    state: State,
    reported_state: str,
    at: datetime.datetime,
    generation: int = 0,
) -> State:
    """Return ``state`` with ``reported_state`` marked as published.

    A mark holds for one ``generation`` of the store that it was written to.
    """
    name = REPORTED_PREFIX + reported_state
    return _add_mark(state, _of_generation(name, generation), at)


def is_reported(
    state: State, reported_state: str, generation: int = 0
) -> bool:
    """Return whether ``reported_state`` was published to operators."""
    name = REPORTED_PREFIX + reported_state
    return _of_generation(name, generation) in state.marks


def outcome_phases(state: State) -> frozenset[str]:
    """Return the names of the phases in ``state`` that are to be stored."""
    return frozenset(
        item.value
        for item in RolloutPhase
        if item.value in state.marks and item is not RolloutPhase.PROGRESSING
    )


def mark_stored(
    state: State,
    phases: frozenset[str],
    at: datetime.datetime,
    generation: int = 0,
) -> State:
    """Return ``state`` with its ``phases`` marked as stored in the table."""
    for name in sorted(phases):
        mark = _of_generation(STORED_PREFIX + name, generation)
        state = _add_mark(state, mark, at)
    return state


def is_stored(state: State, generation: int = 0) -> bool:
    """Return whether the table has all of the state's outcome phases."""
    return all(
        _of_generation(STORED_PREFIX + name, generation) in state.marks
        for name in outcome_phases(state)
    )


def _of_generation(mark: str, generation: int) -> str:
    return f"{mark}@{generation}" if generation else mark


def mark_history_absent(state: State, at: datetime.datetime) -> State:
    """Return ``state`` marked as having no row in the table."""
    return _add_mark(state, HISTORY_ABSENT_MARK, at)


def is_history_absent(state: State) -> bool:
    """Return whether a node has looked for the intent's row in vain."""
    return HISTORY_ABSENT_MARK in state.marks


def mark_history_known(state: State, at: datetime.datetime) -> State:
    """Return ``state`` marked as having its full history."""
    return _add_mark(state, HISTORY_KNOWN_MARK, at)


def is_history_known(state: State) -> bool:
    """Return whether the full history of the intent is known.

    A node knows the full history of an intent that starts after the node
    itself started, and then sets the mark, which peers receive with the
    state. Without the mark a node grants no step, because nodes that have
    since departed may have rolled the version back.
    """
    return HISTORY_KNOWN_MARK in state.marks


def hash_of(state: State) -> int:
    """Return a hash of ``state``; a digest is the XOR of such hashes."""
    parts = [state.intent, state.start.isoformat()]
    for name in sorted(state.marks):
        mark = state.marks[name]
        parts.append(f"{name} {mark.at.isoformat()} {mark.cause} {mark.text}")
    return xxhash.xxh64_intdigest("\n".join(parts).encode())


def bucket_of(intent: str) -> int:
    """Return the digest bucket of ``intent``."""
    return xxhash.xxh64_intdigest(intent.encode()) % BUCKETS


def _add_mark(
    state: State,
    name: str,
    at: datetime.datetime,
    cause: str = "",
    text: str = "",
) -> State:
    if name in state.marks:
        return state
    mark = rollout_messages.Mark(at=at, cause=cause, text=text)
    return attrs.evolve(state, marks={**state.marks, name: mark})
