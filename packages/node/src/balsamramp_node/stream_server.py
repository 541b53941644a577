"""Stream server: takes in calls from other nodes."""

import asyncio
import ssl

from balsamramp_core import kernel
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_node import door
from balsamramp_wire import frames
from balsamramp_wire import messages

__all__ = ["StreamServer"]


class StreamServer(kernel.Service):
    """Listens for other nodes, with one task for each connection."""

    name = "stream-server"
    requires = ("door",)

    def __init__(
        self,
        hello: messages.Hello,
        listen: settings.Address,
        calls: door.Door,
        counters: metrics.Metrics,
        security: ssl.SSLContext | None = None,
    ) -> None:
        self._hello = hello
        self._security = security
        self._listen = listen
        self._door = calls
        self._metrics = counters
        self._address = listen
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> settings.Address:
        """Return the address in use, with the port that was bound."""
        return self._address

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve,
            self._listen.host,
            self._listen.port,
            ssl=self._security,
        )
        port = self._server.sockets[0].getsockname()[1]
        self._address = settings.Address(self._listen.host, port)

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        self._metrics.count("stream_connections_total")
        calls: set[asyncio.Task[None]] = set()
        writer.write(frames.encode(self._hello))
        try:
            while True:
                message = await frames.read(reader)
                if isinstance(message, messages.CallRequest):
                    call = asyncio.create_task(self._answer(message, writer))
                    calls.add(call)
                    call.add_done_callback(calls.discard)
                    continue
                if isinstance(message, messages.CallCancel):
                    self._door.cancel(message.call_id)
                    continue
                if isinstance(message, messages.Ping):
                    writer.write(frames.encode(messages.Pong(message.number)))
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        except frames.FrameError:
            self._metrics.count("malformed_frames_total")
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(
        self, request: messages.CallRequest, writer: asyncio.StreamWriter
    ) -> None:
        try:
            reply = await self._door.submit(request)
        except asyncio.CancelledError:
            reply = messages.CallFailure(
                call_id=request.call_id,
                failure=verdict.Failure(
                    verdict.Verdict.MAY_HAVE_RUN,
                    verdict.Reason.CANCELLED,
                    "the call was cancelled",
                ),
                load=messages.Load(0, 0),
            )
        if not writer.is_closing():
            writer.write(frames.encode(reply))
