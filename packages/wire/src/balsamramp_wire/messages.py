"""Messages between nodes, as attrs classes.

The call messages are sent as frames on the stream between nodes (see
``frames``). The others are requests and replies of the control methods (see
``control_transport``).
"""

import datetime
import enum
import typing

import attrs

from balsamramp_core import settings
from balsamramp_core import verdict

__all__ = [
    "BucketsReply",
    "BucketsRequest",
    "CallAnswer",
    "CallCancel",
    "CallFailure",
    "CallRequest",
    "ChangesReply",
    "ChangesRequest",
    "ConfigurationState",
    "ControlAnswer",
    "ControlCall",
    "ControlRequest",
    "ExchangeReply",
    "ExchangeRequest",
    "FramePart",
    "Hello",
    "KeyClaimReply",
    "KeyClaimRequest",
    "Load",
    "Member",
    "MemberState",
    "Ping",
    "PingReply",
    "PingRequest",
    "Pong",
    "ProbeReply",
    "ProbeRequest",
    "PROTOCOL",
    "PROTOCOL_WITH_CONFIRMATION",
    "PROTOCOL_WITH_PARTS",
    "PushReply",
    "PushRequest",
    "RefusalReport",
    "ReportReply",
    "ReportRequest",
    "StateReply",
    "StateRequest",
    "TargetRecord",
    "TargetState",
    "VersionCount",
    "ZoneSummary",
]

Headers = tuple[tuple[str, str], ...]

PROTOCOL = 3
# First version of the protocol with frames in parts.
PROTOCOL_WITH_PARTS = 2
# First version in which both sides of a connection answer pings.
PROTOCOL_WITH_CONFIRMATION = 3


@attrs.frozen
class Hello:
    """First frame in both directions, which identifies the sender.

    ``sent_at`` is read from the sender's monotonic clock. From ``protocol``
    2 on the sender accepts frames in parts, and from 3 on it answers pings.
    """

    node: str
    incarnation: int
    protocol: int = PROTOCOL
    sent_at: datetime.timedelta = datetime.timedelta()


@attrs.frozen
class FramePart:
    """The next bytes of a large frame, which others may interrupt.

    Parts with the same ``number`` belong to one frame. It is complete with
    the part that is the ``last``, and abandoned with one that is a ``drop``.
    """

    number: int
    data: bytes
    last: bool = False
    drop: bool = False


@attrs.frozen
class Ping:
    """Checks that the connection still carries data."""

    number: int


@attrs.frozen
class Pong:
    """Reply to the Ping with the same number.

    ``sent_at`` is read from the sender's monotonic clock. All that it wrote
    before has been read when the reply is.
    """

    number: int
    sent_at: datetime.timedelta = datetime.timedelta()


@attrs.frozen
class Load:
    """Load of a target, sent with each reply.

    ``in_flight`` calls run, and ``queued`` calls wait for one of ``limit``
    slots. ``service`` is the mean service time of a call at the target, and
    ``failing`` the fraction of its recent calls that failed. ``cold`` states
    that the target is warming up and accepts calls at a limited rate.
    ``link_wait`` is the time that the link of its VM needs for the large
    responses that it has to send. ``leaving`` states that this start of the
    target gets no more calls.
    """

    in_flight: int
    limit: int
    queued: int = 0
    service: datetime.timedelta = datetime.timedelta()
    failing: float = 0.0
    cold: bool = False
    link_wait: datetime.timedelta = datetime.timedelta()
    leaving: bool = False


@attrs.frozen
class ControlCall:
    """A control request on the stream; ``body`` is MessagePack."""

    number: int
    method: str
    body: bytes


@attrs.frozen
class ControlAnswer:
    """Reply to the ControlCall with the same number.

    ``served`` is False if the peer has no handler for the method.
    """

    number: int
    served: bool
    body: bytes = b""


