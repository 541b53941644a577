"""Parts: what a node reaches the outside with."""

import attrs

from balsamramp_core import kernel
from balsamramp_core import platform
from balsamramp_node.calls import call_transport
from balsamramp_node.door import target_client
from balsamramp_wire import peer_transport

__all__ = ["Parts"]


@attrs.frozen(kw_only=True)
class Parts:
    """The interfaces behind which the outside of a node lies.

    ``services`` are those among the parts that the kernel starts and
    stops. Tests replace every part by one in memory.
    """

    table: platform.Table
    objects: platform.ObjectStore
    control: peer_transport.PeerTransport
    calls: call_transport.CallTransport
    targets: target_client.TargetClient
    services: tuple[kernel.Service, ...] = ()
