"""Callers that close their connection while their requests wait unread.

Guards against work for callers that had left before it began: the close lies
in the socket behind a request that is read late, or it is not read at all
while reading is paused.
"""

import asyncio
from collections import abc
import contextlib
import datetime
import json
import socket
import struct
import typing

import pytest
import uvloop

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core.resources import caller_limits
from balsamramp_node.outbound import cancellation
from balsamramp_node.process import caller_connection
from balsamramp_node.process import caller_connection_log
from balsamramp_node.process import caller_presence
from balsamramp_node.process import caller_server
from balsamramp_node.process import decision_log
from balsamramp_node.process import http_server
from balsamramp_node.process import shutdown_schedule

LIMITS = caller_limits.CallerLimits(
    name=caller_limits.NAME,
    header_max_bytes=200,
    body_max_bytes=100,
    header_timeout_ms=60_000,
    idle_timeout_ms=60_000,
)
CALLERS = 21
BOUND = caller_connection.PIPELINED_REQUESTS_MAX
LINGER_RESET = struct.pack("ii", 1, 0)
MALFORMED = b"\0\r\n\r\n"
# More than the socket buffers of both ends hold.
LARGE_BYTES = 32 * 1024 * 1024
# The time within which work for a caller that has left must end.
TOLERANCE_SECONDS = 0.5


class _Sink(decision_log.LineSink):
    def __init__(self) -> None:
        self.lines: list[dict[str, typing.Any]] = []

    def write(self, line: bytes) -> bool:
        self.lines.append(json.loads(line))
        return True


def _get(number: int) -> bytes:
    return (
        f"GET /{number} HTTP/1.1\r\nhost: a\r\nx-request-id: {number}\r\n\r\n"
    ).encode()


class _Node:
    """A caller server whose handler never ends by itself."""

    def __init__(self) -> None:
        self.started: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.metrics = metrics.Metrics()
        self._sink = _Sink()
        self.server = caller_server.CallerServer(
            "callers",
            self._handle,
            lambda: LIMITS,
            settings.Address("127.0.0.1", 0),
            (),
            shutdown_schedule.ShutdownSchedule(
                clock.SystemClock(), datetime.timedelta(seconds=1)
            ),
            caller_connection_log.CallerConnectionLog(
                self.metrics,
                decision_log.DecisionLog(self._sink, clock.SystemClock()),
                "x-request-id",
            ),
        )

    @property
    def connections(self) -> set[caller_connection.CallerConnection]:
        """Return the open connections of the server."""
        return self.server._connections

    def lines(self, event: str) -> list[dict[str, typing.Any]]:
        """Return the lines of the decision log with this event."""
        return [line for line in self._sink.lines if line["event"] == event]

    async def connect(self) -> socket.socket:
        """Return a connected socket that the server has accepted."""
        before = len(self.connections)
        address = self.server.address
        sock = socket.create_connection((address.host, address.port))
        while len(self.connections) == before:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        return sock

    async def _handle(
        self, request: caller_connection.RawRequest
    ) -> caller_connection.RawResponse:
        if request.target == b"/0":
            return caller_connection.RawResponse(
                status=200, headers=[], body=bytes(LARGE_BYTES)
            )
        self.started.append(request.target)
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        raise AssertionError


def _close(sock: socket.socket) -> None:
    sock.close()


def _reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    sock.close()


