"""In-memory byte streams between nodes, in virtual time.

The node's own stream client and server run on them unchanged. Each write
has the delay of the memory network. A partitioned link holds writes back
until it is restored, as TCP does. A blackholed connection discards them
for good, while new connections work.
"""

import asyncio
from collections import abc
import datetime
import typing

from balsamramp_core import clock
from balsamramp_core import settings
from balsamramp_testing import memory_network
from balsamramp_testing import virtual_time

__all__ = ["MemoryConnector", "MemoryStreams"]

LINK_POLL_INTERVAL = datetime.timedelta(milliseconds=50)
CALLER = "caller"

WriteListener = abc.Callable[[str, str, bytes], None]


class _End(asyncio.Transport):
    """One end of a connection."""

    def __init__(
        self,
        streams: "MemoryStreams",
        owner: str,
        peer: str,
        scope: virtual_time.SimulatedProcess | None,
    ) -> None:
        super().__init__({"peername": (peer, 0), "sockname": (owner, 0)})
        self.owner = owner
        self.scope = scope
        self.other: _End | None = None
        self.protocol: typing.Any = None
        self.blackholed = False
        self._streams = streams
        self._closing = False
        self._queue: asyncio.Queue[bytes | None] = asyncio.Queue()

    def write(self, data: typing.Any) -> None:
        if self._closing:
            return
        self._streams.note(
            self.owner, self.get_extra_info("peername")[0], data
        )
        self._queue.put_nowait(bytes(data))

    def writelines(self, parts: typing.Any) -> None:
        self.write(b"".join(parts))

    def close(self) -> None:
        if self._closing:
            return
        self._closing = True
        self._queue.put_nowait(None)
        self._notify_closed()

    def abort(self) -> None:
        self.close()

    def is_closing(self) -> bool:
        return self._closing

    def get_write_buffer_size(self) -> int:
        return 0

    def can_write_eof(self) -> bool:
        return False

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.protocol

    def pause_reading(self) -> None:
        """Do nothing: the fakes have no bounded buffer."""

    def resume_reading(self) -> None:
        """Do nothing: reading is never paused."""

    def go_silent(self) -> None:
        """Discard all further writes in both directions."""
        self.blackholed = True
        if self.other is not None:
            self.other.blackholed = True

    async def transfer(self) -> None:
        """Deliver the writes of this end to the other end, in order."""
        assert self.other is not None
        while True:
            data = await self._queue.get()
            await self._streams.pass_link(self.owner, self.other.owner)
            if self.blackholed or self._streams.is_node_down(
                self.owner, self.other
            ):
                continue
            if data is None:
                self.other.end()
                return
            self.other.deliver(data)

    def deliver(self, data: bytes) -> None:
        """Pass received bytes to the protocol of this end."""
        if self._closing:
            return
        self._schedule(self._receive, data)

    def _receive(self, data: bytes) -> None:
        if not self._closing:
            self.protocol.data_received(data)

    def end(self) -> None:
        """Handle that the other end closed the connection."""
        if self._closing:
            return
        self._closing = True
        self._queue.put_nowait(None)
        self._notify_closed()

    def _notify_closed(self) -> None:
        if self.protocol is not None:
            self._schedule(self.protocol.connection_lost, None)

    def _schedule(
        self, function: abc.Callable[..., None], value: bytes | None
    ) -> None:
        if self.scope is not None:
            self.scope.call(function, value)
            return
        asyncio.get_running_loop().call_soon(function, value)


class _Listener:
    """A listening port."""

    def __init__(
        self, streams: "MemoryStreams", address: tuple[str, int]
    ) -> None:
        self._streams = streams
        self._address = address
        self.sockets = [self]

    def getsockname(self) -> tuple[str, int]:
        """Return the host and port."""
        return self._address

    def close(self) -> None:
        """Accept no further connections."""
        self._streams.forget(self._address)

    async def wait_closed(self) -> None:
        """Return at once, as ``close`` takes effect immediately."""

    def _attach(self, *_: typing.Any) -> None:
        """Accept the call that asyncio streams make on their server."""


