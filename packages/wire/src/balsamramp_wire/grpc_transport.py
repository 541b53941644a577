"""Sends and serves control requests over gRPC.

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
    """TLS credentials of a node as a server and as a client."""

    server: grpc.ServerCredentials
    channel: grpc.ChannelCredentials


class GrpcControlTransport(control_transport.ControlTransport):
    """Control requests over gRPC, with one channel per peer.

    A node contacts many others over time. It closes the channels that were
    unused for longest while it has more than CHANNELS_MAX; channels in use
    stay open. Without ``credentials`` the requests are sent in clear text.
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
        """Return the address of the server, with the bound port."""
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
        server = grpc.aio.server(options=_channel_options())
        generic = grpc.method_handlers_generic_handler(SERVICE, self._handlers)
        server.add_generic_rpc_handlers((generic,))
        port = self._bind(server)
        self._address = settings.Address(self._listen.host, port)
        await server.start()
        self._server = server

    async def stop(self) -> None:
        """Stop serving and close the channels."""
        for peer_channel in self._channels.values():
            await peer_channel.channel.close()
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
        peer_channel = self._get_channel(peer)
        decoder: msgspec.msgpack.Decoder[typing.Any] = msgspec.msgpack.Decoder(
            request.reply
        )
        call = peer_channel.channel.unary_unary(
            f"/{SERVICE}/{request.method}",
            request_serializer=msgspec.msgpack.encode,
            response_deserializer=decoder.decode,
        )
        peer_channel.in_flight += 1
        try:
            reply = await call(request, timeout=timeout.total_seconds())
        except grpc.aio.AioRpcError as error:
            return result.Failure(_failure(peer, error))
        finally:
            peer_channel.in_flight -= 1
            await self._close_idle_channels()
        return result.Success(reply)

    def _bind(self, server: grpc.aio.Server) -> int:
        address = str(self._listen)
        try:
            if self._credentials is None:
                return server.add_insecure_port(address)
            return server.add_secure_port(address, self._credentials.server)
        except RuntimeError as error:
            raise OSError(f"cannot listen on {address}: {error}") from error

    def _create_channel(self, peer: settings.Address) -> grpc.aio.Channel:
        if self._credentials is None:
            return grpc.aio.insecure_channel(str(peer), _channel_options())
        return grpc.aio.secure_channel(
            str(peer), self._credentials.channel, _channel_options()
        )

    def _get_channel(self, peer: settings.Address) -> "_Channel":
        peer_channel = self._channels.get(peer)
        if peer_channel is None:
            created = self._create_channel(peer)
            peer_channel = _Channel(created)
            self._channels[peer] = peer_channel
        self._channels.move_to_end(peer)
        return peer_channel

    async def _close_idle_channels(self) -> None:
        """Close the least recently used channels beyond CHANNELS_MAX."""
        excess = len(self._channels) - CHANNELS_MAX
        if excess <= 0:
            return
        idle = [
            peer
            for peer, peer_channel in self._channels.items()
            if not peer_channel.in_flight
        ]
        for peer in idle[:excess]:
            closed = self._channels.pop(peer)
            await closed.channel.close()


def _channel_options() -> list[tuple[str, int]]:
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