def _close_for_writing(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


Scenario = abc.Callable[[_Node], abc.Awaitable[None]]
Run = abc.Callable[[abc.Coroutine[typing.Any, typing.Any, None]], None]
both_loops = pytest.mark.parametrize("run", [asyncio.run, uvloop.run])


def _play(scenario: Scenario, run: Run) -> None:
    async def main() -> None:
        node = _Node()
        await node.server.start()
        try:
            async with asyncio.timeout(20):
                await scenario(node)
        finally:
            for connection in list(node.connections):
                connection.abort()
            await node.server.stop()

    run(main())


async def _wait_until(condition: abc.Callable[[], object]) -> None:
    """Wait until ``condition`` holds, at most for the tolerated time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(TOLERANCE_SECONDS):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)
    assert condition()


@both_loops
@pytest.mark.parametrize("leave", [_close, _reset, _close_for_writing])
def test_request_whose_close_was_unread_is_not_started(
    leave: abc.Callable[[socket.socket], None], run: Run
) -> None:
    async def scenario(node: _Node) -> None:
        callers = [await node.connect() for _ in range(CALLERS)]
        # The loop does not read its sockets meanwhile.
        for number, sock in enumerate(callers, 1):
            sock.sendall(_get(number))
            leave(sock)
        await _wait_until(lambda: not node.connections)
        assert node.started == []

    _play(scenario, run)


@both_loops
@pytest.mark.parametrize("count", [BOUND + 1, BOUND + 4, 4 * BOUND])
def test_close_behind_a_full_pipeline_ends_what_runs(
    count: int, run: Run
) -> None:
    async def scenario(node: _Node) -> None:
        sock = await node.connect()
        sock.sendall(b"".join(_get(number + 1) for number in range(count)))
        await _wait_until(lambda: len(node.started) == BOUND)
        sock.close()
        await _wait_until(lambda: not node.connections)
        assert len(node.started) == len(node.cancelled) == BOUND

    _play(scenario, run)


@both_loops
def test_close_behind_a_rejected_request_ends_what_runs(run: Run) -> None:
    async def scenario(node: _Node) -> None:
        sock = await node.connect()
        sock.sendall(_get(1) + MALFORMED)
        await _wait_until(lambda: node.started)
        sock.close()
        await _wait_until(lambda: node.cancelled)

    _play(scenario, run)


@both_loops
def test_close_beside_an_unread_response_ends_what_runs(run: Run) -> None:
    """A closed transport is lost only once its buffer is written."""

    async def scenario(node: _Node) -> None:
        sock = await node.connect()
        sock.sendall(_get(1))
        await _wait_until(lambda: node.started)
        (connection,) = node.connections
        assert connection._transport is not None
        connection._transport.write(bytes(LARGE_BYTES))
        sock.shutdown(socket.SHUT_WR)
        await _wait_until(lambda: node.cancelled)
        connection.abort()

    _play(scenario, run)


@both_loops
def test_caller_that_waits_is_served_beside_those_that_left(run: Run) -> None:
    async def scenario(node: _Node) -> None:
        callers = [await node.connect() for _ in range(3)]
        for number, sock in enumerate(callers, 1):
            sock.sendall(_get(number))
        callers[0].close()
        await _wait_until(lambda: len(node.started) == 2)
        assert set(node.started) == {b"/2", b"/3"}
        assert node.cancelled == []

    _play(scenario, run)


@both_loops
@pytest.mark.parametrize("leave", [_close, _reset, _close_for_writing])
def test_call_whose_close_was_unread_is_not_sent_by_a_standalone_node(
    leave: abc.Callable[[socket.socket], None], run: Run
) -> None:
    """The calls' server is another one there, which hides its sockets."""
    sent: list[str] = []

    async def application(
        scope: typing.Any,
        receive: cancellation.Receive,
        send: cancellation.Send,
    ) -> None:
        while (await receive()).get("more_body"):
            continue
        await caller_presence.confirm()
        sent.append(scope["path"])
        await asyncio.Event().wait()

    async def main() -> None:
        server = http_server.HttpServer(
            "ingress",
            cancellation.CancelOnDisconnect(application),
            settings.Address("127.0.0.1", 0),
            shutdown_timeout=datetime.timedelta(milliseconds=100),
        )
        await server.start()
        address = server.address
        callers = [
            socket.create_connection((address.host, address.port))
            for _ in range(CALLERS + 1)
        ]
        await asyncio.sleep(TOLERANCE_SECONDS)
        for number, sock in enumerate(callers):
            sock.sendall(_get(number + 1))
            if number < CALLERS:
                leave(sock)
        await asyncio.sleep(TOLERANCE_SECONDS)
        callers[-1].close()
        await server.stop()

    run(main())
    assert sent == [f"/{CALLERS + 1}"]
