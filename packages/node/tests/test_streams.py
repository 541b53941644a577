"""Streams between nodes: silent and cut connections, graceful stop."""

import asyncio
from collections import abc
import datetime
import typing

import attrs
import pytest
from returns import result

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
from balsamramp_node.outbound import stream_client
from balsamramp_wire import frames
from balsamramp_wire import messages

LOOPBACK = settings.Address("127.0.0.1", 0)
TIMEOUT = datetime.timedelta(seconds=20)
PIECES = 20
PIECE_SECONDS = 0.05


class _Target(target_client.TargetClient):
    """Answers once it is released; counts its runs."""

    def __init__(self) -> None:
        self.runs = 0
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
            target_client.TargetResponse(status=200, headers=(), body=b"whole")
        )


class _Members:
    """Takes the place of the membership, which hears of targets."""

    def set_targets(self, records: object) -> None:
        self.records = records


class _Relay:
    """Passes bytes on until its connections go silent or are cut."""

    def __init__(self, peer: settings.Address) -> None:
        self.peer = peer
        self.passing = [True]
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> settings.Address:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return settings.Address("127.0.0.1", port)

    def silence(self) -> None:
        """Pass nothing on for the connections that are open now."""
        self.passing[0] = False
        self.passing = [True]

    def cut(self) -> None:
        """Close the connections that are open now."""
        for writer in self.writers:
            writer.close()

    async def stop(self) -> None:
        self.cut()
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        passing = self.passing
        there, back = await asyncio.open_connection(
            self.peer.host, self.peer.port
        )
        self.writers += [writer, back]
        await asyncio.gather(
            self._pass(reader, back, passing),
            self._pass(there, writer, passing),
        )

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        passing: list[bool],
    ) -> None:
        while True:
            try:
                data = await reader.read(65536)
            except ConnectionError:
                data = b""
            if not data:
                writer.close()
                return
            if passing[0]:
                writer.write(data)


@attrs.define(eq=False)
class _Pair:
    """A node that calls and one that is called, with a relay between."""

    target: _Target
    server: stream_server.StreamServer
    relay: _Relay
    client: stream_client.StreamClient
    peer: settings.Address

    async def call(
        self, call_id: str = "c1", idempotent: bool = False
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
            timeout=TIMEOUT,
            idempotent=idempotent,
        )
        return await self.client.call(self.peer, request)


