"""Estimates how long messages from other nodes were in transit."""

import datetime

import attrs

from balsamramp_wire import messages

__all__ = ["MessageAgeEstimator"]

# Clocks that are being slewed drift apart by up to 0.5 ms per second, so that
# an offset from the previous window is wrong by at most 60 ms.
WINDOW = datetime.timedelta(seconds=60)
# Incarnations of other nodes that are tracked, a multiple of the fleet size.
PEERS_MAX = 10_000

_Peer = tuple[str, int]


@attrs.define
class _ClockOffset:
    """The minimum clock offset of the current and the previous window."""

    window_start: datetime.timedelta
    minimum: datetime.timedelta
    previous_minimum: datetime.timedelta


class MessageAgeEstimator:
    """Estimates the age of a message from the sender's fastest message.

    The monotonic clocks of two nodes are unrelated. The message with the
    shortest transit time gives their offset, and the age of any other
    message is its excess over that. The offset is kept per incarnation
    of a node, for all its connections, so that the first messages of a
    connection are also recognised as late when this node reads them late
    from the socket.

    Example::

        ages.age(messages.Hello("vm-7", 3), sent_at, arrived_at)
    """

    def __init__(self) -> None:
        self._offsets: dict[_Peer, _ClockOffset] = {}

    def age(
        self,
        sender: messages.Hello,
        sent_at: datetime.timedelta,
        arrived_at: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return the age of a message that has just arrived."""
        peer = (sender.node, sender.incarnation)
        offset = arrived_at - sent_at
        tracked = self._offsets.get(peer)
        if tracked is None:
            tracked = _ClockOffset(arrived_at, offset, offset)
            self._track(peer, tracked)
        if arrived_at - tracked.window_start >= WINDOW:
            tracked.previous_minimum = tracked.minimum
            tracked.minimum = offset
            tracked.window_start = arrived_at
        tracked.minimum = min(tracked.minimum, offset)
        return offset - min(tracked.minimum, tracked.previous_minimum)

    def _track(self, peer: _Peer, tracked: _ClockOffset) -> None:
        while len(self._offsets) >= PEERS_MAX:
            del self._offsets[next(iter(self._offsets))]
        self._offsets[peer] = tracked
