"""Streams between nodes: unresponsive and lost connections, stops."""

import asyncio
from collections import abc
import contextlib
import datetime
import socket
import time
import typing

import attrs
import pytest
from returns import result
import uvloop

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_node.inbound import inbound_handler
from balsamramp_node.inbound import stream_server
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import targets
from balsamramp_node.inbound.concurrency_limits import fixed
from balsamramp_node.inbound.limiters import concurrency_limiter
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import peer_stream
from balsamramp_node.outbound import stream_client
from balsamramp_node.process import sidecar
from balsamramp_wire import frames
from balsamramp_wire import messages

LOOPBACK = settings.Address("127.0.0.1", 0)
TIMEOUT = datetime.timedelta(seconds=20)
SHORT_TIMEOUT = datetime.timedelta(seconds=2)
# Longer than several calls in turn may wait on silent connections.
SLOW_LINK_SECONDS = 1.0
PIECES = 20
PIECE_INTERVAL_SECONDS = 0.05
SETTLE_SECONDS = 0.5
# A body as large as callers may send, over a link of 5 Mbit/s.
UPLOAD_BYTES = 1024 * 1024
UPLOAD_BYTES_PER_SECOND = 625_000
UPLOAD_PIECE_BYTES = 16 * 1024


class _FakeTarget(target_client.TargetClient):
    """Responds once it is released, and counts its runs."""

    def __init__(self) -> None:
        self.runs = 0
        self.body = b"whole"
        self.started = asyncio.Event()
        self.released = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def call(
        self,
        target: targets.Announcement,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
    ) -> target_client.TargetCallResult:
        self.runs += 1
        self.started.set()
        try:
            await self.released.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        return result.Success(
            target_client.TargetResponse(
                status=200, headers=(), body=self.body
            )
        )


class _FakeMembership:
    """Replaces the membership, which receives the target records."""

    def set_targets(self, records: object) -> None:
        self.records = records


class _Relay:
    """Forwards bytes until its connections are blackholed or closed.

    Each piece of data takes ``delay_seconds``, in order.
    """

    def __init__(self, peer: settings.Address) -> None:
        self.peer = peer
        self.delay_seconds = 0.0
        self.forwarding = [True]
        self.writers: list[asyncio.StreamWriter] = []
        self.open_connections = 0
        self.gate = asyncio.Event()
        self.gate.set()

    async def start(self) -> settings.Address:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return settings.Address("127.0.0.1", port)

    def blackhole(self) -> None:
        """Drop all further bytes of the connections that are open now."""
        self.forwarding[0] = False
        self.forwarding = [True]

    def pause(self) -> None:
        """Hold further bytes of the connections that are open now."""
        self.paused_gate = self.gate
        self.paused_gate.clear()
        self.gate = asyncio.Event()
        self.gate.set()

    def resume(self) -> None:
        """Forward the bytes that were held."""
        self.paused_gate.set()

    def refuse_connections(self) -> None:
        """Accept no further connections."""
        self._server.close()

    def close_connections(self) -> None:
        """Close the connections that are open now."""
        for writer in self.writers:
            writer.close()

    async def stop(self) -> None:
        self.close_connections()
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        forwarding = self.forwarding
        peer_reader, peer_writer = await asyncio.open_connection(
            self.peer.host, self.peer.port
        )
        self.writers += [writer, peer_writer]
        gate = self.gate
        self.open_connections += 1
        await asyncio.gather(
            self._forward(reader, peer_writer, forwarding, gate),
            self._forward(peer_reader, writer, forwarding, gate),
        )
        self.open_connections -= 1

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forwarding: list[bool],
        gate: asyncio.Event,
    ) -> None:
        while True:
            try:
                data = await reader.read(65536)
            except ConnectionError:
                data = b""
            if not data:
                writer.close()
                return
            await gate.wait()
            if not forwarding[0]:
                continue
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay_seconds, _write, writer, data)


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


