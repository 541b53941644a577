"""Rollout messages: state and evidence of rollouts between nodes."""

import datetime

import attrs

from balsamramp_wire import messages

__all__ = [
    "EvidenceReply",
    "EvidenceRequest",
    "EvidenceRow",
    "Mark",
    "RolloutState",
    "StatesReply",
    "StatesRequest",
]


@attrs.frozen(kw_only=True, order=True)
class Mark:
    """One thing that became true of a rollout, and when.

    ``cause`` is a word for programs, ``text`` a sentence for operators.
    """

    at: datetime.datetime
    cause: str = ""
    text: str = ""


@attrs.frozen(kw_only=True)
class RolloutState:
    """State of one rollout intent as a map of marks that only grows.

    ``intent`` identifies the intent, so that a later intent of the same
    name starts anew. States join by the union of their marks, of two
    marks of one name the smaller (see ``rollout_state.join``).
    """

    intent: str
    rollout: str
    service: str
    old: str
    new: str
    start: datetime.datetime
    marks: dict[str, Mark] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class EvidenceRow:
    """What one node's door saw of one version on one route in one window.

    The counters only grow, so rows of the same key join by the maximum of
    each. ``epoch`` counts the steps that were granted when the calls were
    picked, so that within a row the share was constant. ``refused``
    counts calls that the door or the target refused
    for lack of capacity, ``latencies`` calls by latency bucket.
    """

    intent: str
    node: str
    incarnation: int
    zone: str
    window: int
    epoch: int
    route: str
    new: bool
    calls: int = 0
    failures: int = 0
    refused: int = 0
    latencies: dict[int, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class StatesReply:
    """Digest of the peer's states, of each bucket if it differs."""

    digest: int
    buckets: tuple[int, ...] = ()
    states: tuple[RolloutState, ...] = ()


@attrs.frozen(kw_only=True)
class StatesRequest(messages.ControlRequest):
    """Tells a peer states of rollouts and the digest of all of them.

    The reply carries the peer's states of the ``wanted`` buckets, or if
    none is wanted and the digests differ the digest of each bucket.
    """

    method = "rollout-states"
    reply = StatesReply

    node: str
    digest: int
    states: tuple[RolloutState, ...] = ()
    wanted: tuple[int, ...] = ()


@attrs.frozen
class EvidenceReply:
    """Tells how many rows the peer took in."""

    rows: int


@attrs.frozen
class EvidenceRequest(messages.ControlRequest):
    """Hands rows of evidence to a node that decides on the rollout."""

    method = "rollout-evidence"
    reply = EvidenceReply

    rows: tuple[EvidenceRow, ...]
