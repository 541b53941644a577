"""Stream client: hands calls to the nodes of other targets."""

import asyncio
from collections import abc
import datetime
import ssl
import typing

from balsamramp_core import clock
from balsamramp_core import kernel
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_node import call_transport
from balsamramp_wire import frames
from balsamramp_wire import messages

__all__ = ["PeerStream", "StreamClient"]

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=500)


class PeerStream:
    """One connection to the node of a target, with many calls on it."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._waiting: dict[str, asyncio.Future[call_transport.Reply]] = {}
        self._closed = False
        self._task = asyncio.create_task(self._read())

    @property
    def closed(self) -> bool:
        """Tell whether the connection can take no more calls."""
        return self._closed

    async def call(
        self, request: messages.CallRequest
    ) -> call_transport.Reply:
        """Send ``request`` and wait for its answer."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[call_transport.Reply] = loop.create_future()
        self._waiting[request.call_id] = future
        self._writer.write(frames.encode(request))
        try:
            return await future
        except asyncio.CancelledError:
            cancel = messages.CallCancel(request.call_id)
            self._writer.write(frames.encode(cancel))
            raise
        finally:
            self._waiting.pop(request.call_id, None)

    async def close(self) -> None:
        """Close the connection; calls on it end with MAY_HAVE_RUN."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _read(self) -> None:
        try:
            while True:
                message = await frames.read(self._reader)
                if not isinstance(
                    message, messages.CallAnswer | messages.CallFailure
                ):
                    continue
                future = self._waiting.get(message.call_id)
                if future is not None and not future.done():
                    future.set_result(message)
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            frames.FrameError,
        ):
            return
        finally:
            self._closed = True
            self._writer.close()
            for call_id, future in self._waiting.items():
                if not future.done():
                    future.set_result(_lost(call_id))


class StreamClient(kernel.Service, call_transport.CallTransport):
    """Connections to other nodes, one a peer, opened when needed."""

    name = "stream-client"

    def __init__(
        self,
        hello: messages.Hello,
        time: clock.Clock,
        counters: metrics.Metrics,
        security: ssl.SSLContext | None = None,
    ) -> None:
        self._hello = hello
        self._security = security
        self._clock = time
        self._metrics = counters
        self._streams: dict[settings.Address, PeerStream] = {}
        self._opening: dict[settings.Address, asyncio.Lock] = {}

    async def stop(self) -> None:
        for stream in list(self._streams.values()):
            await stream.close()

    async def call(
        self, peer: settings.Address, request: messages.CallRequest
    ) -> call_transport.Reply:
        """Hand ``request`` to the node at ``peer``."""
        try:
            stream = await self._stream(peer)
        except (OSError, TimeoutError) as error:
            self._metrics.count("stream_connect_failures_total")
            return messages.CallFailure(
                call_id=request.call_id,
                failure=verdict.Failure(
                    verdict.Verdict.NOT_RUN,
                    verdict.Reason.CONNECTION_LOST,
                    f"cannot connect to {peer}: {error!r}",
                ),
                load=messages.Load(0, 0),
            )
        return await stream.call(request)

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            str(peer): {"closed": stream.closed}
            for peer, stream in self._streams.items()
        }

    async def _stream(self, peer: settings.Address) -> PeerStream:
        lock = self._opening.setdefault(peer, asyncio.Lock())
        async with lock:
            known = self._streams.get(peer)
            if known is not None and not known.closed:
                return known
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                reader, writer = await asyncio.open_connection(
                    peer.host, peer.port, ssl=self._security
                )
            writer.write(frames.encode(self._hello))
            self._metrics.count("stream_connects_total")
            stream = PeerStream(reader, writer)
            self._streams[peer] = stream
            return stream


def _lost(call_id: str) -> messages.CallFailure:
    return messages.CallFailure(
        call_id=call_id,
        failure=verdict.Failure(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.CONNECTION_LOST,
            "connection lost before the answer",
        ),
        load=messages.Load(0, 0),
    )