@attrs.define(eq=False)
class _NodePair:
    """A calling node and a called node, with a relay between them."""

    target: _FakeTarget
    server: stream_server.StreamServer
    relay: _Relay
    client: stream_client.StreamClient
    peer: settings.Address

    async def call(
        self,
        call_id: str = "c1",
        idempotent: bool = False,
        may_leave: call_transport.MayLeave = call_transport.always_leave,
        timeout: datetime.timedelta = TIMEOUT,
        body: bytes = b"",
    ) -> call_transport.Reply:
        """Call the target through the relay."""
        request = messages.CallRequest(
            call_id=call_id,
            service="s",
            target="t",
            incarnation=1,
            method="POST",
            path="/",
            headers=(),
            timeout=timeout,
            idempotent=idempotent,
            body=body,
        )
        return await self.client.call(self.peer, request, may_leave)


def _make_server(
    target: _FakeTarget, incarnation: int
) -> stream_server.StreamServer:
    time = clock.SystemClock()
    counters = metrics.Metrics()
    local_targets = targets.LocalTargets(
        typing.cast(typing.Any, _FakeMembership()),
        time,
        counters,
        datetime.timedelta(hours=1),
    )
    local_targets.announce(
        targets.Announcement(target="t", service="s", url="http://t")
    )
    calls = inbound_handler.InboundHandler(
        incarnation,
        local_targets,
        lambda announced: concurrency_limiter.ConcurrencyLimiter(
            announced, fixed.FixedLimit(4), time
        ),
        time,
        counters,
        target,
        lambda: False,
        typing.cast(typing.Any, None),
    )
    hello = messages.Hello("called", incarnation)
    return stream_server.StreamServer(hello, LOOPBACK, calls, time, counters)


async def _make_pair() -> _NodePair:
    target = _FakeTarget()
    server = _make_server(target, 1)
    await server.start()
    relay = _Relay(server.address)
    peer = await relay.start()
    client = stream_client.StreamClient(
        messages.Hello("calling", 1), clock.SystemClock(), metrics.Metrics()
    )
    return _NodePair(target, server, relay, client, peer)


async def _blackholed(pair: _NodePair) -> None:
    pair.relay.blackhole()
    pair.target.released.set()


async def _disconnected(pair: _NodePair) -> None:
    pair.relay.close_connections()
    pair.target.released.set()


async def _disconnected_for_long(pair: _NodePair) -> None:
    pair.relay.close_connections()
    await asyncio.sleep(2 * inbound_handler.REPEAT_GRACE.total_seconds())
    pair.target.released.set()


async def _stopped(pair: _NodePair) -> None:
    stopping = asyncio.create_task(pair.server.stop())
    await asyncio.sleep(0.05)
    pair.target.released.set()
    await stopping


async def _restarted(pair: _NodePair) -> None:
    restarted = _make_server(pair.target, 2)
    await restarted.start()
    pair.relay.peer = restarted.address
    pair.relay.close_connections()


async def _killed(pair: _NodePair) -> None:
    await pair.relay.stop()


Fault = abc.Callable[[_NodePair], abc.Awaitable[None]]


async def _call_with_fault(fault: Fault) -> tuple[call_transport.Reply, int]:
    pair = await _make_pair()
    pending_call = asyncio.create_task(pair.call())
    await pair.target.started.wait()
    await fault(pair)
    reply = await pending_call
    await pair.client.stop()
    await pair.relay.stop()
    return reply, pair.target.runs


@pytest.mark.parametrize(
    "fault", [_blackholed, _disconnected, _disconnected_for_long, _stopped]
)
def test_response_arrives_and_call_runs_once(fault: Fault) -> None:
    reply, runs = asyncio.run(_call_with_fault(fault))
    assert isinstance(reply, messages.CallAnswer), reply
    assert reply.body == b"whole"
    assert runs == 1


