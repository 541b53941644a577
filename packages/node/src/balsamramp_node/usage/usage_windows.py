"""Windows of time for which usage is reported."""

import datetime
import math

import attrs

__all__ = ["UsageWindows"]

EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


@attrs.frozen
class UsageWindows:
    """Numbers windows of ``length`` from 1970 in UTC.

    The report of a window is due ``lateness`` after its end.
    """

    length: datetime.timedelta
    lateness: datetime.timedelta

    @property
    def retained(self) -> int:
        """Return how many windows before the running one are kept."""
        return math.ceil(self.lateness / self.length) + 1

    def window_at(self, wall: datetime.datetime) -> int:
        """Return the number of the window that contains ``wall``."""
        return (wall - EPOCH) // self.length

    def end(self, window: int) -> datetime.datetime:
        """Return the time at which ``window`` ends."""
        return EPOCH + (window + 1) * self.length

    def due(self, window: int) -> datetime.datetime:
        """Return the time by which the report of ``window`` is due."""
        return self.end(window) + self.lateness

    def is_retained(self, window: int, wall: datetime.datetime) -> bool:
        """Return whether counts of ``window`` are accepted at ``wall``.

        The next window is accepted early, as wall clocks differ.
        """
        running = self.window_at(wall)
        return running - self.retained <= window <= running + 1
