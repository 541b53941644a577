"""Control: requests between nodes, over gRPC.

Each subclass of ``messages.ControlRequest`` is one unary method of the
gRPC service ``balsamramp.Control``; messages are MessagePack.
"""

import collections
import datetime
import typing

import attrs
import grpc
import grpc.aio
import msgspec
from returns import result

from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["Credentials", "GrpcControlTransport"]

SERVICE = "balsamramp.Control"
CHANNELS_MAX = 48
MESSAGE_MAX_BYTES = 64 * 1024 * 1024
STOP_GRACE = datetime.timedelta(milliseconds=200)


@attrs.define(eq=False)
class _Channel:
    channel: grpc.aio.Channel
    in_flight: int = 0


@attrs.frozen
class Credentials:
    """What a node proves itself with, and demands of its peers."""

    server: grpc.ServerCredentials
    channel: grpc.ChannelCredentials


class GrpcControlTransport(control_transport.ControlTransport):
    """Control requests over gRPC, one channel a peer.

    A node talks to many others in the course of time; it keeps at most
    CHANNELS_MAX channels beyond those in use. Without ``credentials``
    the requests travel in clear text.
    """

    def __init__(
        self,
        listen: settings.Address,
        credentials: Credentials | None = None,
    ) -> None:
        self._listen = listen
        self._credentials = credentials
        self._handlers: dict[str, grpc.RpcMethodHandler] = {}
        self._channels: collections.OrderedDict[settings.Address, _Channel]
        self._channels = collections.OrderedDict()
        self._server: grpc.aio.Server | None = None
        self._address = listen

    @property
    def address(self) -> settings.Address:
        """Return the address in use, with the port that was bound."""
        return self._address

    def handle(
        self,
        request_type: type[messages.ControlRequest],
        handler: control_transport.Handler,
    ) -> None:
        async def serve(
            request: typing.Any, context: grpc.aio.ServicerContext
        ) -> typing.Any:
            return await handler(request)

        decoder = msgspec.msgpack.Decoder(request_type)
        method = grpc.unary_unary_rpc_method_handler(
            serve,
            request_deserializer=decoder.decode,
            response_serializer=msgspec.msgpack.encode,
        )
        self._handlers[request_type.method] = method

    async def start(self) -> None:
        """Bind the port and serve the registered handlers.

        Raises OSError when the port cannot be bound.
        """
        server = grpc.aio.server(options=_options())
        generic = grpc.method_handlers_generic_handler(SERVICE, self._handlers)
        server.add_generic_rpc_handlers((generic,))
        port = self._bind(server)
        self._address = settings.Address(self._listen.host, port)
        await server.start()
        self._server = server

    async def stop(self) -> None:
        """Stop serving and close the channels."""
        for opened in self._channels.values():
            await opened.channel.close()
        self._channels.clear()
        if self._server is not None:
            await self._server.stop(STOP_GRACE.total_seconds())
            self._server = None

    async def send(
        self,
        peer: settings.Address,
        request: messages.ControlRequest,
        timeout: datetime.timedelta,
    ) -> result.Result[typing.Any, verdict.Failure]:
        opened = self._open(peer)
        decoder: msgspec.msgpack.Decoder[typing.Any] = msgspec.msgpack.Decoder(
            request.reply
        )
        call = opened.channel.unary_unary(
            f"/{SERVICE}/{request.method}",
            request_serializer=msgspec.msgpack.encode,
            response_deserializer=decoder.decode,
        )
        opened.in_flight += 1
        try:
            reply = await call(request, timeout=timeout.total_seconds())
        except grpc.aio.AioRpcError as error:
            return result.Failure(_failure(peer, error))
        finally:
            opened.in_flight -= 1
            await self._close_unused()
        return result.Success(reply)

    def _bind(self, server: grpc.aio.Server) -> int:
        address = str(self._listen)
        try:
            if self._credentials is None:
                return server.add_insecure_port(address)
            return server.add_secure_port(address, self._credentials.server)
        except RuntimeError as error:
            raise OSError(f"cannot listen on {address}: {error}") from error

    def _connect(self, peer: settings.Address) -> grpc.aio.Channel:
        if self._credentials is None:
            return grpc.aio.insecure_channel(str(peer), _options())
        return grpc.aio.secure_channel(
            str(peer), self._credentials.channel, _options()
        )

    def _open(self, peer: settings.Address) -> "_Channel":
        opened = self._channels.get(peer)
        if opened is None:
            made = self._connect(peer)
            opened = _Channel(made)
            self._channels[peer] = opened
        self._channels.move_to_end(peer)
        return opened

    async def _close_unused(self) -> None:
        """Close the channels unused for longest beyond CHANNELS_MAX."""
        excess = len(self._channels) - CHANNELS_MAX
        if excess <= 0:
            return
        unused = [
            peer
            for peer, opened in self._channels.items()
            if not opened.in_flight
        ]
        for peer in unused[:excess]:
            closed = self._channels.pop(peer)
            await closed.channel.close()


def _options() -> list[tuple[str, int]]:
    return [
        ("grpc.so_reuseport", 0),
        ("grpc.max_receive_message_length", MESSAGE_MAX_BYTES),
        ("grpc.max_send_message_length", MESSAGE_MAX_BYTES),
        ("grpc.use_local_subchannel_pool", 1),
        ("grpc.initial_reconnect_backoff_ms", 100),
        ("grpc.max_reconnect_backoff_ms", 1000),
    ]


def _failure(
    peer: settings.Address, error: grpc.aio.AioRpcError
) -> verdict.Failure:
    return verdict.Failure(
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Reason.CONNECTION_LOST,
        f"control request to {peer} failed: {error.code().name}",
    )