@pytest.mark.parametrize("fault", [_restarted, _killed])
def test_call_may_have_run_when_its_node_died(fault: Fault) -> None:
    reply, runs = asyncio.run(_call_with_fault(fault))
    assert isinstance(reply, messages.CallFailure)
    assert reply.failure.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert runs == 1


async def _lose_calling_node(idempotent: bool) -> _NodePair:
    """Start a call, stop the relay and return the pair after the call."""
    pair = await _make_pair()
    pending_call = asyncio.create_task(pair.call(idempotent=idempotent))
    await pair.target.started.wait()
    await pair.relay.stop()
    await pending_call
    return pair


def test_abandoned_idempotent_call_is_cancelled() -> None:
    async def main() -> None:
        pair = await _lose_calling_node(idempotent=True)
        async with asyncio.timeout(TIMEOUT.total_seconds()):
            await pair.target.cancelled.wait()
        await pair.client.stop()

    asyncio.run(main())


def test_abandoned_call_that_is_not_idempotent_is_completed() -> None:
    async def main() -> None:
        pair = await _lose_calling_node(idempotent=False)
        await asyncio.sleep(2 * inbound_handler.REPEAT_GRACE.total_seconds())
        assert not pair.target.cancelled.is_set()
        pair.target.released.set()
        await pair.client.stop()

    asyncio.run(main())


async def _call_over_unresponsive_connection() -> tuple[
    call_transport.Reply, int
]:
    pair = await _make_pair()
    pair.target.released.set()
    await pair.call()
    pair.relay.blackhole()
    reply = await pair.call("c2")
    await pair.client.stop()
    await pair.relay.stop()
    return reply, pair.target.runs


def test_message_lost_on_an_unresponsive_connection_is_sent_again() -> None:
    reply, runs = asyncio.run(_call_over_unresponsive_connection())
    assert isinstance(reply, messages.CallAnswer), reply
    assert reply.call_id == "c2"
    assert runs == 2


async def _call_over_a_link_slower_than_the_timeouts(
    idempotent: bool,
) -> tuple[call_transport.Reply, _FakeTarget]:
    pair = await _make_pair()
    pair.relay.delay_seconds = SLOW_LINK_SECONDS
    pending_call = asyncio.create_task(
        pair.call(idempotent=idempotent, may_leave=lambda: False)
    )
    await pair.target.started.wait()
    await asyncio.sleep(SLOW_LINK_SECONDS)
    pair.target.released.set()
    reply = await pending_call
    await pair.client.stop()
    await pair.relay.stop()
    return reply, pair.target


@pytest.mark.parametrize("idempotent", [True, False])
def test_call_is_not_given_up_over_a_link_slower_than_the_timeouts(
    idempotent: bool,
) -> None:
    reply, target = asyncio.run(
        _call_over_a_link_slower_than_the_timeouts(idempotent)
    )
    assert isinstance(reply, messages.CallAnswer), reply
    assert target.runs == 1
    assert not target.cancelled.is_set()


def test_call_is_not_given_up_when_its_node_accepts_no_connections() -> None:
    async def main() -> None:
        pair = await _make_pair()
        pending_call = asyncio.create_task(pair.call(may_leave=lambda: False))
        await pair.target.started.wait()
        pair.relay.delay_seconds = SLOW_LINK_SECONDS
        pair.relay.refuse_connections()
        await asyncio.sleep(SLOW_LINK_SECONDS)
        pair.target.released.set()
        reply = await pending_call
        assert isinstance(reply, messages.CallAnswer), reply
        await pair.client.stop()
        await pair.relay.stop()

    asyncio.run(main())


def test_request_over_the_size_of_a_frame_has_not_run() -> None:
    """Guards against an error that leaves open whether it may have run."""

    async def main() -> None:
        pair = await _make_pair()
        reply = await pair.call(body=bytes(frames.PAYLOAD_MAX_BYTES))
        assert isinstance(reply, messages.CallFailure)
        assert reply.failure.verdict is verdict.Verdict.NOT_RUN
        pair.target.released.set()
        assert isinstance(await pair.call("c2"), messages.CallAnswer)
        await pair.client.stop()
        await pair.relay.stop()
        await pair.server.stop()

    asyncio.run(main())


