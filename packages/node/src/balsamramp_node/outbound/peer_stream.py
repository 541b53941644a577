"""One connection to another node, which multiplexes many calls."""

import asyncio
from collections import abc
import datetime
import itertools
import socket
import struct

import attrs

from balsamramp_core import clock
from balsamramp_core import http_status
from balsamramp_core import metrics
from balsamramp_core import verdict
from balsamramp_node.outbound import call_transport
from balsamramp_wire import frames
from balsamramp_wire import messages

__all__ = ["DEFAULT_KEEPALIVE", "PeerStream", "KeepaliveConfig"]

# SO_LINGER with a timeout of 0: closing the socket resets the connection.
LINGER_RESET = struct.pack("ii", 1, 0)
# With this much unsent data the socket's own buffer is full, so that data is
# sent only as the peer acknowledges what was sent before.
UNSENT_MIN_BYTES = 16 * 1024
REPLY_GRACE = datetime.timedelta(milliseconds=10)

LateReplyListener = abc.Callable[[call_transport.Reply], None]
_ReplyFuture = asyncio.Future[call_transport.Reply | None]


@attrs.frozen(kw_only=True)
class KeepaliveConfig:
    """Thresholds for the detection of unresponsive connections.

    While calls are pending and no data was received for ``ping_after``, a
    ping is sent. If no data is received for ``suspect_after`` from then on,
    the connection accepts no further calls; after ``close_after`` it is
    closed, or kept for late replies only. Connections are checked every
    ``check_interval``; the delay of a check that is late by an interval or
    more is not counted, nor is the time in which a large request is being
    sent. A new connection must be established within ``connect_timeout``.
    """

    check_interval: datetime.timedelta = datetime.timedelta(milliseconds=25)
    ping_after: datetime.timedelta = datetime.timedelta(milliseconds=50)
    suspect_after: datetime.timedelta = datetime.timedelta(milliseconds=100)
    close_after: datetime.timedelta = datetime.timedelta(milliseconds=200)
    connect_timeout: datetime.timedelta = datetime.timedelta(milliseconds=500)


DEFAULT_KEEPALIVE = KeepaliveConfig()


