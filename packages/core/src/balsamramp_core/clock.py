"""Interface through which every module reads the time."""

import abc
import asyncio
import datetime
import time

__all__ = ["Clock", "SystemClock"]


class Clock(abc.ABC):
    """Source of time, passed to each object that needs one.

    Tests pass a clock with simulated time, so that timeouts and leases
    expire without waiting.
    """

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Return the wall-clock time as an aware datetime in UTC."""

    @abc.abstractmethod
    def monotonic(self) -> datetime.timedelta:
        """Return the time since a fixed start; it never decreases."""

    @abc.abstractmethod
    async def sleep(self, duration: datetime.timedelta) -> None:
        """Suspend the current task for ``duration``."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def now(self) -> datetime.datetime:
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        # CLOCK_BOOTTIME, unlike CLOCK_MONOTONIC, includes the time in which
        # the machine is suspended; deadlines and leases expire meanwhile.
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        # Positional arguments take half the time, and each call reads the
        # clock a dozen times.
        return datetime.timedelta(0, now)

    async def sleep(self, duration: datetime.timedelta) -> None:
        await asyncio.sleep(duration.total_seconds())
