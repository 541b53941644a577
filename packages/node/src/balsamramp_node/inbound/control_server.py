"""Control server: serves control requests that come on the stream."""

from absl import logging
import msgspec

from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["ControlServer"]


class ControlServer:
    """The handlers of control requests, by the method's name."""

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
        """Return the answer to ``call``; not served if it is malformed."""
        handler = self._handlers.get(call.method)
        if handler is None:
            logging.warning("no control method %r", call.method)
            return messages.ControlAnswer(call.number, False)
        try:
            request = self._decoders[call.method].decode(call.body)
        except msgspec.MsgspecError as error:
            logging.warning("control %s is malformed: %s", call.method, error)
            return messages.ControlAnswer(call.number, False)
        reply = await handler(request)
        body = msgspec.msgpack.encode(reply)
        return messages.ControlAnswer(call.number, True, body)
