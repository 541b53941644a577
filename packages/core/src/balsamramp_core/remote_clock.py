"""Relates the times of another host's clock to the own one."""

import datetime

import attrs

from balsamramp_core import clock

__all__ = ["DRIFT_MAX", "RemoteClock"]

# Clocks that are being slewed drift apart by up to 0.5 ms per second.
DRIFT_MAX = 0.0005
# Remote times are whole milliseconds, rounded down.
RESOLUTION = datetime.timedelta(milliseconds=1)


@attrs.frozen
class _Offset:
    """Bounds of the own time minus the remote one, when it was measured."""

    measured_at: datetime.timedelta
    low: datetime.timedelta
    high: datetime.timedelta

    def at(self, now: datetime.timedelta) -> "_Offset":
        """Return the bounds at a later time, after the clocks drifted."""
        drift = max(now - self.measured_at, datetime.timedelta()) * DRIFT_MAX
        return _Offset(now, self.low - drift, self.high + drift)


class RemoteClock:
    """Bounds how long ago a time of a remote host's steady clock was.

    A response that states the remote time was made after its request was
    sent and before it was received, which bounds the offset of the clocks
    from both sides (F. Cristian, "Probabilistic clock synchronization",
    1989). So what is true at a remote time can be passed on from host to
    host: each that knows its own offset knows the age, however long the
    message was in transit.

    Bounds that contradict each other show that one of the clocks was set.
    Then the last response alone counts.

    Example::

        remote.record(sent_at, received_at, stated)
        remote.age(stated)
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._offset: _Offset | None = None

    def reset(self) -> None:
        """Forget all responses: the remote host may be another one."""
        self._offset = None

    def record(
        self,
        sent_at: datetime.timedelta,
        received_at: datetime.timedelta,
        remote_time: datetime.timedelta,
    ) -> None:
        """Record a response to a request that was ``sent_at``."""
        low = sent_at - remote_time - RESOLUTION
        high = received_at - remote_time
        known = self._offset
        if known is not None:
            known = known.at(received_at)
            if low <= known.high and known.low <= high:
                low = max(low, known.low)
                high = min(high, known.high)
        self._offset = _Offset(received_at, low, high)

    def age(
        self, remote_time: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Return how long ago ``remote_time`` was, at most.

        Returns None if that is unknown: there was no response yet, or the
        time has not come yet by the clocks as they were before.
        """
        if self._offset is None:
            return None
        now = self._clock.monotonic()
        age = now - remote_time - self._offset.at(now).low
        return None if age < datetime.timedelta() else age
