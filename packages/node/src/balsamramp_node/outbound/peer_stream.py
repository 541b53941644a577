"""Peer stream: one connection to another node, with many calls on it."""

import asyncio
import datetime
import itertools
import socket
import struct

import attrs

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import verdict
from balsamramp_node.outbound import call_transport
from balsamramp_wire import frames
from balsamramp_wire import messages

__all__ = ["DEFAULT_KEEPALIVE", "PeerStream", "KeepaliveConfig"]

# Linger for no time: closing resets the connection.
RESET = struct.pack("ii", 1, 0)
REPLY_GRACE = datetime.timedelta(milliseconds=10)

_Waiting = asyncio.Future[call_transport.Reply | None]


@attrs.frozen(kw_only=True)
class KeepaliveConfig:
    """When a connection counts as silent.

    While calls wait and no byte has come for ``ping_after``, a ping is
    sent. A connection that stays without a byte for ``suspect_after``
    from then on takes no further calls, and after ``close_after`` it
    is closed. This is looked at once in ``check_interval``. A new
    connection must stand within ``connect_timeout``.
    """

    check_interval: datetime.timedelta = datetime.timedelta(milliseconds=25)
    ping_after: datetime.timedelta = datetime.timedelta(milliseconds=50)
    suspect_after: datetime.timedelta = datetime.timedelta(milliseconds=100)
    close_after: datetime.timedelta = datetime.timedelta(milliseconds=200)
    connect_timeout: datetime.timedelta = datetime.timedelta(milliseconds=500)


DEFAULT_KEEPALIVE = KeepaliveConfig()


class PeerStream:
    """Sends calls to one node and watches that the connection lives."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        time: clock.Clock,
        counters: metrics.Metrics,
        keepalive: KeepaliveConfig | None = None,
    ) -> None:
        self._keepalive = keepalive or DEFAULT_KEEPALIVE
        self._reader = frames.FrameReader(reader, self._hear)
        self._writer = writer
        self._clock = time
        self._metrics = counters
        self._waiting: dict[str, _Waiting] = {}
        self._asked: dict[int, asyncio.Future[messages.ControlAnswer]] = {}
        self._numbers = itertools.count(1)
        self._closed = False
        self._heard_at = time.monotonic()
        self._pings = 0
        self._pinged_at: datetime.timedelta | None = None
        self._watching: asyncio.Task[None] | None = None
        self._reading = asyncio.create_task(self._read())

    @property
    def closed(self) -> bool:
        """Tell whether the connection is closed."""
        return self._closed

    @property
    def suspect(self) -> bool:
        """Tell whether the connection may have gone silent."""
        if self._pinged_at is None:
            return False
        return (
            self._clock.monotonic() - self._pinged_at
            >= self._keepalive.suspect_after
        )

    @property
    def usable(self) -> bool:
        """Tell whether the connection takes further calls."""
        return not self._closed and not self.suspect

    async def call(
        self, request: messages.CallRequest
    ) -> call_transport.Reply | None:
        """Send ``request`` and wait for its answer.

        Returns None when the connection was lost before the answer.
        """
        frame = frames.encode(request)
        loop = asyncio.get_running_loop()
        future: _Waiting = loop.create_future()
        self._waiting[request.call_id] = future
        self._writer.write(frame)
        self._watch()
        wait = request.timeout + REPLY_GRACE
        timer = loop.call_later(
            wait.total_seconds(), self._expire, request, future
        )
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel(request)
            raise
        finally:
            timer.cancel()
            self._waiting.pop(request.call_id, None)

    async def send_control(
        self, method: str, body: bytes, timeout: datetime.timedelta
    ) -> messages.ControlAnswer | None:
        """Send a control request and wait for its answer.

        Returns None when the connection was lost before the answer, and
        raises TimeoutError when there was none within ``timeout``.
        """
        number = next(self._numbers)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[messages.ControlAnswer] = loop.create_future()
        self._asked[number] = future
        call = messages.ControlCall(number, method, body)
        self._writer.write(frames.encode(call))
        self._watch()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await future
        except asyncio.CancelledError:
            if self._closed and future.cancelled():
                return None
            raise
        finally:
            self._asked.pop(number, None)

    async def close(self) -> None:
        """Close the connection; calls on it end without an answer."""
        self._reading.cancel()
        await asyncio.gather(self._reading, return_exceptions=True)

    def _expire(self, request: messages.CallRequest, future: _Waiting) -> None:
        if future.done():
            return
        self._cancel(request)
        future.set_result(_late(request))

    def _cancel(self, request: messages.CallRequest) -> None:
        if self._closed:
            return
        cancel = messages.CallCancel(request.call_id, request.target)
        self._writer.write(frames.encode(cancel))

    async def _read(self) -> None:
        try:
            while True:
                message = await self._reader.read()
                self._take(message)
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            frames.FrameError,
        ):
            return
        finally:
            self._end()

    def _take(self, message: object) -> None:
        if isinstance(message, messages.CallAnswer | messages.CallFailure):
            future = self._waiting.get(message.call_id)
            if future is not None and not future.done():
                future.set_result(message)
            return
        if isinstance(message, messages.ControlAnswer):
            asked = self._asked.get(message.number)
            if asked is not None and not asked.done():
                asked.set_result(message)

    def _hear(self) -> None:
        self._heard_at = self._clock.monotonic()
        self._pinged_at = None

    def _end(self) -> None:
        self._closed = True
        _reset(self._writer)
        for future in self._waiting.values():
            if not future.done():
                future.set_result(None)
        for asked in self._asked.values():
            asked.cancel()

    def _watch(self) -> None:
        if self._watching is None or self._watching.done():
            self._heard_at = max(self._heard_at, self._clock.monotonic())
            self._watching = asyncio.create_task(self._check())

    async def _check(self) -> None:
        while (self._waiting or self._asked) and not self._closed:
            await self._clock.sleep(self._keepalive.check_interval)
            now = self._clock.monotonic()
            if self._pinged_at is None:
                if now - self._heard_at >= self._keepalive.ping_after:
                    self._ping(now)
                continue
            if now - self._pinged_at >= self._keepalive.close_after:
                self._metrics.count("silent_connections_total")
                self._reading.cancel()
                return

    def _ping(self, now: datetime.timedelta) -> None:
        self._pings += 1
        self._pinged_at = now
        self._writer.write(frames.encode(messages.Ping(self._pings)))


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that what it still holds is not delivered.

    The peer would take up calls that are asked for again elsewhere or
    that nobody waits for any more.
    """
    found = writer.transport.get_extra_info("socket")
    if found is not None and not writer.transport.is_closing():
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


def _late(request: messages.CallRequest) -> messages.CallFailure:
    return messages.CallFailure(
        call_id=request.call_id,
        failure=verdict.Failure(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.DEADLINE,
            "no answer within the deadline",
        ),
        load=messages.Load(0, 0),
    )
