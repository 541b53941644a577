"""HTTP/1.1 on asyncio streams, for clients and servers of a case."""

import asyncio

import attrs

__all__ = ["PIECE_BYTES", "Message", "encode", "read_message"]

PIECE_BYTES = 64 * 1024
BODILESS_STATUSES = (b"204", b"304")


@attrs.frozen
class Message:
    """A request or a response; header names are in lower case."""

    start: bytes
    headers: dict[bytes, bytes]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split()[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split()[0].decode()

    @property
    def path(self) -> str:
        """Return the path and the query of a request."""
        return self.start.split()[1].decode("latin-1")

    def header(self, name: str) -> str:
        """Return a header, empty if it is absent."""
        return self.headers.get(name.lower().encode(), b"").decode("latin-1")


async def read_message(
    reader: asyncio.StreamReader,
    is_response: bool = False,
    keeps_body: bool = True,
) -> Message:
    """Return the next message; raises EOFError where none follows whole."""
    lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
        body = await _read_chunks(reader)
    elif b"content-length" in headers and keeps_body:
        body = await reader.readexactly(int(headers[b"content-length"]))
    elif b"content-length" in headers:
        await _skip(reader, int(headers[b"content-length"]))
    elif is_response and lines[0].split()[1] not in BODILESS_STATUSES:
        body = await reader.read()
    return Message(lines[0], headers, body)


async def _skip(reader: asyncio.StreamReader, size: int) -> None:
    while size:
        data = await reader.read(min(size, PIECE_BYTES))
        if not data:
            raise EOFError("the message ends early")
        size -= len(data)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.partition(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(data[:-2])


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with the length of its body."""
    lines = [start]
    for name, value in headers.items():
        lines.append(f"{name}: {value}")
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
