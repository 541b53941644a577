"""Loopback proxy: a connection between two processes that can be spoilt."""

import asyncio
from collections import abc
import contextlib
import enum

import attrs
import narrow_link

__all__ = ["Direction", "LoopbackProxy"]

CHUNK_BYTES = 64 * 1024


class Direction(enum.Enum):
    """Which way bytes go: with the caller's requests, or back to it."""

    THERE = "there"
    BACK = "back"


@attrs.define(eq=False)
class _Link:
    """One connection through the proxy; ``silent`` ways swallow bytes."""

    writers: list[asyncio.StreamWriter]
    silent: set[Direction] = attrs.field(factory=set)


class LoopbackProxy:
    """Passes connections on to one port of loopback.

    Bytes that are held back arrive when the direction is open again, as
    they do after a cut of the network. ``links`` slow a direction down;
    then a connection has up to ``chunk_bytes`` on its way.
    """

    def __init__(
        self,
        port_behind: int,
        links: abc.Mapping[Direction, narrow_link.NarrowLink] | None = None,
        chunk_bytes: int = CHUNK_BYTES,
    ) -> None:
        self.links = dict(links or {})
        self._chunk_bytes = chunk_bytes
        self.delay = 0.0
        self.refusing = False
        self.port = 0
        self._port_behind = port_behind
        self._open = {way: asyncio.Event() for way in Direction}
        self._links: set[_Link] = set()
        self._server: asyncio.Server | None = None
        for event in self._open.values():
            event.set()

    async def start(self, port: int = 0) -> None:
        """Listen on ``port`` of loopback, or on a free one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=self._chunk_bytes
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def hold(self, *ways: Direction) -> None:
        """Hold back what goes these ways, in new connections too."""
        for way in ways:
            self._open[way].clear()

    def heal(self) -> None:
        """Pass everything on at once; silent connections stay silent."""
        self.delay = 0.0
        self.links.clear()
        self.refusing = False
        for event in self._open.values():
            event.set()

    def blackhole(self, *ways: Direction) -> int:
        """Swallow all further bytes of the connections that there are.

        By default both ways; return how many connections there are.
        """
        for link in self._links:
            link.silent.update(ways or Direction)
        return len(self._links)

    def reset(self) -> None:
        """Reset the connections that there are."""
        for link in list(self._links):
            _abort(link)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refusing:
            writer.transport.abort()
            return
        try:
            behind = await asyncio.open_connection(
                "127.0.0.1", self._port_behind, limit=self._chunk_bytes
            )
        except OSError:
            writer.transport.abort()
            return
        link = _Link([writer, behind[1]])
        self._links.add(link)
        try:
            await asyncio.gather(
                self._pump(link, Direction.THERE, reader, behind[1]),
                self._pump(link, Direction.BACK, behind[0], writer),
            )
        finally:
            self._links.discard(link)
            _abort(link)

    async def _pump(
        self,
        link: _Link,
        way: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            async for data in _chunks(reader, self._chunk_bytes):
                if way in self.links:
                    await self.links[way].carry(len(data))
                if self.delay:
                    await asyncio.sleep(self.delay)
                await self._open[way].wait()
                if way in link.silent:
                    continue
                writer.write(data)
                await writer.drain()
        await self._open[way].wait()
        if way not in link.silent and not writer.is_closing():
            # The other direction goes on until its own end.
            with contextlib.suppress(OSError):
                writer.write_eof()


async def _chunks(
    reader: asyncio.StreamReader, chunk_bytes: int
) -> abc.AsyncIterator[bytes]:
    while data := await reader.read(chunk_bytes):
        yield data


def _abort(link: _Link) -> None:
    for writer in link.writers:
        writer.transport.abort()
