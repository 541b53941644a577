"""Accepts streams from other nodes and serves their calls."""

import asyncio
from collections import abc
import contextlib
import datetime
import functools
import socket
import ssl
import typing

import attrs

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_node.inbound import body_room
from balsamramp_node.inbound import control_server
from balsamramp_node.inbound import held_calls
from balsamramp_node.inbound import inbound_handler
from balsamramp_node.inbound import message_age_estimator
from balsamramp_node.inbound import reply_scheduler
from balsamramp_node.inbound import sender_confirmation
from balsamramp_node.outbound import call_transport
from balsamramp_node.process import caller_presence
from balsamramp_node.process import decision_log
from balsamramp_node.process import lingering_close
from balsamramp_node.process import shutdown_schedule
from balsamramp_node.process import socket_queue
from balsamramp_wire import frames
from balsamramp_wire import messages

__all__ = ["StreamServer"]

HELLO_TIMEOUT = datetime.timedelta(seconds=5)
# Large control replies, such as snapshots, are due after the first, and are
# not awaited after the second.
CONTROL_OBJECTIVE = datetime.timedelta(seconds=1)
CONTROL_TIMEOUT = datetime.timedelta(seconds=2)
# When a connection is closed: time for a peer that has received all replies
# to close its side, and for one that receives nothing.
LINGER_TIMEOUT = datetime.timedelta(milliseconds=500)
STALL_TIMEOUT = datetime.timedelta(seconds=1)
LATE_CALL_AGE = message_age_estimator.LATE_CALL_AGE
# Turns of the event loop in which a connection with unread data is read
# before a call of it goes on.
READS_MAX = 16
MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.define(eq=False)
class _Connection(caller_presence.CallerPresence):
    """A connection from another node, which sends calls of its callers.

    Once ``finished``, it is closed for writing and further messages are
    ignored; ``ended`` is set when it is closed.
    """

    reader: frames.FrameReader
    writer: asyncio.StreamWriter
    confirmation: sender_confirmation.SenderConfirmation
    finished: bool = False
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)
    hello: messages.Hello | None = None
    calls: dict[asyncio.Task[typing.Any], messages.CallRequest | None] = (
        attrs.field(factory=dict)
    )
    _probe: socket_queue.SocketProbe = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._probe = socket_queue.SocketProbe(self.writer.transport)

    def may_have_left(self) -> bool:
        return self.ended.is_set() or self._probe.has_unread_data()

    async def has_left(self) -> bool:
        for _ in range(READS_MAX):
            if not self.may_have_left() or self.ended.is_set():
                break
            await caller_presence.read_sockets()
        return self.ended.is_set()


