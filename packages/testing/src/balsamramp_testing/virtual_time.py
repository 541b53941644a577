"""Virtual time: an event loop whose clock jumps to the next timer."""

import asyncio
from collections import abc
import datetime
import selectors
import typing

from balsamramp_core import clock

__all__ = ["START", "VirtualClock", "run"]

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

ResultT = typing.TypeVar("ResultT")


class _JumpingSelector(selectors.SelectSelector):
    """Moves the time on by as long as it was asked to wait."""

    def __init__(self) -> None:
        super().__init__()
        self.seconds = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.seconds += max(timeout, 0.0)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self, selector: _JumpingSelector) -> None:
        super().__init__(selector)
        self._jumping = selector

    def time(self) -> float:
        return self._jumping.seconds


class VirtualClock(clock.Clock):
    """Clock of the running virtual-time loop.

    ``skew`` is added to the wall clock alone.
    """

    def __init__(self, skew: datetime.timedelta = datetime.timedelta()):
        self._skew = skew

    def now(self) -> datetime.datetime:
        return START + self.monotonic() + self._skew

    def monotonic(self) -> datetime.timedelta:
        return datetime.timedelta(seconds=asyncio.get_running_loop().time())

    async def sleep(self, duration: datetime.timedelta) -> None:
        await asyncio.sleep(duration.total_seconds())


def run(main: abc.Coroutine[typing.Any, typing.Any, ResultT]) -> ResultT:
    """Run ``main`` in virtual time and return its result.

    Only in-memory fakes may be used inside: a wait for a socket would
    look like a wait without end.
    """
    loop = _VirtualLoop(_JumpingSelector())
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(main)
