"""Memory for the large bodies that other nodes send with their calls.

Each node limits what it takes from its own callers, but a target's node gets
what all others have taken. So they ask before they send a large body, and one
for which there is no room is refused before it has left its node.
"""

import datetime

import attrs

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_wire import body_messages
from balsamramp_wire import control_transport

__all__ = ["BodyRoom"]

# A body is held as received, as decoded and as sent to the target.
COPIES = 3


@attrs.frozen
class _Grant:
    size: int
    expires_at: datetime.timedelta


class BodyRoom:
    """Grants memory for bodies up to ``limit_bytes`` in total.

    A body of any legal size is granted while there is no other, so that
    each is served in calm. A grant ends with its call, or when the call can
    no longer come.
    """

    def __init__(
        self,
        limit_bytes: int,
        time: clock.Clock,
        counters: metrics.Metrics,
    ) -> None:
        self._limit_bytes = limit_bytes
        self._clock = time
        self._metrics = counters
        self._grants: dict[str, _Grant] = {}

    @property
    def held_bytes(self) -> int:
        """Return how much is granted, with all copies."""
        return sum(grant.size for grant in self._grants.values())

    def serve(self, transport: control_transport.ControlTransport) -> None:
        """Answer the requests of other nodes that arrive by ``transport``."""
        transport.handle(body_messages.BodyRoomRequest, self._serve)

    def grant(
        self, call_id: str, size: int, timeout: datetime.timedelta
    ) -> bool:
        """Return whether there is room for the body of a call."""
        now = self._clock.monotonic()
        self._drop_expired(now)
        # A call that is sent again replaces what it had.
        self._grants.pop(call_id, None)
        needed = COPIES * size
        if self._grants and self.held_bytes + needed > self._limit_bytes:
            self._metrics.count("body_rooms_refused_total")
            return False
        self._grants[call_id] = _Grant(needed, now + timeout)
        return True

    def release(self, call_id: str) -> None:
        """Give back the memory of a call, if it has any."""
        self._grants.pop(call_id, None)

    async def _serve(
        self, request: body_messages.BodyRoomRequest
    ) -> body_messages.BodyRoomReply:
        granted = self.grant(request.call_id, request.size, request.timeout)
        return body_messages.BodyRoomReply(granted=granted)

    def _drop_expired(self, now: datetime.timedelta) -> None:
        for call_id, grant in list(self._grants.items()):
            if now >= grant.expires_at:
                del self._grants[call_id]
