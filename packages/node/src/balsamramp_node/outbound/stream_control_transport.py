"""Sends control requests on the streams that carry calls."""

import datetime
import typing

import msgspec
from returns import result

from balsamramp_core import decoding
from balsamramp_core import local_errors
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_node.inbound import control_server
from balsamramp_node.outbound import stream_client
from balsamramp_wire import control_transport
from balsamramp_wire import frames
from balsamramp_wire import messages

__all__ = ["StreamControlTransport"]


class StreamControlTransport(control_transport.ControlTransport):
    """Shares one connection per peer with the calls.

    It needs neither a separate port nor the gRPC library, which suits a
    node with little memory. The gRPC transport separates the two kinds of
    traffic.
    """

    def __init__(
        self,
        streams: stream_client.StreamClient,
        server: control_server.ControlServer,
    ) -> None:
        self._streams = streams
        self._server = server

    def handle(
        self,
        request_type: type[messages.ControlRequest],
        handler: control_transport.Handler,
    ) -> None:
        self._server.handle(request_type, handler)

    async def send(
        self,
        peer: settings.Address,
        request: messages.ControlRequest,
        timeout: datetime.timedelta,
    ) -> result.Result[typing.Any, verdict.Failure]:
        body = msgspec.msgpack.encode(request)
        try:
            response = await self._streams.send_control(
                peer, request.method, body, timeout
            )
        except (OSError, TimeoutError) as error:
            if local_errors.is_local(error):
                return _failure(peer, repr(error), verdict.Reason.OVERLOADED)
            return _failure(peer, repr(error))
        except frames.FrameError as error:
            return _failure(peer, str(error))
        if response is None:
            return _failure(peer, "connection lost")
        if not response.served:
            return _failure(
                peer,
                "the peer has no handler for it",
                verdict.Reason.BAD_REQUEST,
            )
        try:
            reply: typing.Any = decoding.decode_msgpack(
                response.body, request.reply
            )
        except decoding.DecodingError as error:
            return _failure(peer, f"malformed reply: {error}")
        return result.Success(reply)


def _failure(
    peer: settings.Address,
    text: str,
    reason: verdict.Reason = verdict.Reason.CONNECTION_LOST,
) -> result.Result[typing.Any, verdict.Failure]:
    return result.Failure(
        verdict.Failure(
            verdict.Verdict.MAY_HAVE_RUN,
            reason,
            f"control request to {peer} failed: {text}",
        )
    )
