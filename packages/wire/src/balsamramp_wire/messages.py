"""Messages: what nodes say to each other, as attrs classes.

The call messages travel as frames on the stream between nodes (see
``frames``); the others are requests and replies of the control methods
(see ``control``).
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
    "PushReply",
    "PushRequest",
    "RefusalReport",
    "ReportReply",
    "ReportRequest",
    "TargetRecord",
    "TargetState",
    "VersionCount",
    "ZoneSummary",
]

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class Hello:
    """First frame in both directions: who speaks on this connection.

    ``sent_at`` is read from the sender's monotonic clock.
    """

    node: str
    incarnation: int
    protocol: int = 1
    sent_at: datetime.timedelta = datetime.timedelta()


@attrs.frozen
class Ping:
    """Asks the peer to prove that the connection still carries data."""

    number: int


@attrs.frozen
class Pong:
    """Answers the Ping of the same number."""

    number: int


@attrs.frozen
class Load:
    """State of a target's admission, sent along with each answer.

    ``queued`` calls wait for one of ``limit`` places, ``service`` is the
    mean time that a call takes at the target, and ``failing`` the part of
    its recent calls that failed. ``cold`` tells that the target
    takes calls at a bounded rate only.
    """

    in_flight: int
    limit: int
    queued: int = 0
    service: datetime.timedelta = datetime.timedelta()
    failing: float = 0.0
    cold: bool = False


@attrs.frozen
class ControlCall:
    """A control request on the stream; ``body`` is in MessagePack."""

    number: int
    method: str
    body: bytes


@attrs.frozen
class ControlAnswer:
    """Answers the ControlCall of the same number, if it was ``served``."""

    number: int
    served: bool
    body: bytes = b""


@attrs.frozen(kw_only=True)
class CallRequest:
    """One call handed to the node of the chosen target.

    ``call_id`` stays the same when the sender repeats the message on
    another connection; ``incarnation`` is that of the node which the
    first message was for, so that a restarted node does not run the call
    a second time. ``repeat`` marks a message that was sent before on a
    connection that may have delivered it. ``timeout`` is the time left
    until the caller's deadline, counted from ``sent_at`` on the sender's
    monotonic clock, and ``retries`` the part of the call's retry budget
    that the target may spend on calls of its own.

    ``route`` names the entry or route that the call falls under;
    ``objective`` is what is left, like ``timeout``, of the time within
    which an answer is worth most, and ``priority`` its rank, 0 first.
    ``from_target`` tells that a target made the call while running
    another. ``instance`` is the start of the target that was picked, or
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
    """The whole answer of the target to the call ``call_id``."""

    call_id: str
    status: int
    headers: Headers
    body: bytes
    load: Load


@attrs.frozen(kw_only=True)
class CallFailure:
    """The call ``call_id`` has no answer from its target."""

    call_id: str
    failure: verdict.Failure
    load: Load


@attrs.frozen
class CallCancel:
    """The caller no longer waits for the call ``call_id`` to ``target``."""

    call_id: str
    target: str


class TargetState(enum.Enum):
    """Whether a target takes new work."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class TargetRecord:
    """A target as its node announces it to the others.

    ``instance`` names its start, and ``slots`` how many calls it runs at
    once, 0 if not told.
    """

    target: str
    service: str
    labels: dict[str, str]
    state: TargetState
    instance: str = ""
    slots: int = 0


class MemberState(enum.Enum):
    """What is believed of a node; later ones override earlier ones."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@attrs.frozen(kw_only=True)