@attrs.frozen(kw_only=True)
class CallRequest:
    """One call, sent to the node of the chosen target.

    ``call_id`` stays the same when the sender repeats the message on
    another connection. ``incarnation`` is that of the node that the first
    message was sent to, so that a restarted node does not run the call a
    second time. ``repeat`` marks a message that was sent before on a
    connection that may have delivered it. ``timeout`` is the time left
    until the caller's deadline, counted from ``sent_at`` on the sender's
    monotonic clock. ``retries`` is the share of the call's retry budget
    that the target may spend on its own calls.

    ``route`` is the name of the entry or route that matched the call.
    ``objective`` is the time left, counted like ``timeout``, of the latency
    objective, and ``priority`` the rank of the call; 0 is the highest.
    ``from_target`` states that a target made the call while running
    another. ``instance`` identifies the start of the picked target, or is
    empty.
    """

    call_id: str
    service: str
    target: str
    incarnation: int
    method: str
    path: str
    headers: Headers
    timeout: datetime.timedelta
    idempotent: bool
    idempotency_key: str = ""
    retries: int = 0
    depth: int = 0
    version: int = 0
    sent_at: datetime.timedelta = datetime.timedelta()
    repeat: bool = False
    body: bytes = b""
    route: str = ""
    objective: datetime.timedelta = datetime.timedelta()
    priority: int = 0
    from_target: bool = False
    instance: str = ""


@attrs.frozen(kw_only=True)
class CallAnswer:
    """The complete response of the target to the call ``call_id``."""

    call_id: str
    status: int
    headers: Headers
    body: bytes
    load: Load


@attrs.frozen(kw_only=True)
class CallFailure:
    """The call ``call_id`` has no response from its target."""

    call_id: str
    failure: verdict.Failure
    load: Load


@attrs.frozen
class CallCancel:
    """The caller no longer waits for the call ``call_id`` to ``target``."""

    call_id: str
    target: str


class TargetState(enum.Enum):
    """Whether a target accepts new calls."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class TargetRecord:
    """A target as its node announces it to other nodes.

    ``instance`` identifies the start of the target. ``slots`` is the number
    of calls that it runs concurrently, or 0 if unknown.
    """

    target: str
    service: str
    labels: dict[str, str]
    state: TargetState
    instance: str = ""
    slots: int = 0


class MemberState(enum.Enum):
    """Membership state of a node; later ones override earlier ones."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@attrs.frozen(kw_only=True)
class Member:
    """The membership record of a node.

    ``incarnation`` increases with each start of the node and ``sequence``
    with each change that the node makes to its own record, so the later of
    two records can be determined without contacting the node.
    ``link_rate`` is the rate of its VM's link in Mbit/s, or 0 if unknown.
    """

    node: str
    zone: str
    region: str
    stream: settings.Address
    control: settings.Address
    admin: settings.Address
    incarnation: int
    sequence: int
    state: MemberState
    targets: tuple[TargetRecord, ...] = ()
    link_rate: float = 0.0


@attrs.frozen
class ControlRequest:
    """Base of the requests between nodes.

    ``method`` is the name of the control method and ``reply`` the class of
    its reply.
    """

    method: typing.ClassVar[str]
    reply: typing.ClassVar[type]


@attrs.frozen(kw_only=True)
class ConfigurationState:
    """The configuration that a node has in force, as sent to its peers.

    ``digest`` is the digest of the configuration. ``read_age`` is the time
    since the platform's log was last read by a node whose state reached the
    sender, directly or through other nodes, or None.
    """

    version: int
    digest: bytes
    in_service: bool
    read_age: datetime.timedelta | None


@attrs.frozen
class VersionCount:
    """The number of nodes that have a version in force."""

    version: int
    nodes: int


@attrs.frozen
class RefusalReport:
    """The reason why a node does not apply a later version."""

    node: str
    version: int
    message: str


@attrs.frozen(kw_only=True)
class ZoneSummary:
    """Versions in force at the nodes of a zone, counted at ``counted_at``.

    ``lagging`` lists some of the nodes that are behind the latest version
    of the zone. The summary with the later time takes precedence.
    """

    zone: str
    counted_at: datetime.datetime
    nodes: int
    versions: tuple[VersionCount, ...]
    lagging: tuple[str, ...] = ()
    refusals: tuple[RefusalReport, ...] = ()


@attrs.frozen(kw_only=True)
class ExchangeReply:
    """Reply to an ExchangeRequest, with the same fields."""

    node: str
    zone: str
    members: tuple[Member, ...]
    digests: dict[str, int]
    state: ConfigurationState
    contact_ages: dict[str, datetime.timedelta]
    summaries: tuple[ZoneSummary, ...]


