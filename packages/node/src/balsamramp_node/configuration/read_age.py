"""Tracks how long ago the operators' store was last read."""

import datetime

from balsamramp_core import clock

__all__ = ["ReadAge"]


class ReadAge:
    """Keeps the latest time at which this node or a peer read the store."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._last_read_at: datetime.timedelta | None = None

    @property
    def read_age(self) -> datetime.timedelta | None:
        """Return how long ago the store was last read, or None if never."""
        if self._last_read_at is None:
            return None
        return self._clock.monotonic() - self._last_read_at

    def update_read_age(self, age: datetime.timedelta) -> None:
        """Record that this node or a peer read the store ``age`` ago."""
        read_at = self._clock.monotonic() - age
        if self._last_read_at is None or read_at > self._last_read_at:
            self._last_read_at = read_at