def test_calls_at_a_silent_node_do_not_hold_up_those_at_others() -> None:
    async def main() -> None:
        silent, other = await _make_pair(), await _make_pair()
        pending_calls = [
            asyncio.create_task(
                silent.call(f"c{number}", may_leave=lambda: False)
            )
            for number in range(stream_client.RESENDING_CALLS_MAX)
        ]
        await silent.target.started.wait()
        for pair in (silent, other):
            pair.relay.delay_seconds = TIMEOUT.total_seconds()
        other.client = silent.client
        async with asyncio.timeout(TIMEOUT.total_seconds() / 2):
            reply = await other.call("other")
        assert isinstance(reply, messages.CallFailure)
        assert reply.failure.reason is verdict.Reason.CONNECTION_LOST
        for call in pending_calls:
            call.cancel()
        await asyncio.gather(*pending_calls, return_exceptions=True)
        await silent.client.stop()
        await silent.relay.stop()
        await other.relay.stop()

    asyncio.run(main())


def test_slow_new_connection_serves_later_calls() -> None:
    async def main() -> None:
        pair = await _make_pair()
        pair.target.released.set()
        connects = 0

        async def connect(
            peer: settings.Address,
        ) -> stream_client.Connection:
            nonlocal connects
            connects += 1
            await asyncio.sleep(
                1.5
                * peer_stream.DEFAULT_KEEPALIVE.connect_timeout
                / datetime.timedelta(seconds=1)
            )
            return await stream_client.connect_tcp(peer)

        pair.client = stream_client.StreamClient(
            messages.Hello("calling", 1),
            clock.SystemClock(),
            metrics.Metrics(),
            connect,
        )
        first = await pair.call("c1")
        second = await pair.call("c2")
        assert isinstance(first, messages.CallFailure)
        assert first.failure.verdict is verdict.Verdict.NOT_RUN
        assert isinstance(second, messages.CallAnswer), second
        assert connects == 1
        await pair.client.stop()
        await pair.relay.stop()

    asyncio.run(main())


def test_call_at_a_silent_node_ends_at_its_deadline() -> None:
    async def main() -> None:
        pair = await _make_pair()
        pending_call = asyncio.create_task(
            pair.call(may_leave=lambda: False, timeout=SHORT_TIMEOUT)
        )
        await pair.target.started.wait()
        pair.relay.delay_seconds = TIMEOUT.total_seconds()
        async with asyncio.timeout(2 * SHORT_TIMEOUT.total_seconds()):
            reply = await pending_call
        assert isinstance(reply, messages.CallFailure)
        assert reply.failure.reason is verdict.Reason.DEADLINE
        assert reply.failure.verdict is verdict.Verdict.MAY_HAVE_RUN
        await pair.client.stop()
        await pair.relay.stop()

    asyncio.run(main())


