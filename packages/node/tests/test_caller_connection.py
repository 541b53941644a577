"""Connections of callers: limits, order, disconnects and shutdown."""

import asyncio
from collections import abc
import contextlib
import datetime
import json
import os
import socket
import struct
import time
import tracemalloc
import typing
from unittest import mock

import attrs
import pytest
import uvloop

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core.resources import caller_limits
from balsamramp_node.process import caller_connection
from balsamramp_node.process import caller_connection_log
from balsamramp_node.process import caller_messages
from balsamramp_node.process import caller_server
from balsamramp_node.process import decision_log
from balsamramp_node.process import shutdown_schedule

LIMITS = caller_limits.CallerLimits(
    name=caller_limits.NAME,
    header_max_bytes=200,
    body_max_bytes=100,
    header_timeout_ms=60_000,
    idle_timeout_ms=60_000,
)
GET = b"GET /a/b?x=%2F HTTP/1.1\r\nHost: caja.example\r\n\r\n"
# More than the socket buffers of both ends hold.
LARGE_BODY = bytes(32 * 1024 * 1024)
# Less than the kernel takes at once, more than a caller's small buffer.
MEDIUM_BYTES = 300_000
SMALL_CHUNKS = 200_000
REQUEST_ID_HEADER = "x-request-id"
LINGER_RESET = struct.pack("ii", 1, 0)


class _ListSink(decision_log.LineSink):
    def __init__(self) -> None:
        self.lines: list[dict[str, typing.Any]] = []

    def write(self, line: bytes) -> bool:
        self.lines.append(json.loads(line))
        return True


class _Environment:
    """A server whose handler responds once ``released`` is set."""

    def __init__(
        self, limits: caller_limits.CallerLimits, shutdown_seconds: float
    ) -> None:
        self.released = asyncio.Event()
        self.released.set()
        self.requests: list[caller_connection.RawRequest] = []
        self.cancelled: list[bytes] = []
        self.close = False
        self.metrics = metrics.Metrics()
        self._sink = _ListSink()
        self.server = caller_server.CallerServer(
            "callers",
            self._handle,
            lambda: limits,
            settings.Address("127.0.0.1", 0),
            (),
            shutdown_schedule.ShutdownSchedule(
                clock.SystemClock(),
                datetime.timedelta(seconds=shutdown_seconds),
            ),
            caller_connection_log.CallerConnectionLog(
                self.metrics,
                decision_log.DecisionLog(self._sink, clock.SystemClock()),
                REQUEST_ID_HEADER,
            ),
        )

    @property
    def connections(self) -> set[caller_connection.CallerConnection]:
        """Return the open connections of the server."""
        return self.server._connections

    def lines(self, event: str) -> list[dict[str, typing.Any]]:
        """Return the lines of the decision log with this event."""
        return [line for line in self._sink.lines if line["event"] == event]

    def unanswered(self) -> dict[str, int]:
        """Return the counter of unanswered requests, without zeros."""
        values = {
            reason.value: int(
                self.metrics.value(
                    "unanswered_requests_total", reason=reason.value
                )
            )
            for reason in caller_connection_log.UnansweredReason
        }
        return {name: value for name, value in values.items() if value}

    async def _handle(
        self, request: caller_connection.RawRequest
    ) -> caller_connection.RawResponse:
        self.requests.append(request)
        try:
            await self.released.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        if request.target == b"/fails":
            raise ValueError("the handler fails")
        if request.target == b"/large":
            return caller_connection.RawResponse(
                status=200, headers=[], body=LARGE_BODY, close=self.close
            )
        if request.target == b"/medium":
            return caller_connection.RawResponse(
                status=200, headers=[], body=bytes(MEDIUM_BYTES)
            )
        if request.target == b"/cancelled":
            raise asyncio.CancelledError
        if request.target == b"/unwritable":
            return caller_connection.RawResponse(
                status=200, headers=[(b"x", typing.cast(bytes, 1))], body=b""
            )
        return caller_connection.RawResponse(
            status=200,
            headers=[(b"x-path", request.target)],
            body=b"<" + request.body + b">",
            close=self.close,
        )

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the server."""
        address = self.server.address
        return await asyncio.open_connection(address.host, address.port)


Scenario = abc.Callable[[_Environment], abc.Awaitable[None]]


def _run(
    scenario: Scenario,
    shutdown_seconds: float = 10.0,
    run: abc.Callable[
        [abc.Coroutine[typing.Any, typing.Any, _Environment]], _Environment
    ] = asyncio.run,
    **limits: int,
) -> _Environment:
    async def main() -> _Environment:
        env = _Environment(attrs.evolve(LIMITS, **limits), shutdown_seconds)
        await env.server.start()
        try:
            async with asyncio.timeout(20):
                await scenario(env)
        finally:
            env.released.set()
            await env.server.stop()
        return env

    return run(main())


async def _read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, bytes, bytes]:
    """Return the status, the head and the body of one response."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return int(head.split()[1]), head, await reader.readexactly(length)


