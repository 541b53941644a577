"""Soak callers: each keeps its connection open and notes how it ends.

A caller sends one request after the other on the connection that it has,
also to a process that stops, until the process closes it or is gone. No
pool hides a connection that was reset.
"""

import asyncio
import time

import httptools
import soak_records
import soak_target

__all__ = ["CallerConnection", "encode"]

HEADER_PREFIX = soak_target.HEADER_PREFIX
HOST = "caja.example"
# A caller allows as much beyond the timeout before it gives up.
GIVE_UP_AFTER_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 1.0

Ending = soak_records.Ending


class CallerConnection(asyncio.Protocol):
    """Sends requests one at a time and notes how each ended.

    Example::

        connection = await CallerConnection.open(port)
        while connection is not None and connection.usable:
            await connection.send(exchange)
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._ended: asyncio.Future[None] | None = None
        self._exchange: soak_records.Exchange | None = None
        self._body: list[bytes] = []
        self._signature = ""
        self._used = False
        self._received = False
        self._closed = False

    @property
    def usable(self) -> bool:
        """Return whether another request may be sent."""
        transport = self._transport
        return (
            transport is not None
            and not self._closed
            and not transport.is_closing()
        )

    @classmethod
    async def open(cls, port: int) -> "CallerConnection | None":
        """Connect to a node, or return None."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    cls, "127.0.0.1", port
                )
        except (OSError, TimeoutError):
            return None
        return connection

    async def send(self, exchange: soak_records.Exchange) -> None:
        """Send one request and wait for its end, however it ends."""
        transport = self._transport
        assert transport is not None
        exchange.reused, self._used = self._used, True
        self._exchange = exchange
        self._body, self._signature, self._received = [], "", False
        self._ended = asyncio.get_running_loop().create_future()
        transport.write(encode(exchange))
        if not transport.get_write_buffer_size():
            exchange.whole_at = time.monotonic()
        try:
            async with asyncio.timeout(
                exchange.timeout + GIVE_UP_AFTER_SECONDS
            ):
                await self._ended
        except TimeoutError:
            self._end(Ending.GIVEN_UP)
            transport.abort()

    def close(self) -> None:
        """Close the connection; a request on it is left open."""
        self._exchange = None
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(0)
        self._transport = transport

    def resume_writing(self) -> None:
        if self._exchange is not None:
            self._exchange.whole_at = time.monotonic()

    def data_received(self, data: bytes) -> None:
        self._received = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._end(Ending.PARTIAL)
            if self._transport is not None:
                self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._closed = True
        if self._received:
            self._end(Ending.PARTIAL)
        else:
            self._end(Ending.CLOSED if exc is None else Ending.RESET)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the signature of the answer (parser callback)."""
        wanted = f"{HEADER_PREFIX}Response-Signature".lower().encode()
        if name.lower() == wanted:
            self._signature = value.decode()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the answer (parser callback)."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Note the whole answer (parser callback)."""
        exchange = self._exchange
        if exchange is None:
            return
        exchange.status = self._parser.get_status_code()
        exchange.body = b"".join(self._body)
        exchange.proof = self._signature
        self._end(Ending.ANSWERED)
        if not self._parser.should_keep_alive():
            self.close()

    def _end(self, ending: Ending) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            return
        exchange.ending = ending
        exchange.ended_at = time.monotonic()
        if self._ended is not None and not self._ended.done():
            self._ended.set_result(None)


def encode(exchange: soak_records.Exchange) -> bytes:
    """Return the bytes of a request."""
    method = "GET" if exchange.repeatable else "POST"
    body = b"" if exchange.repeatable else exchange.path.encode()
    lines = [
        f"{method} {exchange.path} HTTP/1.1",
        f"Host: {HOST}",
        f"{HEADER_PREFIX}Request-Id: {exchange.request_id}",
        f"{HEADER_PREFIX}Request-Timeout-Ms: {exchange.timeout * 1000:.0f}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body