@attrs.frozen(kw_only=True)
class ExchangeRequest(ControlRequest):
    """Gossips recent changes and a summary of the sender's state.

    ``digests`` holds a digest of the sender's live members for each zone.
    ``contact_ages`` holds the time since the sender's zone was last in
    contact with each other zone.
    """

    method = "exchange"
    reply = ExchangeReply

    node: str
    zone: str
    members: tuple[Member, ...]
    digests: dict[str, int]
    state: ConfigurationState
    contact_ages: dict[str, datetime.timedelta]
    summaries: tuple[ZoneSummary, ...]


@attrs.frozen
class BucketsReply:
    """Members in the buckets that differ, as MessagePack packed with zlib.

    ``busy`` states that the peer serves too many such requests now.
    """

    packed: bytes = b""
    busy: bool = False


@attrs.frozen
class BucketsRequest(ControlRequest):
    """Requests the members of a zone in buckets whose digests differ.

    ``buckets`` holds the sender's digest of each bucket.
    """

    method = "buckets"
    reply = BucketsReply

    zone: str
    buckets: tuple[int, ...]


@attrs.frozen
class PingReply:
    """Identifies the node that replies and its incarnation."""

    node: str
    incarnation: int


@attrs.frozen
class PingRequest(ControlRequest):
    """Checks that a node is alive."""

    method = "ping"
    reply = PingReply


@attrs.frozen
class ProbeReply:
    """Whether the peer reached the node."""

    reached: bool


@attrs.frozen
class ProbeRequest(ControlRequest):
    """Requests that a peer ping a node the sender cannot reach."""

    method = "probe"
    reply = ProbeReply

    address: settings.Address


@attrs.frozen(kw_only=True)
class KeyClaimReply:
    """Whether the peer holds the key, or a departed key owner may."""

    taken: bool
    in_doubt: bool


@attrs.frozen(kw_only=True)
class KeyClaimRequest(ControlRequest):
    """Asks whether ``target`` may run the call with an idempotency key."""

    method = "key-claim"
    reply = KeyClaimReply

    node: str
    service: str
    key: str
    target: str


@attrs.frozen
class PushReply:
    """The version that the receiver has in force after the push."""

    version: int


@attrs.frozen(kw_only=True)
class PushRequest(ControlRequest):
    """Forwards configuration changes, in the order of their versions.

    ``version`` is the version of the last change, and the seed of the
    distribution tree. ``changes`` is empty if there are too many; the
    receiver then requests them from ``sender``.
    """

    method = "push"
    reply = PushReply

    sender: settings.Address
    zone: str
    version: int
    changes: tuple[bytes, ...]


@attrs.frozen
class ChangesReply:
    """The requested changes, or a snapshot that includes them.

    ``busy`` states that the peer sends too many snapshots now.
    """

    changes: tuple[bytes, ...] = ()
    snapshot: bytes = b""
    busy: bool = False


@attrs.frozen
class ChangesRequest(ControlRequest):
    """Requests the changes after a version whose state has ``digest``."""

    method = "changes"
    reply = ChangesReply

    version: int
    digest: bytes


@attrs.frozen
class StateReply:
    """The version that the receiver has in force after a StateRequest."""

    version: int


@attrs.frozen(kw_only=True)
class StateRequest(ControlRequest):
    """Tells the nodes of a zone what ``reader`` just read from the store.

    ``number`` increases with each message of one ``incarnation`` of the
    reader. ``version`` is in force there, with ``digest``. ``change`` leads
    to it from any recent version, or is empty if there was no change or a
    large one that was sent before. It may be ``compressed`` by zlib.
    ``configuration_number`` orders the operators' configurations.

    ``read_at`` is when this was true, by the store's clock, which all nodes
    know: a message may wait anywhere. A reader of an earlier release does
    not tell it.
    """

    method = "state"
    reply = StateReply

    reader: str
    incarnation: int
    number: int
    version: int
    digest: bytes
    change: bytes = b""
    compressed: bool = False
    configuration_number: int = 0
    read_at: datetime.timedelta | None = None


@attrs.frozen
class ReportReply:
    """Reply to a ReportRequest."""


@attrs.frozen(kw_only=True)
class ReportRequest(ControlRequest):
    """Sends the versions in force at ``node`` and below up the tree."""

    method = "report"
    reply = ReportReply

    node: str
    summary: ZoneSummary
