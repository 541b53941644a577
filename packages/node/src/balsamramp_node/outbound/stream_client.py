"""Stream client: hands calls to the nodes of other targets."""

import asyncio
from collections import abc
import datetime
import ssl
import typing

import attrs

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import peer_stream
from balsamramp_wire import frames
from balsamramp_wire import messages

__all__ = ["StreamClient", "connect_tcp"]

MESSAGES_MAX = 3
REPEATS_MAX = 64

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Connect = abc.Callable[[settings.Address], abc.Awaitable[Connection]]


async def connect_tcp(
    peer: settings.Address, security: ssl.SSLContext | None = None
) -> Connection:
    """Open a TCP connection to ``peer``, with TLS if a context is given."""
    return await asyncio.open_connection(peer.host, peer.port, ssl=security)


class StreamClient(service_manager.Service, call_transport.CallTransport):
    """Connections to other nodes, one a peer, opened when needed.

    A call whose connection was lost, or is silent, is sent again under
    the same identifier on a fresh connection, ``MESSAGES_MAX`` times in
    all and for at most ``REPEATS_MAX`` calls at once; the door
    recognises it and attaches it to the run that it may have started.
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
        self._opening: dict[settings.Address, asyncio.Lock] = {}
        self._repeating = 0

    async def stop(self) -> None:
        for stream in list(self._streams.values()):
            await stream.close()

    async def call(
        self, peer: settings.Address, request: messages.CallRequest
    ) -> call_transport.Reply:
        """Hand ``request`` to the node at ``peer``."""
        deadline = self._clock.monotonic() + request.timeout
        reply = await self._send(peer, request)
        if reply is not None:
            return reply
        if self._repeating >= REPEATS_MAX:
            return _lost(request, "connection lost before the answer")
        self._repeating += 1
        try:
            return await self._repeat(peer, request, deadline)
        finally:
            self._repeating -= 1

    async def send_control(
        self,
        peer: settings.Address,
        method: str,
        body: bytes,
        timeout: datetime.timedelta,
    ) -> messages.ControlAnswer | None:
        """Send a control request; None when the connection was lost.

        Raises OSError or TimeoutError when the peer is not reached or
        does not answer in time.
        """
        stream = await self._stream(peer, timeout)
        return await stream.send_control(method, body, timeout)

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            str(peer): {"closed": stream.closed, "silent": stream.suspect}
            for peer, stream in self._streams.items()
        }

    async def _repeat(
        self,
        peer: settings.Address,
        request: messages.CallRequest,
        deadline: datetime.timedelta,
    ) -> call_transport.Reply:
        for _ in range(MESSAGES_MAX - 1):
            left = deadline - self._clock.monotonic()
            if left <= datetime.timedelta():
                break
            self._metrics.count("repeated_messages_total")
            again = attrs.evolve(request, timeout=left, repeat=True)
            reply = await self._send(peer, again)
            if reply is not None:
                return reply
        return _lost(request, "connections lost before the answer")

    async def _send(
        self, peer: settings.Address, request: messages.CallRequest
    ) -> call_transport.Reply | None:
        started = self._clock.monotonic()
        try:
            stream = await self._stream(peer, request.timeout)
        except (OSError, TimeoutError) as error:
            self._metrics.count("stream_connect_failures_total")
            return _unconnected(peer, request, error)
        now = self._clock.monotonic()
        left = request.timeout - (now - started)
        message = attrs.evolve(request, timeout=left, sent_at=now)
        return await stream.call(message)

    async def _stream(
        self, peer: settings.Address, timeout: datetime.timedelta
    ) -> peer_stream.PeerStream:
        known = self._streams.get(peer)
        if known is not None and known.usable:
            return known
        wait = min(timeout, self._keepalive.connect_timeout)
        async with asyncio.timeout(wait.total_seconds()):
            lock = self._opening.setdefault(peer, asyncio.Lock())
            async with lock:
                known = self._streams.get(peer)
                if known is not None and known.usable:
                    return known
                return await self._open(peer)

    async def _open(self, peer: settings.Address) -> peer_stream.PeerStream:
        reader, writer = await self._connect(peer)
        sent_at = self._clock.monotonic()
        hello = attrs.evolve(self._hello, sent_at=sent_at)
        writer.write(frames.encode(hello))
        self._metrics.count("stream_connects_total")
        stream = peer_stream.PeerStream(
            reader, writer, self._clock, self._metrics, self._keepalive
        )
        self._streams[peer] = stream
        return stream


def _unconnected(
    peer: settings.Address, request: messages.CallRequest, error: Exception
) -> messages.CallFailure:
    ran = verdict.Verdict.NOT_RUN
    if request.repeat:
        ran = verdict.Verdict.MAY_HAVE_RUN
    return messages.CallFailure(
        call_id=request.call_id,
        failure=verdict.Failure(
            ran,
            verdict.Reason.CONNECTION_LOST,
            f"cannot connect to {peer}: {error!r}",
        ),
        load=messages.Load(0, 0),
    )


def _lost(request: messages.CallRequest, message: str) -> messages.CallFailure:
    return messages.CallFailure(
        call_id=request.call_id,
        failure=verdict.Failure(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.CONNECTION_LOST,
            message,
        ),
        load=messages.Load(0, 0),
    )
