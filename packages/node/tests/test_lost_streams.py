"""Writes to a connection between nodes that its peer has just reset.

Guards against an error of the transport in place of the outcome: a call that
was cancelled, or never left, was answered as an internal error.
"""

import asyncio
from collections import abc
import contextlib
import datetime
import typing

import pytest
import uvloop

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_node.outbound import peer_stream
from balsamramp_node.outbound import stream_client
from balsamramp_wire import frames
from balsamramp_wire import messages

TIMEOUT = datetime.timedelta(seconds=2)
REQUEST = messages.CallRequest(
    call_id="c1",
    service="s",
    target="t",
    incarnation=1,
    method="POST",
    path="/",
    headers=(),
    timeout=TIMEOUT,
    idempotent=False,
)

both_loops = pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
Run = abc.Callable[[abc.Coroutine[typing.Any, typing.Any, None]], None]


class _Peer:
    """Answers each call once it is released."""

    def __init__(self) -> None:
        self.connections = 0
        self.released = asyncio.Event()

    async def start(self) -> settings.Address:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return settings.Address("127.0.0.1", port)

    def stop(self) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        incoming = frames.FrameReader(reader)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                message = await incoming.read()
                if not isinstance(message, messages.CallRequest):
                    continue
                await self.released.wait()
                answer = messages.CallAnswer(
                    call_id=message.call_id,
                    status=200,
                    headers=(),
                    body=b"",
                    load=messages.Load(0, 0),
                )
                writer.write(frames.encode(answer))
        writer.close()


async def _connect() -> tuple[
    _Peer, peer_stream.PeerStream, asyncio.StreamWriter
]:
    peer = _Peer()
    address = await peer.start()
    reader, writer = await asyncio.open_connection(address.host, address.port)
    stream = peer_stream.PeerStream(
        reader, writer, clock.SystemClock(), metrics.Metrics()
    )
    return peer, stream, writer


@both_loops
def test_cancelled_call_stays_cancelled_when_its_connection_is_lost(
    run: Run,
) -> None:
    async def main() -> None:
        peer, stream, writer = await _connect()
        call = asyncio.create_task(stream.call(REQUEST))
        await asyncio.sleep(0.05)
        writer.transport.abort()
        call.cancel()
        with pytest.raises(asyncio.CancelledError):
            await call
        await stream.close()
        peer.stop()

    run(main())


@both_loops
def test_call_that_expires_on_a_lost_connection_ends(run: Run) -> None:
    async def main() -> None:
        peer, stream, writer = await _connect()
        call = asyncio.create_task(stream.call(REQUEST))
        await asyncio.sleep(0.05)
        writer.transport.abort()
        stream.probe()
        assert await asyncio.wait_for(call, 1) is None
        assert await stream.call(REQUEST) is None
        await stream.close()
        peer.stop()

    run(main())


@both_loops
def test_nothing_is_sent_on_a_connection_that_was_just_lost(run: Run) -> None:
    async def main() -> None:
        peer, stream, writer = await _connect()
        assert stream.usable
        writer.transport.abort()
        assert not stream.usable
        assert await stream.call(REQUEST) is None
        assert await stream.send_control("state", b"", TIMEOUT) is None
        await stream.close()
        peer.stop()

    run(main())


@both_loops
def test_call_on_a_lost_connection_is_sent_on_a_new_one(run: Run) -> None:
    async def main() -> None:
        peer = _Peer()
        peer.released.set()
        address = await peer.start()
        writers: list[asyncio.StreamWriter] = []

        async def connect(
            address: settings.Address,
        ) -> stream_client.Connection:
            opened = await stream_client.connect_tcp(address)
            writers.append(opened[1])
            return opened

        client = stream_client.StreamClient(
            messages.Hello("calling", 1),
            clock.SystemClock(),
            metrics.Metrics(),
            connect,
        )
        first = await client.call(address, REQUEST)
        writers[0].transport.abort()
        second = await client.call(address, REQUEST)
        assert [type(first), type(second)] == [messages.CallAnswer] * 2
        assert peer.connections == 2
        await client.stop()
        peer.stop()

    run(main())


@both_loops
def test_connection_that_is_closed_at_once_is_a_failed_connect(
    run: Run,
) -> None:
    async def main() -> None:
        peer = _Peer()
        address = await peer.start()

        async def connect(
            address: settings.Address,
        ) -> stream_client.Connection:
            opened = await stream_client.connect_tcp(address)
            opened[1].transport.abort()
            return opened

        client = stream_client.StreamClient(
            messages.Hello("calling", 1),
            clock.SystemClock(),
            metrics.Metrics(),
            connect,
        )
        reply = await client.call(address, REQUEST)
        assert isinstance(reply, messages.CallFailure)
        assert reply.failure.verdict is messages.verdict.Verdict.NOT_RUN
        await client.stop()
        peer.stop()

    run(main())
