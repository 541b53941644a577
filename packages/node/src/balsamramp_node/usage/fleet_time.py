"""Wall-clock time as most nodes of the fleet have it."""

import datetime

import attrs

from balsamramp_core import clock

__all__ = ["FleetTime"]

# Enough that a few wrong clocks among them do not decide.
PEERS_MAX = 31
OBSERVATION_MAX_AGE = datetime.timedelta(seconds=15)
REFRESH_INTERVAL = datetime.timedelta(milliseconds=200)


@attrs.frozen
class _Observation:
    origin: datetime.datetime
    seen_at: datetime.timedelta


class FleetTime:
    """Median of this node's wall clock and those of its peers.

    A clock is known by its origin: its time when this node's monotonic
    clock was 0. A wrong or stepped wall clock, be it this node's or a
    peer's, does not move the median of three or more.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._observations: dict[str, _Observation] = {}
        self._origin: datetime.datetime | None = None
        self._refreshed_at = datetime.timedelta()

    def observe(
        self, node: str, wall: datetime.datetime, at: datetime.timedelta
    ) -> None:
        """Record that the clock of ``node`` was ``wall`` at monotonic ``at``.

        Raises nothing: a time without a zone is ignored, and so is one
        that cannot be represented.
        """
        if wall.tzinfo is None:
            return
        try:
            origin = wall - at
        except OverflowError:
            return
        self._observations.pop(node, None)
        self._observations[node] = _Observation(origin, at)
        while len(self._observations) > PEERS_MAX:
            del self._observations[next(iter(self._observations))]
        self._origin = None

    def now(self) -> datetime.datetime:
        """Return the wall-clock time of the fleet."""
        return self.at(self._clock.monotonic())

    def at(self, monotonic: datetime.timedelta) -> datetime.datetime:
        """Return the wall-clock time at a time of the monotonic clock."""
        now = self._clock.monotonic()
        if (
            self._origin is None
            or now - self._refreshed_at >= REFRESH_INTERVAL
        ):
            self._origin = self._median_origin(now)
            self._refreshed_at = now
        return self._origin + monotonic

    def _median_origin(self, now: datetime.timedelta) -> datetime.datetime:
        origins = [self._clock.now() - now]
        for observation in self._observations.values():
            if now - observation.seen_at <= OBSERVATION_MAX_AGE:
                origins.append(observation.origin)
        origins.sort()
        return origins[(len(origins) - 1) // 2]
