"""Tells whether the peer of a connection sends and reads fast enough."""

import datetime

__all__ = ["TRANSFER_TIMEOUT", "TransferProgress"]

# A body, or a response that is being read, makes progress if so much of it
# is transferred within the idle timeout.
PROGRESS_MIN_BYTES = 1024
# Longest time for one body to arrive, and for one response to be read. No
# request waits longer for its response.
TRANSFER_TIMEOUT = datetime.timedelta(minutes=10)


class TransferProgress:
    """Remembers when the peer of a connection last made progress.

    Times are those of the event loop, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._last_at = now
        self._received_bytes = 0
        self._unsent_bytes = 0
        self._written_at = now

    @property
    def last_at(self) -> float:
        """Return when the peer last made progress."""
        return self._last_at

    @property
    def unsent_bytes(self) -> int:
        """Return how much was not sent when it was last recorded."""
        return self._unsent_bytes

    def record_step(self, now: float) -> None:
        """Record the start or the end of a request, or its response."""
        self._last_at = now
        self._received_bytes = 0

    def record_received(self, size: int, now: float) -> None:
        """Record ``size`` bytes of a request that was begun before."""
        self._received_bytes += size
        if self._received_bytes >= PROGRESS_MIN_BYTES:
            self.record_step(now)

    def record_written(self, unsent_bytes: int, now: float) -> None:
        """Record a response of which ``unsent_bytes`` are not sent yet."""
        self._unsent_bytes = unsent_bytes
        self._written_at = now

    def record_unsent(self, unsent_bytes: int, now: float) -> None:
        """Record how much of the responses is not sent yet."""
        sent = self._unsent_bytes - unsent_bytes
        if sent <= 0 or (unsent_bytes and sent < PROGRESS_MIN_BYTES):
            return
        self._unsent_bytes = unsent_bytes
        self._last_at = now

    def is_read_too_long(self, now: float) -> bool:
        """Return whether a response was not read whole in time."""
        if not self._unsent_bytes:
            return False
        return now - self._written_at >= TRANSFER_TIMEOUT.total_seconds()
