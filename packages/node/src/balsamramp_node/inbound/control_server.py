"""Serves control requests that arrive on streams from other nodes."""

from absl import logging
import msgspec

from balsamramp_core import decoding
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["ControlServer"]


class ControlServer:
    """Dispatches control requests to the handler of their method."""

    def __init__(self) -> None:
        self._handlers: dict[str, control_transport.Handler] = {}
        self._decoders: dict[str, msgspec.msgpack.Decoder[object]] = {}

    def handle(
        self,
        request_type: type[messages.ControlRequest],
        handler: control_transport.Handler,
    ) -> None:
        """Serve requests of ``request_type`` with ``handler``."""
        method = request_type.method
        self._handlers[method] = handler
        self._decoders[method] = msgspec.msgpack.Decoder(request_type)

    async def serve(
        self, call: messages.ControlCall
    ) -> messages.ControlAnswer:
        """Return the reply; unserved if ``call`` is unknown or malformed."""
        handler = self._handlers.get(call.method)
        if handler is None:
            logging.warning(
                "unknown control method %r; request not served", call.method
            )
            return messages.ControlAnswer(call.number, False)
        try:
            request = decoding.decode_with(
                self._decoders[call.method].decode, call.body
            )
        except decoding.DecodingError as error:
            logging.warning(
                "control request %s is malformed; not served: %s",
                call.method,
                error,
            )
            return messages.ControlAnswer(call.number, False)
        try:
            reply = await handler(request)
            body = msgspec.msgpack.encode(reply)
        except Exception:
            logging.exception(
                "control request %s failed by an unexpected error; not served",
                call.method,
            )
            return messages.ControlAnswer(call.number, False)
        return messages.ControlAnswer(call.number, True, body)
