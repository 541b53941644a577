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
    "CallAnswer",
    "CallCancel",
    "CallFailure",
    "CallRequest",
    "ChangesReply",
    "ChangesRequest",
    "ControlRequest",
    "ExchangeReply",
    "ExchangeRequest",
    "Hello",
    "Load",
    "Member",
    "MemberState",
    "MembersReply",
    "MembersRequest",
    "Ping",
    "Pong",
    "PushReply",
    "PushRequest",
    "TargetRecord",
    "TargetState",
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
    """State of a target's admission, sent along with each answer."""

    in_flight: int
    limit: int


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
    """A target as its node announces it to the others."""

    target: str
    service: str
    labels: dict[str, str]
    state: TargetState


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
class ExchangeReply:
    """Answer to an ExchangeRequest, with the same fields."""

    node: str
    members: tuple[Member, ...]
    members_digest: int
    version: int


@attrs.frozen(kw_only=True)
class ExchangeRequest(ControlRequest):
    """Tells a peer what changed lately and what the sender holds.

    ``members_digest`` summarises the sender's whole list of members and
    ``version`` is the configuration that it has in force.
    """

    method = "exchange"
    reply = ExchangeReply

    node: str
    members: tuple[Member, ...]
    members_digest: int
    version: int


@attrs.frozen
class MembersReply:
    """All members that the peer knows."""

    members: tuple[Member, ...]


@attrs.frozen
class MembersRequest(ControlRequest):
    """Asks for the whole list of members."""

    method = "members"
    reply = MembersReply

    node: str


@attrs.frozen
class PushReply:
    """The version that the receiver has in force after the push."""

    version: int


@attrs.frozen
class PushRequest(ControlRequest):
    """Hands on changes of configuration, in order of their versions."""

    method = "push"
    reply = PushReply

    changes: tuple[bytes, ...]


@attrs.frozen
class ChangesReply:
    """The changes asked for, or a snapshot that includes them."""

    changes: tuple[bytes, ...] = ()
    snapshot: bytes = b""


@attrs.frozen
class ChangesRequest(ControlRequest):
    """Asks for the changes after ``version``."""

    method = "changes"
    reply = ChangesReply

    version: int
