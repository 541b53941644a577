"""HTTP/1.1 messages for the stand-ins, on asyncio streams."""

import asyncio
from collections import abc
import contextlib

import attrs

__all__ = ["Message", "Server", "encode", "read_message"]


@attrs.define(kw_only=True)
class Message:
    """One request or response; header names are in lower case."""

    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start[1])


Handler = abc.Callable[[Message], abc.Awaitable[bytes | None]]


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with the length of its body."""
    lines = [start]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None if the connection ends before it.

    Raises asyncio.IncompleteReadError if it ends within the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    first, second, third = (lines[0] + "  ").split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(
        start=(first, second, third.strip()), headers=headers, body=body
    )


class Server:
    """Answers the requests of each connection one after the other.

    ``handler`` returns the bytes of a response, or None to close. It is
    cancelled when the connection closes.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on ``port`` of ``host``."""
        self._server = await asyncio.start_server(
            self._accept, host, port, backlog=1024
        )

    async def stop(self) -> None:
        """Close the port and all connections."""
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError
            ):
                await self._serve(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        following = asyncio.ensure_future(read_message(reader))
        try:
            while True:
                request = await following
                if request is None:
                    return
                following = asyncio.ensure_future(read_message(reader))
                answering = asyncio.ensure_future(self._handler(request))
                await asyncio.wait(
                    (answering, following),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not answering.done() and _has_ended(following):
                    answering.cancel()
                    await asyncio.gather(answering, return_exceptions=True)
                    return
                answer = await answering
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)


def _has_ended(reading: "asyncio.Future[Message | None]") -> bool:
    """Return whether the peer has closed its connection."""
    if not reading.done():
        return False
    return reading.exception() is not None or reading.result() is None
