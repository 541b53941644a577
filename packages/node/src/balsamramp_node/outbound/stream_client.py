"""Sends calls to the nodes of other targets over streams."""

import asyncio
from collections import abc
import datetime
import functools
import ssl
import typing

import attrs

from balsamramp_core import clock
from balsamramp_core import local_errors
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import peer_stream
from balsamramp_node.process import caller_presence
from balsamramp_wire import frames
from balsamramp_wire import messages

__all__ = ["StreamClient", "connect_tcp"]

# Messages of a call after which it may be given up. Further ones are sent only
# when all connections with earlier ones are closed.
SENDS_MAX = 3
RESENDING_CALLS_MAX = 64
# A new connection is given up after this multiple of its callers' time-out; if
# it is slow, it may serve later calls.
CONNECT_TIMEOUT_FACTOR = 8
# Bounds of the exponential backoff between messages of a call.
RESEND_PAUSE_MIN = datetime.timedelta(milliseconds=50)
RESEND_PAUSE_MAX = datetime.timedelta(seconds=1)

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Connect = abc.Callable[[settings.Address], abc.Awaitable[Connection]]
_ReplyFuture = asyncio.Future[call_transport.Reply]


@attrs.define
class _UnansweredCall:
    """A call whose connection was lost or became unresponsive.

    ``streams`` are the connections on which it was sent, ``connect_timeout``
    is that of the next one.
    """

    peer: settings.Address
    request: messages.CallRequest
    deadline: datetime.timedelta
    may_leave: call_transport.MayLeave
    streams: list[peer_stream.PeerStream]
    connect_timeout: datetime.timedelta

    @property
    def is_disconnected(self) -> bool:
        """Return whether no late reply can come any more."""
        return all(stream.closed for stream in self.streams)

    @property
    def may_resend(self) -> bool:
        """Return whether another message may be sent."""
        return len(self.streams) < SENDS_MAX or self.is_disconnected


async def connect_tcp(
    peer: settings.Address, security: ssl.SSLContext | None = None
) -> Connection:
    """Open a TCP connection to ``peer``, with TLS if a context is given."""
    return await asyncio.open_connection(peer.host, peer.port, ssl=security)


