"""Decides how long a connection is read on after its last response."""

import datetime

__all__ = ["CHECK_INTERVAL", "LingeringClose"]

CHECK_INTERVAL = datetime.timedelta(milliseconds=100)
# Time for a peer that has received everything to read it and to close its
# side.
TIMEOUT = datetime.timedelta(seconds=2)
# Longest time after that for a peer that goes on sending.
LONGEST = datetime.timedelta(seconds=10)


class LingeringClose:
    """Follows a connection that was closed for writing.

    Data that arrives after the close of a socket resets its connection, and
    a reset discards what the peer has not received. So the socket stays open
    until the peer has received the last response, and ``timeout`` longer, as
    the peer may still be reading it (RFC 9112, section 9.6). Data that
    arrives shows that it has not read it yet, and starts that time anew, up
    to ``LONGEST``. A peer that receives nothing for ``stall_timeout``, if
    that is set, is not waited for. Times are those of a steady clock.
    """

    def __init__(
        self,
        now: datetime.timedelta,
        timeout: datetime.timedelta = TIMEOUT,
        stall_timeout: datetime.timedelta = datetime.timedelta.max,
    ) -> None:
        self._timeout = timeout
        self._stall_timeout = stall_timeout
        self._undelivered_bytes = 0
        self._progress_at = now
        self._delivered_at = now
        self._quiet_since = now

    def record_received(self, now: datetime.timedelta) -> None:
        """Record that the peer has sent data."""
        self._quiet_since = now

    def record_undelivered(self, size: int, now: datetime.timedelta) -> None:
        """Record that the peer has not received ``size`` bytes."""
        if size != self._undelivered_bytes:
            self._progress_at = now
        self._undelivered_bytes = size
        if size:
            self._delivered_at = self._quiet_since = now

    def is_over(self, now: datetime.timedelta) -> bool:
        """Return whether the connection may be closed."""
        if self._undelivered_bytes:
            return now - self._progress_at >= self._stall_timeout
        if now - self._delivered_at >= LONGEST:
            return True
        return now - self._quiet_since >= self._timeout