class MemoryStreams(virtual_time.StreamNetwork):
    """Connects nodes by name over a memory network.

    ``on_message`` is called with the sender, the receiver and the bytes of
    every write; golden sessions are recorded with it.
    """

    def __init__(
        self, network: memory_network.MemoryNetwork, time: clock.Clock
    ) -> None:
        self._network = network
        self._clock = time
        self._scope = virtual_time.SimulatedProcess("streams")
        self._listening: dict[
            tuple[str, int],
            tuple[typing.Any, virtual_time.SimulatedProcess | None],
        ] = {}
        self._ends: list[_End] = []
        self.on_message: WriteListener | None = None

    def note(self, sender: str, receiver: str, data: bytes) -> None:
        """Pass a write of ``sender`` to ``on_message``."""
        if self.on_message is not None:
            self.on_message(sender, receiver, bytes(data))

    def forget(self, address: tuple[str, int]) -> None:
        """Stop listening at ``address``."""
        self._listening.pop(address, None)

    def silence(self, node: str) -> int:
        """Blackhole the open connections of ``node``; return their number."""
        count = 0
        for end in self._ends:
            if end.is_closing() or node not in (end.owner, _owner(end.other)):
                continue
            end.blackholed = True
            count += 1
        return count

    def kill(self, node: str) -> None:
        """Close the connections and ports of a node that was killed."""
        for address in [item for item in self._listening if item[0] == node]:
            del self._listening[address]
        for end in list(self._ends):
            if end.owner == node:
                end.close()
        self._ends = [end for end in self._ends if not end.is_closing()]

    def is_node_down(self, owner: str, other: "_End") -> bool:
        """Return whether one end of a connection is a node that is down."""
        return bool({owner, other.owner} & self._network.down)

    async def pass_link(self, sender: str, receiver: str) -> None:
        """Wait for the delay of one write and for the end of a partition."""
        network = self._network
        await self._clock.sleep(network.delay)
        while not network.links(sender, receiver):
            await self._clock.sleep(LINK_POLL_INTERVAL)

    async def listen(
        self, make_protocol: typing.Any, host: str, port: int
    ) -> typing.Any:
        address = (host, port)
        self._listening[address] = (
            make_protocol,
            virtual_time.current_process(),
        )
        return _Listener(self, address)

    async def connect(
        self, make_protocol: typing.Any, host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        scope = virtual_time.current_process()
        owner = scope.name.partition("/")[0] if scope else CALLER
        await self.pass_link(owner, host)
        found = self._listening.get((host, port))
        if found is None or host in self._network.down:
            raise ConnectionRefusedError(f"no server listens on {host}:{port}")
        make_served, served_scope = found
        client_end = _End(self, owner, host, scope)
        server_end = _End(self, host, owner, served_scope)
        client_end.other, server_end.other = server_end, client_end
        client_end.protocol = make_protocol()
        self._ends += [client_end, server_end]
        for end in (client_end, server_end):
            self._scope.spawn(end.transfer())
        if served_scope is None:
            self._accept(server_end, make_served)
        else:
            accept = self._accept_in_scope(server_end, make_served)
            served_scope.spawn(accept)
        client_end.protocol.connection_made(client_end)
        return client_end, client_end.protocol

    async def _accept_in_scope(self, end: _End, make: typing.Any) -> None:
        self._accept(end, make)

    def _accept(self, end: _End, make: typing.Any) -> None:
        end.protocol = make()
        end.protocol.connection_made(end)


class MemoryConnector:
    """Opens connections of one node to the stream servers of others.

    ``blackhole_after`` is called for each new connection and returns the
    seconds after which it is blackholed, or None for never.
    """

    def __init__(self) -> None:
        self.opened: list[_End] = []
        self.blackhole_after: abc.Callable[[], float | None] = lambda: None

    async def connect(
        self, peer: settings.Address
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return reader and writer of a new connection to ``peer``."""
        reader, writer = await asyncio.open_connection(peer.host, peer.port)
        end = writer.transport
        assert isinstance(end, _End)
        self.opened = [item for item in self.opened if not item.is_closing()]
        self.opened.append(end)
        seconds = self.blackhole_after()
        if seconds is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(seconds, end.go_silent)
        return reader, writer


def _owner(end: _End | None) -> str:
    return "" if end is None else end.owner
