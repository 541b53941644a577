"""Runs the gRPC control transport as a service of the node."""

from balsamramp_core import service_manager
from balsamramp_node.process import listening_ports
from balsamramp_wire import grpc_transport

__all__ = ["GrpcTransportService"]


class GrpcTransportService(service_manager.Service):
    """Serves control requests from other nodes."""

    name = "transport"

    def __init__(
        self,
        transport: grpc_transport.GrpcControlTransport,
        ports: listening_ports.ListeningPorts,
    ) -> None:
        self._transport = transport
        self._ports = ports

    async def start(self) -> None:
        # gRPC takes no socket of another.
        self._ports.release("control_port")
        await self._transport.start()

    async def stop(self) -> None:
        await self._transport.stop()
