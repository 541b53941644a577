"""Transport: the control port of the node as a service of the kernel."""

from balsamramp_core import kernel
from balsamramp_wire import control

__all__ = ["TransportService"]


class TransportService(kernel.Service):
    """Serves control requests from other nodes."""

    name = "transport"

    def __init__(self, transport: control.GrpcTransport) -> None:
        self._transport = transport

    async def start(self) -> None:
        await self._transport.start()

    async def stop(self) -> None:
        await self._transport.stop()
