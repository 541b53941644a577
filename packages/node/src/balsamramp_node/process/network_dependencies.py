"""Network parts: the parts of a node that runs as a process of its own."""

import functools

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_node.inbound import http_target_client
from balsamramp_node.outbound import stream_client
from balsamramp_node.process import grpc_transport_service
from balsamramp_node.process import http_storage
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
    security: tls.NodeTls,
) -> tuple[
    node_dependencies.StandaloneDependencies,
    grpc_transport.GrpcControlTransport,
]:
    """Return the parts of a node that runs as a process.

    The gRPC transport is returned as well, for the address it binds.
    """
    client = http_storage.HttpStorageClient(
        checked.text("platform", "url"),
        checked.duration("platform", "timeout"),
    )
    peers = grpc_transport.GrpcControlTransport(
        settings.Address(
            checked.text("listen", "host"),
            checked.integer("listen", "control_port"),
        ),
        security.credentials(),
    )
    streams = stream_client.StreamClient(
        hello,
        time,
        counters,
        functools.partial(
            stream_client.connect_tcp, security=security.client_context()
        ),
    )
    local = http_target_client.HttpTargetClient(
        checked.integer("calls", "body_max_bytes")
    )
    made = node_dependencies.StandaloneDependencies(
        table=http_storage.HttpTable(client),
        objects=http_storage.HttpObjectStore(client),
        control=peers,
        calls=streams,
        targets=local,
        services=(
            client,
            grpc_transport_service.GrpcTransportService(peers),
            streams,
            local,
        ),
    )
    return made, peers
