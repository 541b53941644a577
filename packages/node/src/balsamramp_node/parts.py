"""Parts: what a node reaches the outside with, made anew or faked."""

import functools

import attrs

from balsamramp_core import clock
from balsamramp_core import kernel
from balsamramp_core import metrics
from balsamramp_core import platform
from balsamramp_core import settings
from balsamramp_node import call_transport
from balsamramp_node import platform_client
from balsamramp_node import stream_client
from balsamramp_node import target_client
from balsamramp_node import tls
from balsamramp_node import transport
from balsamramp_wire import control
from balsamramp_wire import messages

__all__ = ["Parts", "network_parts"]


@attrs.frozen(kw_only=True)
class Parts:
    """The interfaces behind which the outside of a node lies.

    ``services`` are those among the parts that the kernel starts and
    stops. Tests replace every part by one in memory.
    """

    table: platform.Table
    objects: platform.ObjectStore
    control: control.PeerTransport
    calls: call_transport.CallTransport
    targets: target_client.TargetClient
    services: tuple[kernel.Service, ...] = ()


def network_parts(
    checked: settings.Settings,
    hello: messages.Hello,
    time: clock.Clock,
    counters: metrics.Metrics,
    security: tls.NodeTls,
) -> tuple[Parts, control.GrpcTransport]:
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
    local = target_client.HttpTargetClient(
        checked.integer("calls", "body_max_bytes")
    )
    made = Parts(
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
