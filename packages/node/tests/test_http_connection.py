"""A response kept in many small parts takes many times its size."""

import asyncio
import datetime
import tracemalloc

import pytest

from balsamramp_node.process import http_connection

TIMEOUT = datetime.timedelta(seconds=20)
PAUSE_MAX_SECONDS = 0.2
BODY_SECONDS = 1.0
BODY_BYTES = 1_000_000
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNKS = b"2\r\nxy\r\n" * 1000
# The body as it is received, and as it is returned.
RECEIVING_MAX_BYTES = 3 * BODY_BYTES
KEPT_MAX_BYTES = BODY_BYTES * 3 // 2


class _Transport(asyncio.Transport):
    def __init__(self, connection: http_connection.HttpConnection) -> None:
        super().__init__()
        self._connection = connection

    def abort(self) -> None:
        asyncio.get_running_loop().call_soon(
            self._connection.connection_lost, None
        )

    close = abort

    def write(self, data: bytes) -> None:  # type: ignore[override]
        return

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return False


async def _receive(
    connection: http_connection.HttpConnection,
) -> http_connection.HttpResponse:
    connection.connection_made(_Transport(connection))
    task = asyncio.create_task(
        connection.send_request(b"request", False, lambda _: True, TIMEOUT)
    )
    await asyncio.sleep(0)
    connection.data_received(HEAD)
    for _ in range(BODY_BYTES // 2000):
        connection.data_received(CHUNKS)
    connection.data_received(b"0\r\n\r\n")
    return await task


def test_body_of_small_chunks_takes_little_memory() -> None:
    async def main() -> tuple[http_connection.HttpResponse, int, int]:
        connection = http_connection.HttpConnection(BODY_BYTES)
        tracemalloc.start()
        response = await _receive(connection)
        kept_bytes, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert connection.reusable
        return response, kept_bytes, peak_bytes

    response, kept_bytes, peak_bytes = asyncio.run(main())
    assert response.body == b"xy" * (BODY_BYTES // 2)
    assert peak_bytes < RECEIVING_MAX_BYTES
    assert kept_bytes < KEPT_MAX_BYTES


def test_body_of_a_lost_response_is_dropped() -> None:
    async def main() -> int:
        connection = http_connection.HttpConnection(BODY_BYTES)
        tracemalloc.start()
        connection.connection_made(_Transport(connection))
        task = asyncio.create_task(
            connection.send_request(b"request", False, lambda _: True, TIMEOUT)
        )
        await asyncio.sleep(0)
        connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
        while not task.done():
            connection.data_received(b"x" * 10_000)
            await asyncio.sleep(0)
        with pytest.raises(http_connection.ResponseError):
            await task
        await asyncio.sleep(0)
        kept_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert not connection.reusable
        return kept_bytes

    assert asyncio.run(main()) < BODY_BYTES // 2


async def _receive_slowly(
    pauses: list[float],
) -> http_connection.HttpResponse:
    """Receive a body in parts, one after each of ``pauses``."""
    connection = http_connection.HttpConnection(BODY_BYTES)
    connection.connection_made(_Transport(connection))
    task = asyncio.create_task(
        connection.send_request(
            b"request",
            False,
            lambda _: True,
            datetime.timedelta(seconds=PAUSE_MAX_SECONDS),
            datetime.timedelta(seconds=BODY_SECONDS),
        )
    )
    await asyncio.sleep(0)
    length = str(len(pauses)).encode()
    connection.data_received(
        b"HTTP/1.1 200 OK\r\ncontent-length: " + length + b"\r\n\r\n"
    )
    for pause in pauses:
        await asyncio.sleep(pause)
        connection.data_received(b"x")
    return await task


def test_response_that_is_still_arriving_is_not_dropped() -> None:
    response = asyncio.run(_receive_slowly([PAUSE_MAX_SECONDS / 2] * 5))
    assert response.body == b"xxxxx"


@pytest.mark.parametrize(
    "pauses",
    [[PAUSE_MAX_SECONDS * 2], [PAUSE_MAX_SECONDS / 2] * 30],
    ids=["stalled", "endless"],
)
def test_response_that_stalls_or_never_ends_is_dropped(
    pauses: list[float],
) -> None:
    with pytest.raises(TimeoutError):
        asyncio.run(_receive_slowly(pauses))
