"""An event loop whose clock jumps to the next timer."""

import abc as abstract
import asyncio
from collections import abc
import contextvars
import datetime
import selectors
import typing

from balsamramp_core import clock

__all__ = [
    "START",
    "SimulatedProcess",
    "StreamNetwork",
    "VirtualClock",
    "current_process",
    "errors",
    "run",
    "use_streams",
]

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

_PROCESS: contextvars.ContextVar[typing.Optional["SimulatedProcess"]] = (
    contextvars.ContextVar("process", default=None)
)

CANCEL_ROUNDS = 20

ResultT = typing.TypeVar("ResultT")


class _JumpingSelector(selectors.SelectSelector):
    """Advances virtual time by the timeout instead of waiting for it."""

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
            raise RuntimeError(
                "deadlock: every task is waiting and no timer is set"
            )
        self.seconds += max(timeout, 0.0)
        return []


class StreamNetwork(abstract.ABC):
    """Replaces TCP for the streams of the running loop."""

    @abstract.abstractmethod
    async def connect(
        self, make_protocol: typing.Any, host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Connect as ``loop.create_connection`` does."""

    @abstract.abstractmethod
    async def listen(
        self, make_protocol: typing.Any, host: str, port: int
    ) -> typing.Any:
        """Listen as ``loop.create_server`` does."""


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self, selector: _JumpingSelector) -> None:
        super().__init__(selector)
        self._jumping = selector
        self.streams: StreamNetwork | None = None
        self.errors: list[str] = []

    async def create_connection(  # type: ignore[override]
        self,
        make_protocol: typing.Any,
        host: str,
        port: int,
        **options: typing.Any,
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        if self.streams is None:
            raise RuntimeError("no stream network in virtual time")
        return await self.streams.connect(make_protocol, host, port)

    async def create_server(  # type: ignore[override]
        self,
        make_protocol: typing.Any,
        host: str,
        port: int,
        **options: typing.Any,
    ) -> typing.Any:
        if self.streams is None:
            raise RuntimeError("no stream network in virtual time")
        return await self.streams.listen(make_protocol, host, port)

    def time(self) -> float:
        return self._jumping.seconds

    def call_soon(  # type: ignore[override]
        self,
        callback: typing.Any,
        *arguments: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        process = (context or contextvars.copy_context()).get(_PROCESS)
        if process is not None and process.paused:
            handle = asyncio.Handle(callback, arguments, self, context)
            process.deferred.append(handle)
            return handle
        return super().call_soon(callback, *arguments, context=context)


class SimulatedProcess:
    """The tasks of one simulated process.

    A task belongs to the process of the task that created it. While the
    process is paused, none of its tasks runs, and timers that expire take
    effect only after ``resume``, as in a process stopped by SIGSTOP.

    Example::

        process = SimulatedProcess("node-1")
        task = process.spawn(serve())
        process.pause()
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.paused = False
        self.deferred: list[asyncio.Handle] = []
        self._tasks: dict[asyncio.Task[typing.Any], None] = {}
        self._context = contextvars.copy_context()
        self._context.run(_PROCESS.set, self)

    def spawn(
        self, work: abc.Coroutine[typing.Any, typing.Any, ResultT]
    ) -> asyncio.Task[ResultT]:
        """Start a task in this process."""
        return asyncio.get_running_loop().create_task(
            work, context=self._context.copy()
        )

    async def run(self, work: abc.Awaitable[ResultT]) -> ResultT | None:
        """Run ``work`` in this process for a caller outside of it.

        Returns None if the process was killed first.
        """
        task = self.spawn(_await(work))
        if asyncio.iscoroutine(work):
            task.add_done_callback(lambda _: work.close())
        try:
            await asyncio.wait([task])
        except asyncio.CancelledError:
            task.cancel()
            raise
        return None if task.cancelled() else task.result()

    def do(
        self, function: abc.Callable[..., ResultT], *values: typing.Any
    ) -> ResultT:
        """Call ``function`` now; tasks it creates belong to this process."""
        return self._context.copy().run(function, *values)

    def call(self, function: abc.Callable[..., None], *values: object) -> None:
        """Schedule ``function`` in this process.

        While the process is paused, the call is deferred until ``resume``.
        """
        context = self._context.copy()
        asyncio.get_running_loop().call_soon(
            function, *values, context=context
        )

    def pause(self) -> None:
        """Suspend all tasks until ``resume``."""
        self.paused = True

    def resume(self) -> None:
        """Continue all tasks where they were suspended."""
        self.paused = False
        deferred, self.deferred = self.deferred, []
        for handle in deferred:
            if handle.cancelled():
                continue
            asyncio.get_running_loop().call_soon(handle._run)

    async def kill(self) -> None:
        """Cancel all tasks without a graceful shutdown.

        Cancels in several rounds, as cleanup may wait or start new tasks.
        """
        self.resume()
        for _ in range(CANCEL_ROUNDS):
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.sleep(0)

    def _add_task(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks[task] = None
        task.add_done_callback(self._discard_task)

    def _discard_task(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks.pop(task, None)


async def _await(work: abc.Awaitable[ResultT]) -> ResultT:
    return await work


def current_process() -> SimulatedProcess | None:
    """Return the process of the running task; None if it has none."""
    return _PROCESS.get()


def errors() -> list[str]:
    """Return the unhandled errors of the running loop."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, _VirtualLoop)
    return loop.errors


def _record_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
) -> None:
    error = context.get("exception")
    if isinstance(error, asyncio.CancelledError):
        return
    assert isinstance(loop, _VirtualLoop)
    loop.errors.append(f"{context['message']}: {error!r}")
    loop.default_exception_handler(context)


def use_streams(network: StreamNetwork) -> None:
    """Route the connections of the running loop over ``network``."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, _VirtualLoop)
    loop.streams = network


def _create_task(
    loop: asyncio.AbstractEventLoop,
    work: typing.Any,
    context: contextvars.Context | None = None,
) -> asyncio.Task[typing.Any]:
    task = asyncio.Task(work, loop=loop, context=context)
    process = (context or contextvars.copy_context()).get(_PROCESS)
    if process is not None:
        process._add_task(task)
    return task


class VirtualClock(clock.Clock):
    """Clock of the running virtual-time loop.

    ``skew`` is added to the wall clock, not to the monotonic clock.
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

    Only in-memory fakes may be used inside: the loop does not wait for
    real sockets and treats such a wait as a deadlock.
    """
    loop = _VirtualLoop(_JumpingSelector())
    loop.set_task_factory(_create_task)
    loop.set_exception_handler(_record_error)
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(main)
