"""Rollout state: marks that only grow, and what follows from them."""

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
    "enter_phase",
    "epoch",
    "initial_state",
    "hash_of",
    "intent_id",
    "is_reported",
    "is_history_known",
    "merge_states",
    "mark_late",
    "mark_reported",
    "phase",
    "advance_to_step",
    "step",
    "step_started_at",
    "mark_history_known",
]

BUCKETS = 64
LATE_MARK = "late"
REPORTED_PREFIX = "reported-"
STEP_PREFIX = "step-"
VOUCHED_MARK = "vouched"

State = rollout_messages.RolloutState


class RolloutPhase(enum.Enum):
    """Where a rollout stands; later ones override earlier ones.

    ``EXPIRED`` is a rollout taken back because its deadline passed; it
    gives way to ``COMPLETED``, entered before the deadline by nodes that
    were cut off from those that saw too little. In ``REVALIDATING`` the new
    version had all traffic, then looked worse than the record; the old
    one gets a part again for a side-by-side test.
    """

    WAITING = "waiting"
    PROGRESSING = "moving"
    EXPIRED = "expired"
    COMPLETED = "completed"
    REVALIDATING = "doubted"
    FINISHED = "finished"
    ROLLED_BACK = "taken-back"


class Cause(enum.Enum):
    """Why a rollout was taken back."""

    ABORTED = "aborted"
    FAILURES = "failures"
    LATE = "late"
    SLOWNESS = "slowness"
    SUPERSEDED = "superseded"


ROLLED_BACK_PHASES = (RolloutPhase.EXPIRED, RolloutPhase.ROLLED_BACK)
PHASES_LAST_FIRST = tuple(reversed(RolloutPhase))


def intent_id(intent: rollout.Rollout) -> str:
    """Return the identity of ``intent``.

    A change of deadline or an abort keeps it; other versions or another
    start make it a new intent. An order is identified by its revision,
    since each node counts its time from when it learnt of it.
    """
    if intent.revision:
        key = f"{intent.service} {intent.new} {intent.revision}"
        return f"{intent.name}.{xxhash.xxh64_hexdigest(key.encode())}"
    key = (
        f"{intent.service} {intent.old} {intent.new} "
        f"{intent.start.astimezone(datetime.UTC).isoformat()}"
    )
    return f"{intent.name}.{xxhash.xxh64_hexdigest(key.encode())}"


def initial_state(intent: rollout.Rollout) -> State:
    """Return the state of an intent of which nothing is known."""
    return State(
        intent=intent_id(intent),
        rollout=intent.name,
        service=intent.service,
        old=intent.old,
        new=intent.new,
        start=intent.start,
    )


def merge_states(left: State, right: State) -> State:
    """Return the state that knows what both know of the same intent.

    It is the union of the marks, of two marks of one name the smaller,
    and the earlier start: commutative, associative and idempotent.
    """
    marks = dict(left.marks)
    for name, mark in right.marks.items():
        known = marks.get(name)
        marks[name] = mark if known is None else min(known, mark)
    start = min(left.start, right.start)
    return attrs.evolve(left, start=start, marks=marks)


def phase(state: State) -> RolloutPhase:
    """Return the latest phase entered."""
    for item in PHASES_LAST_FIRST:
        if item.value in state.marks:
            return item
    return RolloutPhase.WAITING


def step(state: State) -> int:
    """Return the highest step granted; 0 before the first."""
    steps = [
        int(name.removeprefix(STEP_PREFIX))
        for name in state.marks
        if name.startswith(STEP_PREFIX)
    ]
    return max(steps, default=0)


def epoch(state: State) -> int:
    """Return a number that rises with each change of the share."""
    doubted = RolloutPhase.REVALIDATING.value in state.marks
    return step(state) + int(doubted)


def step_started_at(state: State) -> datetime.datetime | None:
    """Return when the highest step was granted."""
    mark = state.marks.get(f"{STEP_PREFIX}{step(state)}")
    return mark.at if mark else None


def enter_phase(
    state: State,
    entered: RolloutPhase,
    at: datetime.datetime,
    cause: str = "",
    text: str = "",
) -> State:
    """Return ``state`` with the phase ``entered``."""
    return _marked(state, entered.value, at, cause, text)


def advance_to_step(state: State, to: int, at: datetime.datetime) -> State:
    """Return ``state`` with the step ``to`` granted."""
    return _marked(state, f"{STEP_PREFIX}{to}", at)


def mark_late(state: State, at: datetime.datetime, text: str) -> State:
    """Return ``state`` marked as late, its phase unchanged."""
    return _marked(state, LATE_MARK, at, Cause.LATE.value, text)


def mark_reported(state: State, word: str, at: datetime.datetime) -> State:
    """Return ``state`` marked as reported to operators with ``word``."""
    return _marked(state, REPORTED_PREFIX + word, at)


def is_reported(state: State, word: str) -> bool:
    """Tell whether operators were told ``word``."""
    return REPORTED_PREFIX + word in state.marks


def mark_history_known(state: State, at: datetime.datetime) -> State:
    """Return ``state`` marked as known since its declaration."""
    return _marked(state, VOUCHED_MARK, at)


def is_history_known(state: State) -> bool:
    """Tell whether what happened to the intent so far is known.

    A node vouches for an intent that starts after the node itself did,
    and for what it hears of from one that does. Without it a node grants
    no step: the version may have been taken back by nodes now gone.
    """
    return VOUCHED_MARK in state.marks


def hash_of(state: State) -> int:
    """Return a hash that adds up to a digest of many states."""
    parts = [state.intent, state.start.isoformat()]
    for name in sorted(state.marks):
        mark = state.marks[name]
        parts.append(f"{name} {mark.at.isoformat()} {mark.cause} {mark.text}")
    return xxhash.xxh64_intdigest("\n".join(parts).encode())


def bucket_of(intent: str) -> int:
    """Return the bucket in which the state of ``intent`` is compared."""
    return xxhash.xxh64_intdigest(intent.encode()) % BUCKETS


def _marked(
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