class StreamServer(service_manager.Service):
    """Listens for other nodes and runs one task for each connection.

    The server listens on the socket that ``take_listener`` returns, or at the
    address ``listen``.
    """

    name = "stream-server"
    requires = ("door",)

    def __init__(
        self,
        hello: messages.Hello,
        listen: settings.Address,
        calls: inbound_handler.InboundHandler,
        time: clock.Clock,
        counters: metrics.Metrics,
        security: ssl.SSLContext | None = None,
        control: control_server.ControlServer | None = None,
        shutdown: shutdown_schedule.ShutdownSchedule | None = None,
        replies: reply_scheduler.ReplyScheduler | None = None,
        take_listener: abc.Callable[[], socket.socket] | None = None,
        decisions: decision_log.DecisionLog | None = None,
        room: body_room.BodyRoom | None = None,
    ) -> None:
        self._room = room
        self._take_listener = take_listener
        self._replies = replies or reply_scheduler.ReplyScheduler(
            0.0,
            time,
            counters,
            decision_log.DecisionLog(decision_log.NullSink(), time),
        )
        self._shutdown = shutdown or shutdown_schedule.ShutdownSchedule(time)
        self._hello = hello
        self._control = control
        self._security = security
        self._listen = listen
        self._inbound_handler = calls
        self._clock = time
        self._metrics = counters
        self._address = listen
        self._decisions = decisions or decision_log.DecisionLog(
            decision_log.NullSink(), time
        )
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._age_estimator = message_age_estimator.MessageAgeEstimator()
        self._held = held_calls.HeldCalls()

    @property
    def address(self) -> settings.Address:
        """Return the listening address, with the port that was bound."""
        return self._address

    @property
    def unsent_bytes(self) -> int:
        """Return how much written data the sockets have not taken yet."""
        return sum(
            item.writer.transport.get_write_buffer_size()
            for item in self._connections
        )

    async def start(self) -> None:
        if self._take_listener is not None:
            self._server = await asyncio.start_server(
                self.serve, sock=self._take_listener(), ssl=self._security
            )
        else:
            self._server = await asyncio.start_server(
                self.serve,
                self._listen.host,
                self._listen.port,
                ssl=self._security,
            )
        port = self._server.sockets[0].getsockname()[1]
        self._address = settings.Address(self._listen.host, port)

    async def stop(self) -> None:
        """Send the replies of the running calls, then close."""
        self._shutdown.begin()
        if self._server is not None:
            self._server.close()
        await self._inbound_handler.wait_until_idle()
        await asyncio.gather(
            *(self._drain_and_close(item) for item in self._connections)
        )

    async def _drain_and_close(self, connection: _Connection) -> None:
        if connection.writer.is_closing():
            return
        time_left = self._shutdown.seconds_until(self._shutdown.close_end)
        try:
            async with asyncio.timeout(time_left):
                while connection.calls:
                    await asyncio.wait(list(connection.calls))
                await self._replies.flush(connection.writer)
                if connection.writer.is_closing():
                    return
                if connection.writer.can_write_eof():
                    await self._finish(connection)
                connection.writer.close()
                await connection.writer.wait_closed()
        except (ConnectionError, TimeoutError):
            connection.writer.transport.abort()

    async def _finish(self, connection: _Connection) -> None:
        """Close for writing; return when the peer has closed its side.

        What the peer sends until it has read the last reply, such as a ping,
        would reset a closed connection, and the reply would be lost.
        """
        connection.finished = True
        connection.writer.write_eof()
        transport = connection.writer.transport
        linger = lingering_close.LingeringClose(
            self._clock.monotonic(), LINGER_TIMEOUT, STALL_TIMEOUT
        )
        while not linger.is_over(self._clock.monotonic()):
            interval = lingering_close.CHECK_INTERVAL.total_seconds()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval):
                    await connection.ended.wait()
                    return
            undelivered = transport.get_write_buffer_size()
            undelivered += socket_queue.unacknowledged_bytes(transport)
            linger.record_undelivered(undelivered, self._clock.monotonic())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the messages of one connection until it ends."""
        confirmation = sender_confirmation.SenderConfirmation(
            functools.partial(self._send_ping, writer), self._clock
        )
        connection = _Connection(
            frames.FrameReader(reader), writer, confirmation
        )
        self._connections.add(connection)
        self._metrics.count("stream_connections_total")
        if not writer.is_closing():
            writer.write(frames.encode(self._hello))
        try:
            await self._receive_hello(connection)
            while True:
                self._handle_message(
                    connection, await connection.reader.read()
                )
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            return
        except frames.FrameError:
            self._metrics.count("malformed_frames_total")
        finally:
            self._connections.discard(connection)
            self._replies.forget(writer)
            writer.close()
            connection.ended.set()
            confirmation.end()
            for request in connection.calls.values():
                if request is not None:
                    self._inbound_handler.on_caller_disconnected(request)

    def _send_ping(self, writer: asyncio.StreamWriter, number: int) -> None:
        # The wait for the reply ends with the connection.
        if not writer.is_closing():
            self._replies.write(writer, messages.Ping(number))

    async def _receive_hello(self, connection: _Connection) -> None:
        async with asyncio.timeout(HELLO_TIMEOUT.total_seconds()):
            hello = await connection.reader.read()
        if not isinstance(hello, messages.Hello):
            raise frames.FrameError(
                f"first message of a stream must be Hello, not {hello!r}"
            )
        connection.hello = hello
        self._age_estimator.age(hello, hello.sent_at, self._clock.monotonic())

    def _handle_message(
        self, connection: _Connection, message: object
    ) -> None:
        if connection.finished:
            return
        if isinstance(message, messages.CallRequest):
            self._start_call(message, connection)
            return
        if isinstance(message, messages.CallCancel):
            self._inbound_handler.cancel(message.call_id, message.target)
            self._replies.discard(message.call_id)
            return
        if isinstance(message, messages.ControlCall):
            self._serve_control(message, connection)
            return
        if isinstance(message, messages.Ping):
            now = self._clock.monotonic()
            self._replies.write(
                connection.writer, messages.Pong(message.number, now)
            )
            return
        if isinstance(message, messages.Pong):
            self._handle_pong(message, connection)

    def _handle_pong(
        self, pong: messages.Pong, connection: _Connection
    ) -> None:
        assert connection.hello is not None
        if connection.confirmation.handle_pong(pong.number):
            self._age_estimator.confirm(
                connection.hello, pong.sent_at, self._clock.monotonic()
            )

    def _serve_control(
        self, call: messages.ControlCall, connection: _Connection
    ) -> None:
        if self._control is None:
            return
        task = asyncio.create_task(
            self._reply_to_control(self._control, call, connection)
        )
        connection.calls[task] = None
        task.add_done_callback(connection.calls.pop)

    async def _reply_to_control(
        self,
        control: control_server.ControlServer,
        call: messages.ControlCall,
        connection: _Connection,
    ) -> None:
        control_reply = await control.serve(call)
        now = self._clock.monotonic()
        self._send(
            connection,
            control_reply,
            now + CONTROL_OBJECTIVE,
            now + CONTROL_TIMEOUT,
        )

    def _start_call(
        self, request: messages.CallRequest, connection: _Connection
    ) -> None:
        """Start a call, a late one once its sender has confirmed it."""
        hello = connection.hello
        assert hello is not None
        now = self._clock.monotonic()
        age = self._age_estimator.age(hello, request.sent_at, now)
        known = self._age_estimator.is_confirmed(hello)
        # A large call that was received slowly did not lie anywhere.
        late = (
            age >= LATE_CALL_AGE
            and age - connection.reader.transfer >= LATE_CALL_AGE
        )
        if known and not late:
            self._run_call(request, connection, now - age, age)
            return
        if hello.protocol < messages.PROTOCOL_WITH_CONFIRMATION:
            self._run_call(request, connection, now - age, age)
            return
        if late:
            self._metrics.count("late_starts_total", source="node")
            self._decisions.write(
                "late_call",
                call_id=request.call_id,
                target=request.target,
                sender=hello.node,
                age_ms=round(age / MILLISECOND, 1),
            )
        if not self._held.add(request):
            self._metrics.count("held_calls_refused_total")
            refusal = self._held.refusal(request)
            self._reply(connection, request, now - age, refusal)
            return
        task = asyncio.create_task(
            self._run_when_confirmed(request, connection, now)
        )
        connection.calls[task] = None
        task.add_done_callback(
            functools.partial(self._on_hold_done, connection, request)
        )

    def _on_hold_done(
        self,
        connection: _Connection,
        request: messages.CallRequest,
        task: asyncio.Task[None],
    ) -> None:
        connection.calls.pop(task)
        self._held.remove(request)

    async def _run_when_confirmed(
        self,
        request: messages.CallRequest,
        connection: _Connection,
        arrived_at: datetime.timedelta,
    ) -> None:
        """Run a call if its sender still waits for it.

        Without an answer the call is refused at its deadline. If the
        connection ends, its sender repeats the call or has left.
        """
        assert connection.hello is not None
        try:
            async with asyncio.timeout(request.timeout.total_seconds()):
                confirmed = await connection.confirmation.confirm()
        except TimeoutError:
            sent_at = self._clock.monotonic() - request.timeout
            self._run_call(request, connection, sent_at, request.timeout)
            return
        if not confirmed:
            self._metrics.count("unconfirmed_calls_total")
            self._decisions.write(
                "unconfirmed_call",
                call_id=request.call_id,
                target=request.target,
                sender=connection.hello.node,
            )
            return
        if connection.finished:
            return
        age = self._age_estimator.age(
            connection.hello, request.sent_at, arrived_at
        )
        sent_at = arrived_at - age
        age = self._clock.monotonic() - sent_at
        self._run_call(request, connection, sent_at, age)

    def _run_call(
        self,
        request: messages.CallRequest,
        connection: _Connection,
        sent_at: datetime.timedelta,
        age: datetime.timedelta,
    ) -> None:
        reply_or_task = self._inbound_handler.start_call(
            request, age, connection
        )
        if not isinstance(reply_or_task, asyncio.Task):
            self._reply(connection, request, sent_at, reply_or_task)
            return
        connection.calls[reply_or_task] = request
        reply_or_task.add_done_callback(
            functools.partial(self._on_call_done, connection, request, sent_at)
        )

    def _on_call_done(
        self,
        connection: _Connection,
        request: messages.CallRequest,
        sent_at: datetime.timedelta,
        task: asyncio.Task[call_transport.Reply],
    ) -> None:
        connection.calls.pop(task)
        reply = self._inbound_handler.reply_of(request, task)
        self._reply(connection, request, sent_at, reply)

    def _reply(
        self,
        connection: _Connection,
        request: messages.CallRequest,
        sent_at: datetime.timedelta,
        reply: call_transport.Reply,
    ) -> None:
        if self._room is not None:
            self._room.release(request.call_id)
        self._send(
            connection,
            reply,
            sent_at + request.objective,
            sent_at + request.timeout,
        )

    def _send(
        self,
        connection: _Connection,
        reply: reply_scheduler.Reply,
        objective_at: datetime.timedelta,
        deadline: datetime.timedelta,
    ) -> None:
        assert connection.hello is not None
        self._replies.send(
            connection.writer,
            reply,
            objective_at,
            deadline,
            connection.hello.protocol >= messages.PROTOCOL_WITH_PARTS,
        )