def _make_server(
    target: _Target, incarnation: int
) -> stream_server.StreamServer:
    time = clock.SystemClock()
    counters = metrics.Metrics()
    local = targets.LocalTargets(
        typing.cast(typing.Any, _Members()),
        time,
        counters,
        datetime.timedelta(hours=1),
    )
    local.announce(
        targets.Announcement(target="t", service="s", url="http://t")
    )
    calls = inbound_handler.InboundHandler(
        incarnation,
        local,
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


async def _make_pair() -> _Pair:
    target = _Target()
    server = _make_server(target, 1)
    await server.start()
    relay = _Relay(server.address)
    peer = await relay.start()
    client = stream_client.StreamClient(
        messages.Hello("calling", 1), clock.SystemClock(), metrics.Metrics()
    )
    return _Pair(target, server, relay, client, peer)


async def _silent(pair: _Pair) -> None:
    pair.relay.silence()
    pair.target.released.set()


async def _cut(pair: _Pair) -> None:
    pair.relay.cut()
    pair.target.released.set()


async def _cut_for_long(pair: _Pair) -> None:
    pair.relay.cut()
    await asyncio.sleep(2 * inbound_handler.REPEAT_GRACE.total_seconds())
    pair.target.released.set()


async def _stopped(pair: _Pair) -> None:
    stopping = asyncio.create_task(pair.server.stop())
    await asyncio.sleep(0.05)
    pair.target.released.set()
    await stopping


async def _restarted(pair: _Pair) -> None:
    again = _make_server(pair.target, 2)
    await again.start()
    pair.relay.peer = again.address
    pair.relay.cut()


async def _killed(pair: _Pair) -> None:
    await pair.relay.stop()


Fault = abc.Callable[[_Pair], abc.Awaitable[None]]


async def _call_through(fault: Fault) -> tuple[call_transport.Reply, int]:
    pair = await _make_pair()
    calling = asyncio.create_task(pair.call())
    await pair.target.started.wait()
    await fault(pair)
    reply = await calling
    await pair.client.stop()
    await pair.relay.stop()
    return reply, pair.target.runs


@pytest.mark.parametrize("fault", [_silent, _cut, _cut_for_long, _stopped])
def test_answer_arrives_and_call_runs_once(fault: Fault) -> None:
    reply, runs = asyncio.run(_call_through(fault))
    assert isinstance(reply, messages.CallAnswer), reply
    assert reply.body == b"whole"
    assert runs == 1


@pytest.mark.parametrize("fault", [_restarted, _killed])
def test_node_that_died_leaves_call_in_doubt(fault: Fault) -> None:
    reply, runs = asyncio.run(_call_through(fault))
    assert isinstance(reply, messages.CallFailure)
    assert reply.failure.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert runs == 1


async def _calling_node_dies(idempotent: bool) -> _Pair:
    """Return the pair once the call's connection ended for good."""
    pair = await _make_pair()
    calling = asyncio.create_task(pair.call(idempotent=idempotent))
    await pair.target.started.wait()
    await pair.relay.stop()
    await calling
    return pair


def test_a_call_that_nobody_waits_for_is_cancelled() -> None:
    async def main() -> None:
        pair = await _calling_node_dies(idempotent=True)
        async with asyncio.timeout(TIMEOUT.total_seconds()):
            await pair.target.cancelled.wait()
        await pair.client.stop()

    asyncio.run(main())


def test_a_call_that_may_not_be_repeated_is_finished() -> None:
    async def main() -> None:
        pair = await _calling_node_dies(idempotent=False)
        await asyncio.sleep(2 * inbound_handler.REPEAT_GRACE.total_seconds())
        assert not pair.target.cancelled.is_set()
        pair.target.released.set()
        await pair.client.stop()

    asyncio.run(main())


async def _call_silent_from_start() -> tuple[call_transport.Reply, int]:
    pair = await _make_pair()
    pair.target.released.set()
    await pair.call()
    pair.relay.silence()
    reply = await pair.call("c2")
    await pair.client.stop()
    await pair.relay.stop()
    return reply, pair.target.runs


def test_message_that_never_arrived_is_repeated() -> None:
    reply, runs = asyncio.run(_call_silent_from_start())
    assert isinstance(reply, messages.CallAnswer), reply
    assert reply.call_id == "c2"
    assert runs == 2


async def _trickle(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer the first call piece by piece, and no ping meanwhile."""
    incoming = frames.FrameReader(reader)
    await incoming.read()
    request = await incoming.read()
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
        await asyncio.sleep(PIECE_SECONDS)
    writer.close()


async def _call_slow_link() -> call_transport.Reply:
    server = await asyncio.start_server(_trickle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pair = await _make_pair()
    pair.peer = settings.Address("127.0.0.1", port)
    reply = await pair.call()
    await pair.client.stop()
    await pair.relay.stop()
    server.close()
    return reply


def test_answer_that_arrives_slowly_is_not_silence() -> None:
    reply = asyncio.run(_call_slow_link())
    assert isinstance(reply, messages.CallAnswer), reply
    assert len(reply.body) == PIECES


async def _call_nobody() -> call_transport.Reply:
    pair = await _make_pair()
    await pair.relay.stop()
    reply = await pair.call()
    await pair.client.stop()
    return reply


def test_node_that_cannot_be_reached_has_not_run() -> None:
    reply = asyncio.run(_call_nobody())
    assert isinstance(reply, messages.CallFailure)
    assert reply.failure.verdict is verdict.Verdict.NOT_RUN
