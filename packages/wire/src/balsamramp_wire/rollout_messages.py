"""Control requests for the state and the evidence of rollouts."""

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
    """One event of a rollout, with its time.

    ``cause`` is a code for programs, ``text`` a sentence for operators.
    """

    at: datetime.datetime
    cause: str = ""
    text: str = ""


@attrs.frozen(kw_only=True)
class RolloutState:
    """The state of one rollout intent, as a grow-only map of marks.

    ``intent`` identifies the intent, so that a later intent of the same
    name starts with an empty state. States are joined by the union of their
    marks; of two marks with the same name, the smaller one is kept (see
    ``rollout_state.join``).
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
    """Calls of one version on one route in one window, at one node.

    The counters only grow, so rows with the same key are joined by the
    maximum of each counter. ``epoch`` is the number of steps granted when
    the calls were routed, so that the share of the version is constant
    within a row. ``refused`` counts the calls that the node or the target
    refused for lack of capacity, ``latencies`` the calls by latency bucket.
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
    """Digest of the peer's states, and of each bucket if it differs."""

    digest: int
    buckets: tuple[int, ...] = ()
    states: tuple[RolloutState, ...] = ()


@attrs.frozen(kw_only=True)
class StatesRequest(messages.ControlRequest):
    """Sends rollout states and the digest of all states to a peer.

    The reply contains the peer's states of the ``wanted`` buckets. If none
    is wanted and the digests differ, it contains the digest of each bucket.
    """

    method = "rollout-states"
    reply = StatesReply

    node: str
    digest: int
    states: tuple[RolloutState, ...] = ()
    wanted: tuple[int, ...] = ()


@attrs.frozen
class EvidenceReply:
    """The number of rows that the peer accepted."""

    rows: int


@attrs.frozen
class EvidenceRequest(messages.ControlRequest):
    """Sends rows of evidence to a coordinator of the rollout."""

    method = "rollout-evidence"
    reply = EvidenceReply

    rows: tuple[EvidenceRow, ...]
