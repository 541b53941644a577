"""Serve budget: bounds what a node sends to peers that ask for a lot."""

import datetime

from balsamramp_core import clock

__all__ = ["TransferRateLimiter"]

RATE_BYTES_PER_S = 512 * 1024
BURST_BYTES = 4 * 1024 * 1024


class TransferRateLimiter:
    """Token bucket in bytes for snapshots and whole lists of members.

    A herd of nodes that returns asks for these all at once. A request
    is served while the budget is positive and charged what it took;
    others are told that the node is busy and ask another one.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._left = float(BURST_BYTES)
        self._filled_at: datetime.timedelta | None = None

    def allows(self) -> bool:
        """Tell whether one more request may be served now."""
        now = self._clock.monotonic()
        if self._filled_at is not None:
            seconds = (now - self._filled_at).total_seconds()
            self._left += seconds * RATE_BYTES_PER_S
        self._filled_at = now
        self._left = min(self._left, BURST_BYTES)
        return self._left > 0

    def consume(self, size: int) -> None:
        """Note that ``size`` bytes were sent."""
        self._left -= size
