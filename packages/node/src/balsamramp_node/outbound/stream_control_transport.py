"""Stream transport: control requests on the streams that carry calls."""

import datetime
import typing

import msgspec
from returns import result

from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_node.inbound import control_server
from balsamramp_node.outbound import stream_client
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["StreamControlTransport"]


class StreamControlTransport(control_transport.ControlTransport):
    """Shares one connection a peer with the calls.

    It needs neither a port nor a library of its own, which is what a
    node with little memory wants; gRPC keeps the two kinds of traffic
    apart.
    """

    def __init__(
        self,
        streams: stream_client.StreamClient,
        served: control_server.ControlServer,
    ) -> None:
        self._streams = streams
        self._served = served

    def handle(
        self,
        request_type: type[messages.ControlRequest],
        handler: control_transport.Handler,
    ) -> None:
        self._served.handle(request_type, handler)

    async def send(
        self,
        peer: settings.Address,
        request: messages.ControlRequest,
        timeout: datetime.timedelta,
    ) -> result.Result[typing.Any, verdict.Failure]:
        body = msgspec.msgpack.encode(request)
        try:
            answer = await self._streams.send_control(
                peer, request.method, body, timeout
            )
        except (OSError, TimeoutError) as error:
            return _failure(peer, repr(error))
        if answer is None:
            return _failure(peer, "connection lost")
        if not answer.served:
            return _failure(peer, "not served")
        try:
            reply: typing.Any = msgspec.msgpack.decode(
                answer.body, type=request.reply
            )
        except msgspec.MsgspecError as error:
            return _failure(peer, f"malformed answer: {error}")
        return result.Success(reply)


def _failure(
    peer: settings.Address, text: str
) -> result.Result[typing.Any, verdict.Failure]:
    return result.Failure(
        verdict.Failure(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.CONNECTION_LOST,
            f"control request to {peer} failed: {text}",
        )
    )
