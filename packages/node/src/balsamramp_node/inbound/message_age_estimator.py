"""Estimates how long messages from other nodes were in transit."""

import datetime

import attrs

from balsamramp_wire import messages

__all__ = ["LATE_CALL_AGE", "MessageAgeEstimator"]

# The caller of a call of this age may have left without this node knowing.
LATE_CALL_AGE = datetime.timedelta(milliseconds=300)
# Clocks that are being slewed drift apart by up to 0.5 ms per second. While
# messages keep arriving, an offset from the previous window is at most two
# windows old and thus wrong by at most 60 ms.
WINDOW = datetime.timedelta(seconds=60)
# Limit of tracked incarnations of other nodes, a multiple of the fleet size.
PEERS_MAX = 10_000

_Peer = tuple[str, int]


@attrs.define
class _ClockOffset:
    """The minimum clock offset of the current and the previous window.

    It is ``confirmed`` once it includes a message that answered one of this
    node, which cannot have been in transit for long unnoticed.
    """

    window_start: datetime.timedelta
    minimum: datetime.timedelta
    previous_minimum: datetime.timedelta
    confirmed: bool = False


class MessageAgeEstimator:
    """Estimates a message's age relative to the sender's fastest message.

    The monotonic clocks of two nodes are unrelated. The message with the
    shortest transit time gives their offset, and the age of any other
    message is the time by which its transit was longer. The offset is
    kept per incarnation of a node and shared by its connections, so that
    even the first messages of a new connection are recognised as old if
    this node is late to read them from the socket. As long as there was no
    answer to a message of this node, all messages may be older.

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

    def confirm(
        self,
        sender: messages.Hello,
        sent_at: datetime.timedelta,
        arrived_at: datetime.timedelta,
    ) -> None:
        """Record the answer to a message that this node has just sent."""
        self.age(sender, sent_at, arrived_at)
        self._offsets[(sender.node, sender.incarnation)].confirmed = True

    def is_confirmed(self, sender: messages.Hello) -> bool:
        """Return whether the age of the messages of ``sender`` is known."""
        tracked = self._offsets.get((sender.node, sender.incarnation))
        return tracked is not None and tracked.confirmed

    def _track(self, peer: _Peer, tracked: _ClockOffset) -> None:
        while len(self._offsets) >= PEERS_MAX:
            del self._offsets[next(iter(self._offsets))]
        self._offsets[peer] = tracked
