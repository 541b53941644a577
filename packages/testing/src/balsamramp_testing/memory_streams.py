"""Memory streams: byte streams between nodes without sockets.

The real stream client and stream server run on them, in the time of the
loop, over links of a memory network that can be cut, delay or go silent.
"""

import asyncio
from collections import abc
import typing

from balsamramp_core import settings
from balsamramp_node import stream_server
from balsamramp_testing import memory_network

__all__ = ["MemoryConnector", "MemoryWriter"]


class MemoryWriter:
    """Writing end of one direction; stands in for a StreamWriter."""

    def __init__(
        self,
        network: memory_network.MemoryNetwork,
        ends: tuple[str, str],
        reader: asyncio.StreamReader,
    ) -> None:
        self._network = network
        self._sender, self._receiver = ends
        self._reader = reader
        self._closed = False
        self.silent = False
        self.other: MemoryWriter | None = None

    @property
    def transport(self) -> typing.Self:
        """Return what can be aborted."""
        return self

    def write(self, data: bytes) -> None:
        """Deliver ``data`` after the delay of the network."""
        if self._closed:
            return
        loop = asyncio.get_running_loop()
        seconds = self._network.delay.total_seconds()
        loop.call_later(seconds, self._deliver, data)

    def go_silent(self) -> None:
        """Lose all that is written at either end from now on."""
        self.silent = True
        if self.other is not None:
            self.other.silent = True

    def is_closing(self) -> bool:
        """Tell whether the connection is closed at this end."""
        return self._closed

    def close(self) -> None:
        """Close both directions; the other end reads what is on its way."""
        if self._closed:
            return
        self._closed = True
        loop = asyncio.get_running_loop()
        seconds = self._network.delay.total_seconds()
        loop.call_later(seconds, self._end)

    def abort(self) -> None:
        """Close at once."""
        self.close()

    async def wait_closed(self) -> None:
        """Return when the connection is closed."""

    def _passes(self) -> bool:
        if self.silent:
            return False
        return self._network.reaches(self._sender, self._receiver)

    def _deliver(self, data: bytes) -> None:
        if self._passes() and not self._reader.at_eof():
            self._reader.feed_data(data)

    def _end(self) -> None:
        if not self._passes():
            return
        self._reader.feed_eof()
        if self.other is not None:
            self.other._closed = True


class MemoryConnector:
    """Opens connections of one node to the stream servers of others.

    ``silence`` decides for each new connection whether it goes silent
    and after how many seconds.
    """

    def __init__(
        self, node: str, network: memory_network.MemoryNetwork
    ) -> None:
        self._node = node
        self._network = network
        self._tasks: set[asyncio.Task[None]] = set()
        self.opened: list[MemoryWriter] = []
        self.silence: abc.Callable[[], float | None] = lambda: None

    async def connect(
        self, peer: settings.Address
    ) -> tuple[asyncio.StreamReader, typing.Any]:
        """Return reader and writer of a new connection to ``peer``."""
        await asyncio.sleep(2 * self._network.delay.total_seconds())
        server = self._network.stream_at(peer)
        if server is None or peer.host in self._network.down:
            raise ConnectionRefusedError(str(peer))
        if not self._network.reaches(self._node, peer.host):
            await asyncio.Event().wait()
        return self._open(peer, server)

    def _open(
        self, peer: settings.Address, server: stream_server.StreamServer
    ) -> tuple[asyncio.StreamReader, typing.Any]:
        here = asyncio.StreamReader()
        there = asyncio.StreamReader()
        ends = (self._node, peer.host)
        writer = MemoryWriter(self._network, ends, there)
        back = MemoryWriter(self._network, ends[::-1], here)
        writer.other, back.other = back, writer
        self.opened = [item for item in self.opened if not item.is_closing()]
        self.opened.append(writer)
        seconds = self.silence()
        if seconds is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(seconds, writer.go_silent)
        served = server.serve(there, typing.cast(typing.Any, back))
        task = asyncio.create_task(served)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return here, writer
