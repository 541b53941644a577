"""Control requests for the memory that large bodies of calls need."""

import datetime

import attrs

from balsamramp_wire import messages

__all__ = ["BodyRoomReply", "BodyRoomRequest"]


@attrs.frozen(kw_only=True)
class BodyRoomReply:
    """Whether the receiver keeps memory for the body of a call."""

    granted: bool


@attrs.frozen(kw_only=True)
class BodyRoomRequest(messages.ControlRequest):
    """Asks for memory for the body of ``size`` bytes of a call.

    The call follows, and is over after ``timeout``.
    """

    method = "body-room"
    reply = BodyRoomReply

    call_id: str
    size: int
    timeout: datetime.timedelta