async def _reply_in_pieces(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send the reply to the first call in pieces, without any Pong."""
    frame_reader = frames.FrameReader(reader)
    await frame_reader.read()
    request = await frame_reader.read()
    answer = messages.CallAnswer(
        call_id=request.call_id,
        status=200,
        headers=(),
        body=b"x" * PIECES,
        load=messages.Load(0, 0),
    )
    frame = frames.encode(answer)
    size = len(frame) // PIECES + 1
    for start in range(0, len(frame), size):
        writer.write(frame[start : start + size])
        await asyncio.sleep(PIECE_INTERVAL_SECONDS)
    writer.close()


async def _call_over_slow_link() -> call_transport.Reply:
    server = await asyncio.start_server(_reply_in_pieces, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pair = await _make_pair()
    pair.peer = settings.Address("127.0.0.1", port)
    reply = await pair.call()
    await pair.client.stop()
    await pair.relay.stop()
    server.close()
    return reply


def test_connection_with_a_slow_response_is_not_unresponsive() -> None:
    reply = asyncio.run(_call_over_slow_link())
    assert isinstance(reply, messages.CallAnswer), reply
    assert len(reply.body) == PIECES


async def _read_slowly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Receive a call over a slow link, and reply to it and to pings."""

    class _SlowReader:
        async def read(self, limit: int) -> bytes:
            await asyncio.sleep(UPLOAD_PIECE_BYTES / UPLOAD_BYTES_PER_SECOND)
            return await reader.read(UPLOAD_PIECE_BYTES)

    frame_reader = frames.FrameReader(
        typing.cast(asyncio.StreamReader, _SlowReader())
    )
    while True:
        try:
            message = await frame_reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        if isinstance(message, messages.Ping):
            writer.write(frames.encode(messages.Pong(message.number)))
        if isinstance(message, messages.CallRequest):
            answer = messages.CallAnswer(
                call_id=message.call_id,
                status=200,
                headers=(),
                body=b"whole",
                load=messages.Load(0, 0),
            )
            writer.write(frames.encode(answer))


async def _connect_with_small_buffer(
    peer: settings.Address,
) -> stream_client.Connection:
    """Connect with a send buffer as small as a slow link allows."""
    reader, writer = await stream_client.connect_tcp(peer)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, UPLOAD_PIECE_BYTES
    )
    return reader, writer


async def _stop_reading(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Receive a part of a call, like a process that then hangs."""
    for _ in range(UPLOAD_BYTES // 4 // UPLOAD_PIECE_BYTES):
        await reader.read(UPLOAD_PIECE_BYTES)
    await asyncio.Event().wait()


async def _upload(
    serve: abc.Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], abc.Awaitable[None]
    ],
) -> tuple[call_transport.Reply, int]:
    """Return the reply to a large call and the number of connections."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, UPLOAD_PIECE_BYTES
    )
    server = await asyncio.start_server(
        serve, sock=listener, limit=UPLOAD_PIECE_BYTES
    )
    connects = 0

    async def connect(peer: settings.Address) -> stream_client.Connection:
        nonlocal connects
        connects += 1
        return await _connect_with_small_buffer(peer)

    client = stream_client.StreamClient(
        messages.Hello("calling", 1),
        clock.SystemClock(),
        metrics.Metrics(),
        connect,
        sidecar.KEEPALIVE,
    )
    request = messages.CallRequest(
        call_id="c1",
        service="s",
        target="t",
        incarnation=1,
        method="POST",
        path="/",
        headers=(),
        timeout=TIMEOUT,
        idempotent=False,
        body=b"x" * UPLOAD_BYTES,
    )
    port = listener.getsockname()[1]
    reply = await client.call(settings.Address("127.0.0.1", port), request)
    await client.stop()
    server.close()
    return reply, connects


def test_connection_with_a_slow_request_is_not_unresponsive() -> None:
    reply, connects = uvloop.run(_upload(_read_slowly))
    assert isinstance(reply, messages.CallAnswer), reply
    assert connects == 1


def test_connection_whose_large_request_stalls_is_unresponsive() -> None:
    started = time.monotonic()
    reply, connects = uvloop.run(_upload(_stop_reading))
    assert isinstance(reply, messages.CallFailure)
    assert reply.failure.reason is verdict.Reason.CONNECTION_LOST
    assert connects == stream_client.SENDS_MAX
    assert time.monotonic() - started < TIMEOUT.total_seconds() / 4


async def _call_unreachable_node() -> call_transport.Reply:
    pair = await _make_pair()
    await pair.relay.stop()
    reply = await pair.call()
    await pair.client.stop()
    return reply


def test_call_to_an_unreachable_node_has_not_run() -> None:
    reply = asyncio.run(_call_unreachable_node())
    assert isinstance(reply, messages.CallFailure)
    assert reply.failure.verdict is verdict.Verdict.NOT_RUN


