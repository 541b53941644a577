"""Read age: how long ago anyone here heard from the operators' store."""

import datetime

from balsamramp_core import clock

__all__ = ["ReadAge"]


class ReadAge:
    """Keeps the latest time at which a node heard from the store."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._heard_at: datetime.timedelta | None = None

    @property
    def read_age(self) -> datetime.timedelta | None:
        """Return how long ago the store was last heard, or None."""
        if self._heard_at is None:
            return None
        return self._clock.monotonic() - self._heard_at

    def update_read_age(self, age: datetime.timedelta) -> None:
        """Note that the store was heard ``age`` ago, here or by a peer."""
        heard_at = self._clock.monotonic() - age
        if self._heard_at is None or heard_at > self._heard_at:
            self._heard_at = heard_at