async def _wait_until(condition: abc.Callable[[], object]) -> None:
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.005)


def test_connection_is_reused_for_several_requests() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        for _ in range(3):
            writer.write(GET)
            status, head, body = await _read_response(reader)
            assert (status, body) == (200, b"<>")
            assert b"x-path: /a/b?x=%2F\r\n" in head
            assert b"connection: close" not in head

    assert len(_run(scenario).requests) == 3


def test_body_with_content_length_or_chunked_encoding() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n"
        )
        await asyncio.sleep(0.01)
        writer.write(b"body")
        assert (await _read_response(reader))[2] == b"<body>"
        writer.write(
            b"PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"
        )
        assert (await _read_response(reader))[2] == b"<body>"

    _run(scenario)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        count = 3 * caller_connection.PIPELINED_REQUESTS_MAX
        for number in range(count):
            writer.write(b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n" % number)
        for number in range(count):
            _, head, _ = await _read_response(reader)
            assert b"x-path: /%d\r\n" % number in head

    _run(scenario)


def test_expect_continue_receives_an_interim_response() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(
            b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n"
            b"content-length: 2\r\n\r\n"
        )
        interim = await reader.readuntil(b"\r\n\r\n")
        assert interim.startswith(b"HTTP/1.1 100 ")
        writer.write(b"ab")
        assert (await _read_response(reader))[2] == b"<ab>"

    _run(scenario)


def test_unfinished_headers_over_the_limit_are_refused() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(b"GET / HTTP/1.1\r\nx: " + b"y" * 300)
        assert (await _read_response(reader))[0] == 431
        assert await reader.read() == b""

    assert not _run(scenario).requests


def test_complete_headers_over_the_limit_are_refused() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(b"GET / HTTP/1.1\r\nx: " + b"y" * 300 + b"\r\n\r\n")
        assert (await _read_response(reader))[0] == 431
        assert await reader.read() == b""

    assert not _run(scenario).requests


def test_trailers_are_not_added_to_the_headers() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(
            b"PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n0\r\nx-late: 1\r\n\r\n"
        )
        assert (await _read_response(reader))[2] == b"<ab>"

    (request,) = _run(scenario).requests
    assert b"x-late" not in dict(request.headers)


@pytest.mark.parametrize(
    "start",
    [b"0\r\nx: ", b"1;", b"0\r\n" + b"x: y\r\n" * 10, b"1;x=y\r\na\r\n1;"],
)
def test_endless_trailers_and_chunk_extensions_are_refused(
    start: bytes,
) -> None:
    """Guards against bytes without end after the headers of a request."""

    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(
            b"PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        await asyncio.sleep(0.05)
        writer.write(start)
        for _ in range(20):
            await asyncio.sleep(0.002)
            writer.write(b"y" * 50)
        assert (await _read_response(reader))[0] == 431
        assert await reader.read() == b""

    assert not _run(scenario).requests


def test_body_in_chunks_of_one_byte_takes_little_memory() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(
            b"PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        await _wait_until(lambda: env.connections)
        (connection,) = env.connections
        await _wait_until(lambda: connection._reader._partial)
        tracemalloc.start()
        writer.write(b"1\r\ny\r\n" * SMALL_CHUNKS)
        await _wait_until(
            lambda: (
                connection._reader._partial
                and connection._reader._partial.body.size == SMALL_CHUNKS
            )
        )
        kept_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert kept_bytes < 4 * SMALL_CHUNKS
        writer.write(b"0\r\n\r\n")
        assert (await _read_response(reader))[0] == 200

    _run(scenario, body_max_bytes=SMALL_CHUNKS)


def test_body_in_one_read_with_the_headers_does_not_count_as_header() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(b"POST / HTTP/1.1\r\nhost: a\r\n")
        await asyncio.sleep(0.05)
        writer.write(b"content-length: 300\r\n\r\n" + b"y" * 300)
        assert (await _read_response(reader))[0] == 200

    _run(scenario, body_max_bytes=1000)


def test_body_over_the_limit_is_refused() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n"
        writer.write(head + b"y" * 101)
        assert (await _read_response(reader))[0] == 413
        assert await reader.read() == b""

    assert not _run(scenario).requests


def test_unfinished_headers_time_out() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(b"GET / HTTP/1.1\r\nhost:")
        assert (await _read_response(reader))[0] == 408
        assert await reader.read() == b""

    _run(scenario, header_timeout_ms=50)


def test_unfinished_body_times_out() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n"
        )
        assert (await _read_response(reader))[0] == 408

    _run(scenario, idle_timeout_ms=50)


def test_idle_connection_is_closed() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(GET)
        await _read_response(reader)
        assert await reader.read() == b""

    _run(scenario, idle_timeout_ms=50)


def test_connection_with_a_request_in_progress_is_not_idle() -> None:
    async def scenario(env: _Environment) -> None:
        env.released.clear()
        reader, writer = await env.connect()
        writer.write(GET)
        await asyncio.sleep(0.2)
        env.released.set()
        assert (await _read_response(reader))[0] == 200

    _run(scenario, idle_timeout_ms=50)


def test_malformed_request_is_refused() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(b"\0\1\2 nonsense\r\n\r\n")
        assert (await _read_response(reader))[0] == 400
        assert await reader.read() == b""

    _run(scenario)


def test_data_after_a_malformed_request_is_ignored() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(GET + b"nonsense\r\n\r\n" + GET)
        assert (await _read_response(reader))[0] == 200
        assert (await _read_response(reader))[0] == 400
        assert await reader.read() == b""

    assert len(_run(scenario).requests) == 1


def test_request_is_cancelled_when_its_caller_disconnects() -> None:
    async def scenario(env: _Environment) -> None:
        env.released.clear()
        _, writer = await env.connect()
        writer.write(GET)
        await _wait_until(lambda: env.requests)
        writer.close()
        await _wait_until(lambda: env.cancelled)

    _run(scenario)


def test_unexpected_error_of_the_handler_returns_502() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(b"GET /fails HTTP/1.1\r\nhost: a\r\n\r\n")
        assert (await _read_response(reader))[0] == 502

    env = _run(scenario)
    assert env.metrics.value("handler_failures_total", cause="exception") == 1


def test_response_to_head_has_no_body() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(b"HEAD / HTTP/1.1\r\nhost: a\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"content-length: 2\r\n" in head
        writer.write(GET)
        assert (await _read_response(reader))[2] == b"<>"

    _run(scenario)


def test_response_with_close_ends_the_connection() -> None:
    async def scenario(env: _Environment) -> None:
        env.close = True
        reader, writer = await env.connect()
        writer.write(GET)
        _, head, _ = await _read_response(reader)
        assert b"connection: close\r\n" in head
        assert await reader.read() == b""

    _run(scenario)


def test_stop_completes_requests_in_progress() -> None:
    async def scenario(env: _Environment) -> None:
        env.released.clear()
        idle, _ = await env.connect()
        reader, writer = await env.connect()
        writer.write(GET)
        await _wait_until(lambda: env.requests)
        stopping = asyncio.create_task(env.server.stop())
        assert await idle.read() == b""
        env.released.set()
        status, head, _ = await _read_response(reader)
        assert status == 200
        assert b"connection: close\r\n" in head
        await stopping

    _run(scenario)


def test_connection_that_is_not_accepted_yet_is_served_on_stop() -> None:
    async def scenario(env: _Environment) -> None:
        env.released.clear()
        address = env.server.address
        sock = socket.create_connection((address.host, address.port))
        sock.sendall(GET)
        sock.setblocking(False)
        stopping = asyncio.create_task(env.server.stop())
        reader, writer = await asyncio.open_connection(sock=sock)
        await _wait_until(lambda: env.requests)
        await asyncio.sleep(0.05)
        assert not stopping.done()
        env.released.set()
        status, head, _ = await _read_response(reader)
        assert status == 200
        assert b"connection: close\r\n" in head
        writer.close()
        await stopping

    for run in (asyncio.run, uvloop.run):
        _run(scenario, run=run)


def test_new_connection_is_kept_for_its_first_request_on_stop() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        stopping = asyncio.create_task(env.server.stop())
        await asyncio.sleep(0.1)
        assert not stopping.done()
        writer.write(GET)
        status, head, _ = await _read_response(reader)
        assert status == 200
        assert b"connection: close\r\n" in head
        writer.close()
        await stopping

    _run(scenario)


def test_stop_completes_a_request_whose_body_is_still_arriving() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n"
        )
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(env.server.stop())
        await asyncio.sleep(0.05)
        writer.write(b"ab")
        assert (await _read_response(reader))[2] == b"<ab>"
        await stopping

    _run(scenario)


def test_stop_cancels_requests_after_the_shutdown_timeout() -> None:
    async def scenario(env: _Environment) -> None:
        env.released.clear()
        reader, writer = await env.connect()
        writer.write(GET)
        await _wait_until(lambda: env.requests)
        await env.server.stop()
        await _wait_until(lambda: env.cancelled)

    _run(scenario, shutdown_seconds=0.05)


def _request(path: bytes) -> bytes:
    return b"GET %b HTTP/1.1\r\nhost: a\r\nx-request-id: r1\r\n\r\n" % path


def test_answered_requests_are_not_recorded() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        for _ in range(2):
            writer.write(GET)
            await _read_response(reader)
        writer.close()

    env = _run(scenario)
    assert env.unanswered() == {}
    assert env.lines("unanswered") == []


def test_unanswered_request_of_a_caller_that_closes_is_recorded() -> None:
    async def scenario(env: _Environment) -> None:
        env.released.clear()
        _, writer = await env.connect()
        writer.write(_request(b"/") + GET.replace(b"GET", b"DELETE"))
        await _wait_until(lambda: env.requests)
        writer.close()
        await _wait_until(lambda: len(env.lines("unanswered")) == 2)

    env = _run(scenario)
    assert env.unanswered() == {"caller-closed": 2}
    handled, waiting = env.lines("unanswered")
    assert handled["request_id"] == "r1"
    assert handled["reason"] == "caller-closed"
    assert handled["milliseconds"] >= 0
    assert handled["started"] is True
    assert waiting["started"] is False


def test_unanswered_request_of_a_caller_that_resets_is_recorded() -> None:
    async def scenario(env: _Environment) -> None:
        env.released.clear()
        _, writer = await env.connect()
        writer.write(_request(b"/"))
        await _wait_until(lambda: env.requests)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()
        await _wait_until(lambda: env.lines("unanswered"))

    assert _run(scenario).unanswered() == {"transport-error": 1}


def test_unanswered_request_that_is_aborted_on_stop_is_recorded() -> None:
    async def scenario(env: _Environment) -> None:
        env.released.clear()
        idle, idle_writer = await env.connect()
        _, writer = await env.connect()
        writer.write(_request(b"/"))
        await _wait_until(lambda: env.requests)
        await env.server.stop()
        assert await idle.read() == b""
        idle_writer.close()
        await _wait_until(lambda: env.lines("unanswered"))
        (drained,) = env.lines("callers_drained")
        assert (drained["open"], drained["busy"]) == (2, 1)
        assert drained["aborted"] == 1

    assert _run(scenario, shutdown_seconds=0.05).unanswered() == {
        "shutdown": 1
    }


def test_response_that_cannot_be_written_is_replaced_by_a_failure() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(_request(b"/unwritable") + GET)
        assert (await _read_response(reader))[0] == 502
        assert (await _read_response(reader))[0] == 200

    env = _run(scenario)
    assert env.unanswered() == {}
    assert (
        env.metrics.value("handler_failures_total", cause="invalid-response")
        == 1
    )


def test_request_is_answered_when_its_handler_is_cancelled() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(_request(b"/cancelled") + GET)
        assert (await _read_response(reader))[0] == 502
        assert (await _read_response(reader))[0] == 200
        writer.write(GET)
        assert (await _read_response(reader))[0] == 200

    env = _run(scenario, idle_timeout_ms=500)
    assert env.unanswered() == {}
    assert env.metrics.value("handler_failures_total", cause="cancelled") == 1


def test_unanswered_request_that_the_idle_timer_ends_is_recorded() -> None:
    async def scenario(env: _Environment) -> None:
        _, writer = await env.connect()
        await _wait_until(lambda: env.connections)
        (connection,) = env.connections
        connection.pause_writing()
        writer.write(_request(b"/"))
        await _wait_until(lambda: env.lines("unanswered"))

    assert _run(scenario, idle_timeout_ms=50).unanswered() == {
        "idle-timeout": 1
    }


def _send_and_block(
    writer: asyncio.StreamWriter, data: bytes, blocked_seconds: float
) -> None:
    """Send ``data`` and then block the event loop, as it reads sockets."""
    reading, writing = socket.socketpair()
    loop = asyncio.get_running_loop()

    def block() -> None:
        loop.remove_reader(reading)
        reading.close()
        sock = writer.get_extra_info("socket")
        with socket.socket(fileno=os.dup(sock.fileno())) as duplicate:
            duplicate.send(data)
        time.sleep(blocked_seconds)

    loop.add_reader(reading, block)
    writing.send(b"x")
    writing.close()


def test_request_that_waits_unread_is_answered_after_a_late_idle_timer() -> (
    None
):
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(GET)
        await _read_response(reader)
        _send_and_block(writer, GET, 0.2)
        assert (await _read_response(reader))[0] == 200

    _run(scenario, run=uvloop.run, idle_timeout_ms=100)


def test_request_that_waits_unread_is_answered_after_a_late_header_timer() -> (
    None
):
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(GET[:10])
        await asyncio.sleep(0.02)
        _send_and_block(writer, GET[10:], 0.2)
        assert (await _read_response(reader))[0] == 200

    _run(scenario, run=uvloop.run, header_timeout_ms=100)


def test_request_that_waits_unread_when_the_server_stops_is_answered() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(GET)
        await _read_response(reader)
        stopping = asyncio.create_task(env.server.stop())
        writer.write(GET)
        status, head, _ = await _read_response(reader)
        assert status == 200
        assert b"connection: close\r\n" in head
        await stopping

    _run(scenario)


def test_response_is_complete_though_its_caller_has_sent_more() -> None:
    async def scenario(env: _Environment) -> None:
        env.close = True
        reader, writer = await env.connect()
        writer.write(_request(b"/large"))
        await reader.readexactly(1)
        writer.write(GET)
        _, _, body = await _read_response(reader)
        assert body == LARGE_BODY
        assert await reader.read() == b""

    for run in (asyncio.run, uvloop.run):
        assert len(_run(scenario, run=run).requests) == 1


def test_response_is_complete_though_its_caller_has_sent_half_a_request() -> (
    None
):
    async def scenario(env: _Environment) -> None:
        env.close = True
        reader, writer = await env.connect()
        writer.write(_request(b"/large") + GET[:10])
        await reader.readexactly(1)
        writer.write(GET[10:])
        _, _, body = await _read_response(reader)
        assert body == LARGE_BODY
        assert await reader.read() == b""

    for run in (asyncio.run, uvloop.run):
        assert len(_run(scenario, run=run).requests) == 1


def test_rejection_arrives_though_its_caller_goes_on_sending() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 200000\r\n\r\n"
        writer.write(head + bytes(100_000))
        for _ in range(10):
            await asyncio.sleep(0.01)
            writer.write(bytes(10_000))
        assert (await _read_response(reader))[0] == 413
        assert await reader.read() == b""

    for run in (asyncio.run, uvloop.run):
        assert not _run(scenario, run=run).requests


@pytest.mark.parametrize("pause_seconds", [0.7, 1.5])
@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_rejection_arrives_after_a_pause_of_its_caller(
    run: typing.Any, pause_seconds: float
) -> None:
    """Guards against a close while a late caller is still sending."""

    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 200000\r\n\r\n"
        writer.write(head + bytes(100_000))
        await asyncio.sleep(0.05)
        # The server shares the loop: its timers are late too.
        time.sleep(pause_seconds)  # noqa: ASYNC251
        for _ in range(5):
            writer.write(bytes(10_000))
            await asyncio.sleep(0.2)
        assert (await _read_response(reader))[0] == 413
        assert await reader.read() == b""

    assert not _run(scenario, run=run).requests


def _connect_slowly(env: _Environment) -> socket.socket:
    """Return a connection whose kernel takes little."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
    sock.connect((env.server.address.host, env.server.address.port))
    sock.setblocking(False)
    return sock


async def _read_body(sock: socket.socket, size: int, seconds: float) -> int:
    """Read a body of ``size`` evenly within ``seconds``; return its size."""
    loop = asyncio.get_running_loop()
    received = b""
    body = b""
    with contextlib.suppress(ConnectionError):
        while len(body) < size:
            data = await loop.sock_recv(sock, size // 20)
            if not data:
                break
            received += data
            body = received.partition(b"\r\n\r\n")[2]
            await asyncio.sleep(seconds * len(data) / size)
    return min(len(body), size)


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("ends_by", ["stop", "idle timeout"])
def test_response_in_the_kernel_is_not_lost_with_its_connection(
    run: typing.Any, ends_by: str
) -> None:
    """Guards against the close of an idle connection that is still read.

    The kernel has taken the whole response, so the server seems to be done.
    What the caller sends next would reset a closed connection.
    """

    async def scenario(env: _Environment) -> None:
        loop = asyncio.get_running_loop()
        with _connect_slowly(env) as sock:
            await loop.sock_sendall(sock, _request(b"/medium"))
            reading = asyncio.create_task(_read_body(sock, MEDIUM_BYTES, 1.5))
            await asyncio.sleep(0.1)
            stopping = None
            if ends_by == "stop":
                stopping = asyncio.create_task(env.server.stop())
            await asyncio.sleep(0.7)
            with contextlib.suppress(ConnectionError):
                await loop.sock_sendall(sock, GET)
            assert await reading == MEDIUM_BYTES
            if stopping is not None:
                sock.close()
                await stopping

    assert _run(scenario, run=run, idle_timeout_ms=300).unanswered() == {}


def test_caller_that_never_closes_does_not_hold_its_connection() -> None:
    async def scenario(env: _Environment) -> None:
        env.close = True
        reader, writer = await env.connect()
        writer.write(GET)
        await _read_response(reader)
        await _wait_until(lambda: not env.connections)
        writer.close()

    for run in (asyncio.run, uvloop.run):
        _run(scenario, run=run)


def test_caller_that_stops_reading_does_not_hold_its_connection() -> None:
    async def scenario(env: _Environment) -> None:
        env.close = True
        reader, writer = await env.connect()
        writer.write(_request(b"/large"))
        await reader.readexactly(1)
        await _wait_until(lambda: not env.connections)
        writer.close()

    for run in (asyncio.run, uvloop.run):
        _run(scenario, run=run, idle_timeout_ms=200)


async def _read_slowly(reader: asyncio.StreamReader, seconds: float) -> bytes:
    """Read one large response in parts, within about ``seconds``."""
    await reader.readuntil(b"\r\n\r\n")
    parts = 16
    body = b""
    for _ in range(parts):
        await asyncio.sleep(seconds / parts)
        body += await reader.readexactly(len(LARGE_BODY) // parts)
    return body


def test_connection_is_not_idle_while_its_caller_reads_a_response() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(_request(b"/large") + GET)
        assert await _read_slowly(reader, 1.2) == LARGE_BODY
        assert (await _read_response(reader))[0] == 200
        writer.write(_request(b"/large"))
        assert await _read_slowly(reader, 1.2) == LARGE_BODY
        writer.write(GET)
        assert (await _read_response(reader))[0] == 200

    for run in (asyncio.run, uvloop.run):
        assert _run(scenario, run=run, idle_timeout_ms=500).unanswered() == {}


def test_kept_connection_of_a_caller_that_stops_reading_is_idle() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(_request(b"/large") + GET)
        await reader.readexactly(1)
        await _wait_until(lambda: not env.connections)
        writer.close()

    for run in (asyncio.run, uvloop.run):
        env = _run(scenario, run=run, idle_timeout_ms=200)
        assert env.unanswered() == {"idle-timeout": 1}


def test_pipelined_headers_are_not_charged_for_the_body_before_them() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        body = b"y" * 300
        writer.write(
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 300\r\n\r\n"
        )
        await asyncio.sleep(0.05)
        writer.write(body + GET[:10])
        assert (await _read_response(reader))[0] == 200
        writer.write(GET[10:])
        assert (await _read_response(reader))[0] == 200

    _run(scenario, body_max_bytes=1000)


def test_response_that_is_cut_off_on_stop_is_recorded() -> None:
    async def scenario(env: _Environment) -> None:
        reader, writer = await env.connect()
        writer.write(_request(b"/large"))
        await reader.readexactly(1)
        await env.server.stop()
        await _wait_until(lambda: env.lines("unanswered"))
        writer.close()

    env = _run(scenario, shutdown_seconds=0.05)
    assert env.unanswered() == {"shutdown": 1}
    (line,) = env.lines("unanswered")
    assert line["request_id"] == "r1"
    assert env.lines("callers_drained")[0]["aborted"] == 1


def test_connection_ends_when_its_response_cannot_be_written(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against callers that wait for a response that never comes."""

    async def scenario(env: _Environment) -> None:
        env.released.set()
        reader, writer = await env.connect()
        with mock.patch.object(
            caller_messages.EncodedResponse, "join", side_effect=MemoryError
        ):
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            async with asyncio.timeout(5):
                with contextlib.suppress(ConnectionError):
                    assert not await reader.read()
        writer.close()

    _run(scenario)
    assert "MemoryError" in caplog.text
