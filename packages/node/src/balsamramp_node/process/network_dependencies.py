"""Creates the network dependencies of a standalone node."""

import functools

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_node.inbound import http_target_client
from balsamramp_node.outbound import stream_client
from balsamramp_node.process import grpc_transport_service
from balsamramp_node.process import http_storage
from balsamramp_node.process import listening_ports
from balsamramp_node.process import node_dependencies
from balsamramp_node.process import tls
from balsamramp_wire import grpc_transport
from balsamramp_wire import messages

__all__ = ["make_network_dependencies"]


def make_network_dependencies(
    checked: settings.Settings,
    hello: messages.Hello,
    time: clock.Clock,
    counters: metrics.Metrics,
    node_tls: tls.NodeTls,
    ports: listening_ports.ListeningPorts,
) -> tuple[
    node_dependencies.StandaloneDependencies,
    grpc_transport.GrpcControlTransport,
]:
    """Return the dependencies of a standalone node and its gRPC transport.

    The caller reads the bound control address from the transport.
    """
    storage_client = http_storage.HttpStorageClient(
        checked.text("platform", "url"),
        checked.duration("platform", "timeout"),
    )
    control_transport = grpc_transport.GrpcControlTransport(
        ports.addresses["control_port"],
        node_tls.credentials(),
    )
    call_transport = stream_client.StreamClient(
        hello,
        time,
        counters,
        functools.partial(
            stream_client.connect_tcp, security=node_tls.client_context()
        ),
    )
    target_client = http_target_client.HttpTargetClient(
        checked.integer("calls", "body_max_bytes")
    )
    dependencies = node_dependencies.StandaloneDependencies(
        table=http_storage.HttpTable(storage_client),
        objects=http_storage.HttpObjectStore(storage_client),
        control=control_transport,
        calls=call_transport,
        targets=target_client,
        # The ports first: a node that misses one does nothing else.
        services=(
            ports,
            storage_client,
            grpc_transport_service.GrpcTransportService(
                control_transport, ports
            ),
            call_transport,
            target_client,
        ),
    )
    return dependencies, control_transport