class StreamClient(service_manager.Service, call_transport.CallTransport):
    """Connections to other nodes, one per peer, opened on demand.

    A call whose connection is lost or unresponsive is sent again with the
    same identifier on a new connection, by at most ``RESENDING_CALLS_MAX``
    calls at once. The receiving node recognises the identifier and attaches
    the message to the run that it may have started. The call ends with the
    first reply, on whichever connection. Without a reply it is given up when
    its node refuses connections and none with an earlier message is open,
    or, after ``SENDS_MAX`` messages or a time-out of a new connection, if its
    caller may leave.
    """

    name = "stream-client"

    def __init__(
        self,
        hello: messages.Hello,
        time: clock.Clock,
        counters: metrics.Metrics,
        connect: Connect = connect_tcp,
        keepalive: peer_stream.KeepaliveConfig | None = None,
    ) -> None:
        self._keepalive = keepalive or peer_stream.DEFAULT_KEEPALIVE
        self._connect = connect
        self._hello = hello
        self._clock = time
        self._metrics = counters
        self._streams: dict[settings.Address, peer_stream.PeerStream] = {}
        self._connecting: dict[
            settings.Address, asyncio.Task[peer_stream.PeerStream]
        ] = {}
        self._resend_slots = asyncio.Semaphore(RESENDING_CALLS_MAX)
        self._late_replies: dict[str, _ReplyFuture] = {}

    @property
    def unsent_bytes(self) -> int:
        """Return how much written data the sockets have not taken yet."""
        streams = self._streams.values()
        return sum(item.unsent_bytes for item in streams if not item.closed)

    async def stop(self) -> None:
        for task in self._connecting.values():
            task.cancel()
        for stream in list(self._streams.values()):
            await stream.close()

    async def call(
        self,
        peer: settings.Address,
        request: messages.CallRequest,
        may_leave: call_transport.MayLeave = call_transport.always_leave,
    ) -> call_transport.Reply:
        """Send ``request`` to the node at ``peer`` and return the reply."""
        deadline = self._clock.monotonic() + request.timeout
        stream = self._find_stream(peer)
        if stream is None:
            try:
                stream = await self._connect_stream(
                    peer, min(request.timeout, self._keepalive.connect_timeout)
                )
            except (OSError, TimeoutError) as error:
                self._metrics.count("stream_connect_failures_total")
                return _connect_failure(peer, request, error)
            await caller_presence.confirm()
        try:
            reply = await self._send(stream, request, deadline)
        except frames.FrameError as error:
            return _too_large_failure(request, error)
        if reply is not None:
            return reply
        connect_timeout = self._keepalive.connect_timeout
        return await self._await_reply(
            _UnansweredCall(
                peer, request, deadline, may_leave, [stream], connect_timeout
            )
        )

    async def send_control(
        self,
        peer: settings.Address,
        method: str,
        body: bytes,
        timeout: datetime.timedelta,
    ) -> messages.ControlAnswer | None:
        """Send a control request and return the reply.

        Returns None if the connection is lost. Raises OSError or
        TimeoutError if the peer is unreachable or does not reply in time.
        """
        stream = await self._get_stream(
            peer, min(timeout, self._keepalive.connect_timeout)
        )
        return await stream.send_control(method, body, timeout)

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            str(peer): {"closed": stream.closed, "silent": stream.suspect}
            for peer, stream in self._streams.items()
        }

    async def _await_reply(
        self, call: _UnansweredCall
    ) -> call_transport.Reply:
        """Return the reply to a resent message, or a late one."""
        call_id = call.request.call_id
        late: _ReplyFuture = asyncio.get_running_loop().create_future()
        self._late_replies[call_id] = late
        resend_task = asyncio.create_task(self._resend(call))
        time_left = call.deadline - self._clock.monotonic()
        try:
            await asyncio.wait(
                {late, resend_task},
                timeout=time_left.total_seconds(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if late.done():
                return late.result()
            if resend_task.done():
                return resend_task.result()
        finally:
            del self._late_replies[call_id]
            resend_task.cancel()
            for stream in call.streams:
                stream.abandon_late_call(call.request)
        return _connection_lost_failure(
            call.request,
            "connections lost; no response within the deadline",
            verdict.Reason.DEADLINE,
        )

    def _on_late_reply(self, reply: call_transport.Reply) -> None:
        future = self._late_replies.get(reply.call_id)
        if future is not None and not future.done():
            future.set_result(reply)

    async def _resend(self, call: _UnansweredCall) -> call_transport.Reply:
        """Send the call again until its outcome is known."""
        pause = RESEND_PAUSE_MIN
        while True:
            if call.may_resend:
                async with self._resend_slots:
                    self._metrics.count("repeated_messages_total")
                    reply = await self._resend_once(call)
                if reply is not None:
                    return reply
            elif call.may_leave():
                return _connection_lost_failure(
                    call.request, "connections lost before the response"
                )
            await self._clock.sleep(pause)
            pause = min(2 * pause, RESEND_PAUSE_MAX)

    async def _resend_once(
        self, call: _UnansweredCall
    ) -> call_transport.Reply | None:
        """Send the call again; return None if its outcome stays unknown."""
        time_left = call.deadline - self._clock.monotonic()
        try:
            stream = await self._get_stream(
                call.peer, min(time_left, call.connect_timeout)
            )
        except (OSError, TimeoutError) as error:
            self._metrics.count("stream_connect_failures_total")
            refused = isinstance(error, ConnectionRefusedError)
            if (refused and call.is_disconnected) or call.may_leave():
                return _connection_lost_failure(
                    call.request, f"cannot connect to {call.peer}: {error!r}"
                )
            for stream in call.streams:
                stream.probe()
            call.connect_timeout *= 2
            return None
        await caller_presence.confirm()
        call.streams.append(stream)
        resent = attrs.evolve(call.request, repeat=True)
        return await self._send(stream, resent, call.deadline)

    async def _send(
        self,
        stream: peer_stream.PeerStream,
        request: messages.CallRequest,
        deadline: datetime.timedelta,
    ) -> call_transport.Reply | None:
        now = self._clock.monotonic()
        message = attrs.evolve(request, timeout=deadline - now, sent_at=now)
        return await stream.call(message)

    async def _get_stream(
        self, peer: settings.Address, timeout: datetime.timedelta
    ) -> peer_stream.PeerStream:
        stream = self._find_stream(peer)
        if stream is not None:
            return stream
        return await self._connect_stream(peer, timeout)

    def _find_stream(
        self, peer: settings.Address
    ) -> peer_stream.PeerStream | None:
        """Return the connection to ``peer`` if it accepts calls."""
        stream = self._streams.get(peer)
        if stream is None or not stream.usable:
            return None
        return stream

    async def _connect_stream(
        self, peer: settings.Address, timeout: datetime.timedelta
    ) -> peer_stream.PeerStream:
        task = self._connecting.get(peer)
        if task is None:
            task = asyncio.create_task(self._open_stream(peer))
            self._connecting[peer] = task
            task.add_done_callback(
                functools.partial(self._on_connect_done, peer)
            )
        async with asyncio.timeout(timeout.total_seconds()):
            return await asyncio.shield(task)

    def _on_connect_done(
        self,
        peer: settings.Address,
        task: asyncio.Task[peer_stream.PeerStream],
    ) -> None:
        del self._connecting[peer]
        if not task.cancelled():
            # Marks the exception as retrieved if all callers have left.
            task.exception()

    async def _open_stream(
        self, peer: settings.Address
    ) -> peer_stream.PeerStream:
        timeout = CONNECT_TIMEOUT_FACTOR * self._keepalive.connect_timeout
        async with asyncio.timeout(timeout.total_seconds()):
            reader, writer = await self._connect(peer)
        if writer.is_closing():
            raise ConnectionResetError(f"{peer} closed a new connection")
        sent_at = self._clock.monotonic()
        hello = attrs.evolve(self._hello, sent_at=sent_at)
        writer.write(frames.encode(hello))
        self._metrics.count("stream_connects_total")
        stream = peer_stream.PeerStream(
            reader,
            writer,
            self._clock,
            self._metrics,
            self._keepalive,
            self._on_late_reply,
        )
        replaced = self._streams.get(peer)
        if replaced is not None:
            replaced.finish()
        self._streams[peer] = stream
        return stream


def _connect_failure(
    peer: settings.Address, request: messages.CallRequest, error: Exception
) -> messages.CallFailure:
    reason = verdict.Reason.CONNECTION_LOST
    if local_errors.is_local(error):
        reason = verdict.Reason.OVERLOADED
    return messages.CallFailure(
        call_id=request.call_id,
        failure=verdict.Failure(
            verdict.Verdict.NOT_RUN,
            reason,
            f"cannot connect to {peer}: {error!r}",
        ),
        load=messages.Load(0, 0),
    )


def _too_large_failure(
    request: messages.CallRequest, error: frames.FrameError
) -> messages.CallFailure:
    return messages.CallFailure(
        call_id=request.call_id,
        failure=verdict.Failure(
            verdict.Verdict.NOT_RUN,
            verdict.Reason.OVERLOADED,
            f"the request cannot be sent to another node: {error}",
        ),
        load=messages.Load(0, 0),
    )


def _connection_lost_failure(
    request: messages.CallRequest,
    message: str,
    reason: verdict.Reason = verdict.Reason.CONNECTION_LOST,
) -> messages.CallFailure:
    return messages.CallFailure(
        call_id=request.call_id,
        failure=verdict.Failure(verdict.Verdict.MAY_HAVE_RUN, reason, message),
        load=messages.Load(0, 0),
    )