class PeerStream:
    """Sends calls to one node and monitors the connection.

    An unresponsive connection may be a slow one, whose target works on the
    calls. It ends the wait for their replies, but stays open until
    ``forget_late_call`` has been called for each of them. Replies that
    arrive meanwhile are passed to ``on_late_reply``.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        time: clock.Clock,
        counters: metrics.Metrics,
        keepalive: KeepaliveConfig | None = None,
        on_late_reply: LateReplyListener | None = None,
    ) -> None:
        self._keepalive = keepalive or DEFAULT_KEEPALIVE
        self._reader = frames.FrameReader(reader, self._record_data)
        self._writer = writer
        self._clock = time
        self._metrics = counters
        self._pending_calls: dict[str, _ReplyFuture] = {}
        self._late_calls: set[str] = set()
        self._on_late_reply = on_late_reply
        self._unresponsive = False
        self._pending_control: dict[
            int, asyncio.Future[messages.ControlAnswer | None]
        ] = {}
        self._control_numbers = itertools.count(1)
        self._closed = False
        self._close_when_idle = False
        self._written_bytes = 0
        self._unsent_bytes = 0
        self._sent_bytes = 0
        self._data_received_at = time.monotonic()
        self._ping_number = 0
        self._pinged_at: datetime.timedelta | None = None
        self._keepalive_task: asyncio.Task[None] | None = None
        self._read_task = asyncio.create_task(self._read_messages())

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._closed

    @property
    def suspect(self) -> bool:
        """Return whether the connection may be unresponsive."""
        if self._pinged_at is None:
            return False
        return (
            self._clock.monotonic() - self._pinged_at
            >= self._keepalive.suspect_after
        )

    @property
    def usable(self) -> bool:
        """Return whether the connection accepts further calls."""
        return not (self._is_lost or self._unresponsive or self.suspect)

    @property
    def _is_lost(self) -> bool:
        # The transport closes before its end has been read.
        return self._closed or self._writer.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Return how much written data the socket has not taken yet."""
        return self._writer.transport.get_write_buffer_size()

    async def call(
        self, request: messages.CallRequest
    ) -> call_transport.Reply | None:
        """Send ``request`` and wait for the reply.

        Returns None if the connection is lost or becomes unresponsive
        before the reply.
        """
        frame = frames.encode(request)
        if self._is_lost:
            return None
        loop = asyncio.get_running_loop()
        future: _ReplyFuture = loop.create_future()
        self._pending_calls[request.call_id] = future
        self._write_frame(type(request), frame)
        self._start_keepalive()
        wait = request.timeout + REPLY_GRACE
        timer = loop.call_later(
            wait.total_seconds(), self._expire, request, future
        )
        try:
            return await future
        except asyncio.CancelledError:
            self._late_calls.discard(request.call_id)
            self._send_cancel(request)
            raise
        finally:
            timer.cancel()
            self._pending_calls.pop(request.call_id, None)
            self._close_if_idle()

    async def send_control(
        self, method: str, body: bytes, timeout: datetime.timedelta
    ) -> messages.ControlAnswer | None:
        """Send a control request and wait for the reply.

        Returns None if the connection is lost or becomes unresponsive
        before the reply. Raises TimeoutError if there is no reply within
        ``timeout``, and FrameError if the request is too large.
        """
        number = next(self._control_numbers)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[messages.ControlAnswer | None]
        future = loop.create_future()
        frame = frames.encode(messages.ControlCall(number, method, body))
        if self._is_lost:
            return None
        self._write_frame(messages.ControlCall, frame)
        self._pending_control[number] = future
        self._start_keepalive()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await future
        finally:
            self._pending_control.pop(number, None)
            self._close_if_idle()

    def finish(self) -> None:
        """Close the connection once no reply is awaited."""
        self._close_when_idle = True
        self._close_if_idle()

    def probe(self) -> None:
        """Send a ping, so that a connection whose peer is gone is reset."""
        self._ping_number += 1
        self._write(messages.Ping(self._ping_number))

    def abandon_late_call(self, request: messages.CallRequest) -> None:
        """Cancel a call that waits for a late reply, if there is one.

        If it was the last one, the connection is reset instead.
        """
        if request.call_id not in self._late_calls:
            return
        self._late_calls.discard(request.call_id)
        if self._late_calls:
            self._send_cancel(request)
        self._close_if_idle()

    async def close(self) -> None:
        """Close the connection; pending calls end without a reply."""
        self._read_task.cancel()
        await asyncio.gather(self._read_task, return_exceptions=True)

    def _close_if_idle(self) -> None:
        if self._pending_calls or self._pending_control or self._late_calls:
            return
        if self._close_when_idle:
            self._read_task.cancel()

    def _expire(
        self, request: messages.CallRequest, future: _ReplyFuture
    ) -> None:
        if future.done():
            return
        self._send_cancel(request)
        future.set_result(_deadline_failure(request))

    def _write(self, message: object) -> None:
        """Write a message unless the connection is lost."""
        if not self._is_lost:
            self._write_frame(type(message), frames.encode(message))

    def _write_frame(self, message_type: type, frame: bytes) -> None:
        self._metrics.count(
            "stream_sent_bytes_total",
            len(frame),
            message=message_type.__name__,
        )
        self._written_bytes += len(frame)
        self._writer.write(frame)

    def _send_cancel(self, request: messages.CallRequest) -> None:
        self._write(messages.CallCancel(request.call_id, request.target))

    async def _read_messages(self) -> None:
        try:
            while True:
                message = await self._reader.read()
                self._handle_message(message)
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            frames.FrameError,
        ):
            return
        finally:
            self._end_pending()

    def _handle_message(self, message: object) -> None:
        if isinstance(
            message, messages.CallAnswer
        ) and not http_status.is_final(message.status):
            message = _invalid_status_failure(message)
        if isinstance(message, messages.CallAnswer | messages.CallFailure):
            future = self._pending_calls.get(message.call_id)
            if future is not None and not future.done():
                future.set_result(message)
            elif message.call_id in self._late_calls:
                self._handle_late_reply(message)
            return
        if isinstance(message, messages.ControlAnswer):
            pending = self._pending_control.get(message.number)
            if pending is not None and not pending.done():
                pending.set_result(message)
            return
        if isinstance(message, messages.Ping):
            now = self._clock.monotonic()
            self._write(messages.Pong(message.number, now))

    def _handle_late_reply(self, reply: call_transport.Reply) -> None:
        self._late_calls.discard(reply.call_id)
        self._metrics.count("late_replies_total")
        if self._on_late_reply is not None:
            self._on_late_reply(reply)
        self._close_if_idle()

    def _record_data(self) -> None:
        self._data_received_at = self._clock.monotonic()
        self._pinged_at = None

    def _end_pending(self) -> None:
        self._closed = True
        _reset_connection(self._writer)
        self._end_waits()

    def _end_waits(self) -> None:
        """End all pending calls and control requests without a reply."""
        for future in self._pending_calls.values():
            if not future.done():
                future.set_result(None)
        for pending in self._pending_control.values():
            if not pending.done():
                pending.set_result(None)

    def _start_keepalive(self) -> None:
        if self._keepalive_task is None or self._keepalive_task.done():
            self._data_received_at = max(
                self._data_received_at, self._clock.monotonic()
            )
            self._keepalive_task = asyncio.create_task(self._run_keepalive())

    async def _run_keepalive(self) -> None:
        while (
            self._pending_calls or self._pending_control
        ) and not self._closed:
            interval = self._keepalive.check_interval
            check_at = self._clock.monotonic() + interval
            await self._clock.sleep(interval)
            now = self._clock.monotonic()
            if now - check_at >= interval:
                self._discount_delay(now - check_at, now)
            if self._is_sending():
                self._data_received_at = now
                if self._pinged_at is not None:
                    self._pinged_at = now
            if self._pinged_at is None:
                if now - self._data_received_at >= self._keepalive.ping_after:
                    self._ping(now)
                continue
            if now - self._pinged_at >= self._keepalive.close_after:
                self._metrics.count("silent_connections_total")
                self._give_up_waiting()
                return

    def _give_up_waiting(self) -> None:
        """End the wait for all replies; keep reading for late ones."""
        self._unresponsive = True
        if self._on_late_reply is not None:
            for call_id, future in self._pending_calls.items():
                if not future.done():
                    self._late_calls.add(call_id)
        self._end_waits()
        self.finish()

    def _is_sending(self) -> bool:
        """Return whether the peer took data of a large buffer.

        A ping waits behind that data and can't be answered before.
        """
        unsent_before, sent_before = self._unsent_bytes, self._sent_bytes
        self._unsent_bytes = self._writer.transport.get_write_buffer_size()
        self._sent_bytes = self._written_bytes - self._unsent_bytes
        return (
            unsent_before >= UNSENT_MIN_BYTES
            and self._sent_bytes > sent_before
        )

    def _discount_delay(
        self, delay: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Do not count the ``delay`` of a check as silence of the peer.

        While the event loop is blocked, no data is read, and a ping that
        was written just before may not have been sent.
        """
        self._data_received_at = min(self._data_received_at + delay, now)
        if self._pinged_at is not None:
            self._pinged_at = min(self._pinged_at + delay, now)

    def _ping(self, now: datetime.timedelta) -> None:
        self._ping_number += 1
        self._pinged_at = now
        self._write(messages.Ping(self._ping_number))


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection so that unsent data is not delivered.

    The peer would otherwise start calls that were sent again elsewhere or
    that no caller waits for any more.
    """
    sock = writer.transport.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


def _invalid_status_failure(
    answer: messages.CallAnswer,
) -> messages.CallFailure:
    return messages.CallFailure(
        call_id=answer.call_id,
        failure=verdict.Failure(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.TRUNCATED,
            f"status that is not HTTP: {answer.status:03}",
        ),
        load=answer.load,
    )


def _deadline_failure(request: messages.CallRequest) -> messages.CallFailure:
    return messages.CallFailure(
        call_id=request.call_id,
        failure=verdict.Failure(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.DEADLINE,
            "no response within the deadline",
        ),
        load=messages.Load(0, 0),
    )