class Member:
    """A node as the others know it.

    ``incarnation`` rises with each start of the node and ``sequence``
    with each change that the node makes to its own record, so the later
    of two records is known without asking.
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


@attrs.frozen
class ControlRequest:
    """Base of the requests between nodes.

    ``method`` names the control method and ``reply`` is the class of its
    answer.
    """

    method: typing.ClassVar[str]
    reply: typing.ClassVar[type]


@attrs.frozen(kw_only=True)
class ConfigurationState:
    """What a node has in force, as it tells its peers.

    ``digest`` is that of the configuration. ``read_age`` is how long ago
    some node whose word came here last read the platform's log, or None.
    """

    version: int
    digest: bytes
    in_service: bool
    read_age: datetime.timedelta | None


@attrs.frozen
class VersionCount:
    """How many nodes have a version in force."""

    version: int
    nodes: int


@attrs.frozen
class RefusalReport:
    """Why a node does not bring a later version into force."""

    node: str
    version: int
    message: str


@attrs.frozen(kw_only=True)
class ZoneSummary:
    """What the nodes of a zone have in force, counted at ``counted_at``.

    ``lagging`` names some of the nodes that are behind the latest
    version of the zone. The summary of the later time goes first.
    """

    zone: str
    counted_at: datetime.datetime
    nodes: int
    versions: tuple[VersionCount, ...]
    lagging: tuple[str, ...] = ()
    refusals: tuple[RefusalReport, ...] = ()


@attrs.frozen(kw_only=True)
class ExchangeReply:
    """Answer to an ExchangeRequest, with the same fields."""

    node: str
    zone: str
    members: tuple[Member, ...]
    digests: dict[str, int]
    state: ConfigurationState
    contact_ages: dict[str, datetime.timedelta]
    summaries: tuple[ZoneSummary, ...]


@attrs.frozen(kw_only=True)
class ExchangeRequest(ControlRequest):
    """Tells a peer what changed lately and what the sender holds.

    ``digests`` summarises the sender's list of live members of each zone.
    ``contact_ages`` tells how long ago the sender's zone was in contact
    with each other zone.
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
    """Members in the buckets that differ: MessagePack within zlib.

    ``busy`` tells that the peer answers too many such requests now.
    """

    packed: bytes = b""
    busy: bool = False


@attrs.frozen
class BucketsRequest(ControlRequest):
    """Asks for the members of a zone in buckets whose digest differs."""

    method = "buckets"
    reply = BucketsReply

    zone: str
    buckets: tuple[int, ...]


@attrs.frozen
class PingReply:
    """Which node answers, and which of its starts."""

    node: str
    incarnation: int


@attrs.frozen
class PingRequest(ControlRequest):
    """Asks for a sign of life."""

    method = "ping"
    reply = PingReply


@attrs.frozen
class ProbeReply:
    """Whether the peer got a sign of life."""

    reached: bool


@attrs.frozen
class ProbeRequest(ControlRequest):
    """Asks a peer to ping a node that the sender can't reach."""

    method = "probe"
    reply = ProbeReply

    address: settings.Address


@attrs.frozen(kw_only=True)
class KeyClaimReply:
    """Whether the peer has the key, or a home that was lost may."""

    taken: bool
    in_doubt: bool


@attrs.frozen(kw_only=True)
class KeyClaimRequest(ControlRequest):
    """Asks whether an idempotency key may be run by ``target``."""

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
    """Hands on changes of configuration, in order of their versions.

    ``version`` is the last of them and seeds the tree. ``changes`` may
    be empty when they are too many; the receiver then asks ``sender``.
    """

    method = "push"
    reply = PushReply

    sender: settings.Address
    zone: str
    version: int
    changes: tuple[bytes, ...]


@attrs.frozen
class ChangesReply:
    """The changes asked for, or a snapshot that includes them.

    ``busy`` tells that the peer sends too many snapshots now.
    """

    changes: tuple[bytes, ...] = ()
    snapshot: bytes = b""
    busy: bool = False


@attrs.frozen
class ChangesRequest(ControlRequest):
    """Asks for the changes after a version whose state has ``digest``."""

    method = "changes"
    reply = ChangesReply

    version: int
    digest: bytes


@attrs.frozen
class ReportReply:
    """Answer to a ReportRequest."""


@attrs.frozen(kw_only=True)
class ReportRequest(ControlRequest):
    """Hands what the nodes below ``node`` have in force up the tree."""

    method = "report"
    reply = ReportReply

    node: str
    summary: ZoneSummary
