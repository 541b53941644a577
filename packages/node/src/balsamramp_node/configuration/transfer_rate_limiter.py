"""Limits the rate of large transfers to peers."""

import datetime

from balsamramp_core import clock

__all__ = ["TransferRateLimiter"]

RATE_BYTES_PER_S = 512 * 1024
BURST_BYTES = 4 * 1024 * 1024


class TransferRateLimiter:
    """A token bucket in bytes for snapshots and member lists.

    Many nodes that restart together request these at the same time. A
    request is served while the bucket is positive and charged its size
    afterwards; other requests get a busy reply, and the peer asks
    another node.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._available_bytes = float(BURST_BYTES)
        self._refilled_at: datetime.timedelta | None = None

    def allows(self) -> bool:
        """Return whether one more request may be served now."""
        now = self._clock.monotonic()
        if self._refilled_at is not None:
            seconds = (now - self._refilled_at).total_seconds()
            self._available_bytes += seconds * RATE_BYTES_PER_S
        self._refilled_at = now
        self._available_bytes = min(self._available_bytes, BURST_BYTES)
        return self._available_bytes > 0

    def consume(self, size: int) -> None:
        """Charge ``size`` bytes that were sent."""
        self._available_bytes -= size
