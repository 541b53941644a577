"""Byte relay: counts what passes on TCP connections to one address."""

import asyncio

from balsamramp_core import settings

__all__ = ["ByteRelay"]

READ_MAX_BYTES = 65536


class ByteRelay:
    """Relays connections and counts the bytes in each direction."""

    def __init__(self, peer: settings.Address) -> None:
        self._peer = peer
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.forward_bytes = 0
        self.back_bytes = 0

    async def start(self) -> settings.Address:
        """Listen on a free port and return its address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return settings.Address("127.0.0.1", port)

    async def stop(self) -> None:
        """Close the port and the connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            self._peer.host, self._peer.port
        )
        self._start(reader, far_writer, forward=True)
        self._start(far_reader, writer, forward=False)

    def _start(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forward: bool,
    ) -> None:
        task = asyncio.create_task(self._pass_on(reader, writer, forward))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forward: bool,
    ) -> None:
        while data := await reader.read(READ_MAX_BYTES):
            if forward:
                self.forward_bytes += len(data)
            else:
                self.back_bytes += len(data)
            writer.write(data)
            await writer.drain()
        writer.close()
