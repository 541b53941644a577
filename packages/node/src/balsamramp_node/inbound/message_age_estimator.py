"""Message ages: how long messages from other nodes were on their way."""

import datetime

import attrs

from balsamramp_wire import messages

__all__ = ["MessageAgeEstimator"]

# Clocks that are being set right drift apart by up to 0.5 ms a second, so
# that a difference from the window before is off by 60 ms at most.
WINDOW = datetime.timedelta(seconds=60)
# Starts of other nodes that are remembered; a fleet's nodes many times over.
PEERS_MAX = 10_000

_Peer = tuple[str, int]


@attrs.define
class _Difference:
    """The least difference of this window, and that of the one before."""

    since: datetime.timedelta
    least: datetime.timedelta
    before: datetime.timedelta


class MessageAgeEstimator:
    """Tells the age of a message by the fastest one of the same sender.

    The clocks of two nodes have nothing to do with each other. The
    message that took the least time shows their difference, and every
    other is as old as it exceeds that. The difference holds for all
    connections of one start of a node, so that also the first messages
    of a connection are known to be late when this node takes them from
    its socket late.

    Example::

        ages.age(messages.Hello("vm-7", 3), sent_at, arrived_at)
    """

    def __init__(self) -> None:
        self._differences: dict[_Peer, _Difference] = {}

    def age(
        self,
        sender: messages.Hello,
        sent_at: datetime.timedelta,
        arrived_at: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return the age of a message that has just arrived."""
        place = (sender.node, sender.incarnation)
        difference = arrived_at - sent_at
        known = self._differences.get(place)
        if known is None:
            known = _Difference(arrived_at, difference, difference)
            self._remember(place, known)
        if arrived_at - known.since >= WINDOW:
            known.before = known.least
            known.least = difference
            known.since = arrived_at
        known.least = min(known.least, difference)
        return difference - min(known.least, known.before)

    def _remember(self, place: _Peer, known: _Difference) -> None:
        while len(self._differences) >= PEERS_MAX:
            del self._differences[next(iter(self._differences))]
        self._differences[place] = known
