"""Network parts: the parts of a node that runs as a process of its own."""

import functools

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_node.calls import stream_client
from balsamramp_node.door import http_target_client
from balsamramp_node.process import parts
from balsamramp_node.process import platform_client
from balsamramp_node.process import tls
from balsamramp_node.process import transport
from balsamramp_wire import control
from balsamramp_wire import messages

__all__ = ["network_parts"]


def network_parts(
    checked: settings.Settings,
    hello: messages.Hello,
    time: clock.Clock,
    counters: metrics.Metrics,
    security: tls.NodeTls,
) -> tuple[parts.Parts, control.GrpcTransport]:
    """Return the parts of a node that runs as a process.

    The gRPC transport is returned as well, for the address it binds.
    """
    client = platform_client.PlatformClient(
        checked.text("platform", "url"),
        checked.duration("platform", "timeout"),
    )
    peers = control.GrpcTransport(
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
    made = parts.Parts(
        table=platform_client.HttpTable(client),
        objects=platform_client.HttpObjectStore(client),
        control=peers,
        calls=streams,
        targets=local,
        services=(
            client,
            transport.TransportService(peers),
            streams,
            local,
        ),
    )
    return made, peers
