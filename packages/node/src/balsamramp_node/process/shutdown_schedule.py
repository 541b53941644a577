"""Times of the phases of a graceful shutdown."""

import datetime

from balsamramp_core import clock

__all__ = ["ShutdownSchedule"]

# Requests arrive until two readiness checks of the platform, one second apart,
# have failed; half a second is added for requests in transit.
NOTICE_PERIOD = datetime.timedelta(seconds=2.5)
# Shares of the grace, counted from the signal.
NOTICE_SHARE_MAX = 5 / 12
FORWARD_SHARE = 1 / 2
# Time for requests in transit when the callers' port closes. Later ones might
# not be answered in the rest of the grace.
FORWARD_PERIOD = datetime.timedelta(milliseconds=500)
CALLS_SHARE = 0.85
ANSWERS_SHARE = 0.88
CLOSE_SHARE = 0.91
STOP_SHARE = 0.93
EXIT_SHARE = 0.95
GRACE_DEFAULT = datetime.timedelta(seconds=12)
ZERO = datetime.timedelta()


class ShutdownSchedule:
    """The phases of a shutdown, as points in time since its signal.

    All parts of a process share one schedule, so that the time that one of
    them takes does not delay the end of another. The phases are, in order:
    new connections are accepted until ``notice_end``, received requests
    are forwarded until ``forward_end``, calls may run until ``calls_end``,
    responses are sent until ``answers_end``, connections between nodes are
    closed by ``close_end``, services are stopped by ``stop_end``, and the
    process ends by ``exit_at``, before the ``grace`` is over.

    Example::

        schedule = ShutdownSchedule(time, grace)
        schedule.begin()
        async with asyncio.timeout(schedule.seconds_until(schedule.calls_end)):
            await calls
    """

    def __init__(
        self,
        time: clock.Clock,
        grace: datetime.timedelta = GRACE_DEFAULT,
    ) -> None:
        self._clock = time
        self._grace = grace
        self._signalled_at: datetime.timedelta | None = None

    @property
    def begun(self) -> bool:
        """Return whether the shutdown has begun."""
        return self._signalled_at is not None

    @property
    def notice_end(self) -> datetime.timedelta:
        """Return until when callers may still send to this node."""
        notice = min(NOTICE_PERIOD, self._grace * NOTICE_SHARE_MAX)
        return self._get_start() + notice

    @property
    def forward_end(self) -> datetime.timedelta:
        """Return until when received requests are sent to targets."""
        end = self.notice_end + FORWARD_PERIOD
        return min(end, self._get_start() + self._grace * FORWARD_SHARE)

    @property
    def calls_end(self) -> datetime.timedelta:
        """Return when the calls that still run are ended."""
        return self._get_start() + self._grace * CALLS_SHARE

    @property
    def answers_end(self) -> datetime.timedelta:
        """Return when callers' connections are aborted."""
        return self._get_start() + self._grace * ANSWERS_SHARE

    @property
    def close_end(self) -> datetime.timedelta:
        """Return when connections between nodes are aborted."""
        return self._get_start() + self._grace * CLOSE_SHARE

    @property
    def stop_end(self) -> datetime.timedelta:
        """Return until when services are stopped in order."""
        return self._get_start() + self._grace * STOP_SHARE

    @property
    def exit_at(self) -> datetime.timedelta:
        """Return when the process ends, whatever still runs."""
        return self._get_start() + self._grace * EXIT_SHARE

    def begin(self) -> None:
        """Record the time of the signal; later calls have no effect."""
        if self._signalled_at is None:
            self._signalled_at = self._clock.monotonic()

    def seconds_until(self, end: datetime.timedelta) -> float:
        """Return the seconds until ``end``, at least 0."""
        return max(end - self._clock.monotonic(), ZERO).total_seconds()

    async def wait_until(self, end: datetime.timedelta) -> None:
        """Sleep until ``end``."""
        await self._clock.sleep(max(end - self._clock.monotonic(), ZERO))

    def _get_start(self) -> datetime.timedelta:
        assert self._signalled_at is not None, "the shutdown has not begun"
        return self._signalled_at
