"""Clock: the interface through which every module reads time."""

import abc
import asyncio
import datetime
import time

__all__ = ["Clock", "SystemClock"]


class Clock(abc.ABC):
    """Source of time that is passed in, never imported as a global.

    Tests pass a clock that runs on simulated time, so that timeouts and
    leases can be tried without waiting.
    """

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC, with its time zone set."""

    @abc.abstractmethod
    def monotonic(self) -> datetime.timedelta:
        """Return time since a fixed start; it never goes backwards."""

    @abc.abstractmethod
    async def sleep(self, duration: datetime.timedelta) -> None:
        """Suspend the current task for ``duration``."""


class SystemClock(Clock):
    """Clock of the machine."""

    def now(self) -> datetime.datetime:
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        # Unlike the monotonic clock it counts time in which the machine is
        # suspended, during which deadlines and leases pass.
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        return datetime.timedelta(seconds=now)

    async def sleep(self, duration: datetime.timedelta) -> None:
        await asyncio.sleep(duration.total_seconds())
