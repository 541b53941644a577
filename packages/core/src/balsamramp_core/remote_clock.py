"""Relates the times of another host's clock to the own one."""

import datetime

import attrs

from balsamramp_core import clock

__all__ = ["DRIFT_MAX", "RemoteClock"]

# Clocks that are being slewed drift apart by up to 0.5 ms per second.
DRIFT_MAX = 0.0005
# Remote times are whole milliseconds, rounded down.
RESOLUTION = datetime.timedelta(milliseconds=1)
# A clock that states earlier times than it can for this long was set back.
SET_BACK_TIME = datetime.timedelta(seconds=60)


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

    def narrow(self, other: "_Offset") -> "_Offset | None":
        """Return what holds by both bounds, None if they contradict."""
        known = self.at(other.measured_at)
        if other.low > known.high or other.high < known.low:
            return None
        return _Offset(
            other.measured_at,
            max(other.low, known.low),
            min(other.high, known.high),
        )


@attrs.frozen
class _Earlier:
    """The offset by responses that state too early times, and since when."""

    since: datetime.timedelta
    offset: _Offset


class RemoteClock:
    """Bounds how long ago a time of a remote host's steady clock was.

    A response that states the remote time was made after its request was
    sent and before it was received, which bounds the offset of the clocks
    from both sides (F. Cristian, "Probabilistic clock synchronization",
    1989). So what is true at a remote time can be passed on from host to
    host: each that knows its own offset knows the age, however long the
    message was in transit.

    A response that states a later time than it can by the bounds shows that
    these are wrong, and they are measured anew. One that states an earlier
    time is taken for an old response; only if all are for a minute was the
    clock set back.

    Example::

        remote.record(sent_at, received_at, stated)
        remote.age(stated)
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._offset: _Offset | None = None
        self._earlier: _Earlier | None = None

    @property
    def uncertainty(self) -> datetime.timedelta | None:
        """Return how far the bounds are apart, None before a response."""
        if self._offset is None:
            return None
        offset = self._offset.at(self._clock.monotonic())
        return offset.high - offset.low

    def reset(self) -> None:
        """Forget all responses: the remote host may be another one."""
        self._offset = None
        self._earlier = None

    def record(
        self,
        sent_at: datetime.timedelta,
        received_at: datetime.timedelta,
        remote_time: datetime.timedelta,
    ) -> None:
        """Record a response to a request that was ``sent_at``."""
        measured = _Offset(
            received_at,
            sent_at - remote_time - RESOLUTION,
            received_at - remote_time,
        )
        known = self._offset
        if known is None:
            self._offset = measured
            return
        if measured.low > known.at(received_at).high:
            self._record_earlier(measured)
            return
        self._earlier = None
        self._offset = known.narrow(measured) or measured

    def _record_earlier(self, measured: _Offset) -> None:
        earlier = self._earlier
        agreed = None if earlier is None else earlier.offset.narrow(measured)
        if earlier is None or agreed is None:
            self._earlier = _Earlier(measured.measured_at, measured)
            return
        self._earlier = _Earlier(earlier.since, agreed)
        if measured.measured_at - earlier.since >= SET_BACK_TIME:
            self._offset = agreed
            self._earlier = None

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