async def _replace_suspect_stream() -> tuple[int, int]:
    """Return the connections during a pause of the link and after it."""
    pair = await _make_pair()
    first = asyncio.create_task(pair.call("c1"))
    await pair.target.started.wait()
    pair.relay.pause()
    streams = pair.client.dump
    while not streams()[str(pair.peer)]["silent"]:  # noqa: ASYNC110
        await asyncio.sleep(PIECE_INTERVAL_SECONDS / 10)
    second = asyncio.create_task(pair.call("c2"))
    while pair.target.runs < 2:  # noqa: ASYNC110
        await asyncio.sleep(PIECE_INTERVAL_SECONDS / 10)
    during = pair.relay.open_connections
    pair.relay.resume()
    pair.target.released.set()
    for reply in await asyncio.gather(first, second):
        assert isinstance(reply, messages.CallAnswer), reply
    await asyncio.sleep(SETTLE_SECONDS)
    after = pair.relay.open_connections
    await pair.client.stop()
    await pair.relay.stop()
    return during, after


def test_replaced_connection_is_closed_after_its_last_call() -> None:
    during, after = asyncio.run(_replace_suspect_stream())
    assert during == 2
    assert after == 1


async def _read_evenly(
    sock: socket.socket, seconds: float, total_bytes: int
) -> bytes:
    """Read until the peer closes, in about ``seconds``."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    part = total_bytes // PIECES
    with contextlib.suppress(ConnectionError):
        while data := await loop.sock_recv(sock, part):
            received += data
            await asyncio.sleep(seconds * len(data) / total_bytes)
    return bytes(received)


async def _stop_while_a_reply_is_read(
    ping_interval: float,
) -> tuple[bytes, float]:
    """Return what the peer of a node that stops receives, and the time."""
    target = _FakeTarget()
    target.body = bytes(UPLOAD_BYTES)
    server = _make_server(target, 1)
    await server.start()
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
        address = server.address
        await loop.sock_connect(sock, (address.host, address.port))
        request = messages.CallRequest(
            call_id="c1",
            service="s",
            target="t",
            incarnation=1,
            method="GET",
            path="/",
            headers=(),
            timeout=TIMEOUT,
            idempotent=True,
            body=b"",
        )
        # The peer answers no pings.
        hello = messages.Hello("calling", 1, messages.PROTOCOL_WITH_PARTS)
        await loop.sock_sendall(
            sock, frames.encode(hello) + frames.encode(request)
        )
        await target.started.wait()
        target.released.set()
        reading = asyncio.create_task(_read_evenly(sock, 1.5, UPLOAD_BYTES))
        began = loop.time()
        stopping = asyncio.create_task(server.stop())
        number = 0
        while not reading.done():
            await asyncio.sleep(ping_interval)
            number += 1
            await loop.sock_sendall(sock, frames.encode(messages.Ping(number)))
        received = await reading
    await stopping
    return received, loop.time() - began


def test_reply_is_whole_though_its_peer_pings_while_the_node_stops() -> None:
    """Guards against a reset by data that arrives after the last reply."""
    received, seconds = uvloop.run(_stop_while_a_reply_is_read(0.2))
    assert len(received) > UPLOAD_BYTES
    assert seconds < SHORT_TIMEOUT.total_seconds() + 1.0


async def _stop_beside_a_peer_that_never_closes(reads: bool) -> float:
    server = _make_server(_FakeTarget(), 1)
    await server.start()
    loop = asyncio.get_running_loop()
    address = server.address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(frames.encode(messages.Hello("calling", 1)))
    await reader.readexactly(1)
    if not reads:
        writer.transport.pause_reading()
    began = loop.time()
    await server.stop()
    writer.close()
    return loop.time() - began


@pytest.mark.parametrize("reads", [True, False])
def test_peer_that_never_closes_does_not_hold_the_stop_up(reads: bool) -> None:
    seconds = uvloop.run(_stop_beside_a_peer_that_never_closes(reads))
    assert seconds < SHORT_TIMEOUT.total_seconds()
