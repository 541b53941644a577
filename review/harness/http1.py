"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
from collections import abc
import contextlib

import attrs

__all__ = [
    "Connection",
    "Request",
    "Response",
    "Server",
    "exchange",
    "read_request",
]

Headers = dict[str, str]
LINE_MAX_BYTES = 64 * 1024


@attrs.frozen
class Request:
    """One complete request; header names are in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen
class Response:
    """One complete response; header names are in lower case."""

    status: int
    headers: Headers = attrs.field(factory=dict)
    body: bytes = b""

    def encode(self) -> bytes:
        """Return the bytes of the response, with its length."""
        lines = [f"HTTP/1.1 {self.status} Status"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines.append(f"content-length: {len(self.body)}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + self.body


Handler = abc.Callable[[Request], abc.Awaitable[Response]]
# Serves one connection until it ends.
ConnectionHandler = abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], abc.Awaitable[None]
]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    first = (await reader.readuntil(b"\r\n")).decode("latin-1").rstrip()
    headers: Headers = {}
    while True:
        line = (await reader.readuntil(b"\r\n")).decode("latin-1").rstrip()
        if not line:
            return first, headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


async def _read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    if "chunked" not in headers.get("transfer-encoding", "").lower():
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readuntil(b"\r\n")
        if not size:
            return body


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request of a connection.

    Raises asyncio.IncompleteReadError at the end of the connection.
    """
    first, headers = await _read_head(reader)
    method, target, _ = first.split(" ")
    return Request(method, target, headers, await _read_body(reader, headers))


class Server:
    """Listens on one address and answers requests with ``handler``.

    Instead of it, ``serve`` can handle whole connections. ``stop`` resets
    what is open, like the end of a process.
    """

    def __init__(
        self,
        handler: Handler | None = None,
        serve: ConnectionHandler | None = None,
    ) -> None:
        self._handler = handler
        self._serve_connection = serve or self._answer
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host`` and ``port``."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=LINE_MAX_BYTES, backlog=512
        )

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._serve_connection(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        assert self._handler is not None
        while True:
            request = await read_request(reader)
            response = await self._handler(request)
            writer.write(response.encode())
            await writer.drain()


class Connection:
    """A client's connection, for one request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, host: str, port: int) -> "Connection":
        """Connect to a server; raises OSError."""
        reader, writer = await asyncio.open_connection(host, port)
        return cls(reader, writer)

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes = b""
    ) -> Response:
        """Send a request and return its response.

        Raises ConnectionError or asyncio.IncompleteReadError if there is
        no complete response.
        """
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method not in ("GET", "DELETE"):
            lines.append(f"content-length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self._writer.write(head + body)
        first, answered = await _read_head(self._reader)
        status = int(first.split(" ")[1])
        content = await _read_body(self._reader, answered)
        return Response(status, answered, content)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def exchange(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: Headers,
    body: bytes = b"",
) -> Response:
    """Send one request on a new connection and return its response."""
    connection = await Connection.open(*address)
    try:
        return await connection.send(method, target, headers, body)
    finally:
        with contextlib.suppress(OSError):
            connection.close()
