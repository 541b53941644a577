"""Parts: what a node reaches the outside with."""

import attrs

from balsamramp_core import intents
from balsamramp_core import kernel
from balsamramp_core import platform
from balsamramp_node.calls import call_transport
from balsamramp_node.door import target_client
from balsamramp_wire import peer_transport

__all__ = ["CommonParts", "HostedParts", "Parts"]


@attrs.frozen(kw_only=True)
class CommonParts:
    """The interfaces behind which the outside of any node lies.

    ``services`` are those among the parts that the kernel starts and
    stops. Tests replace every part by one in memory.
    """

    table: platform.Table
    control: peer_transport.PeerTransport
    calls: call_transport.CallTransport
    targets: target_client.TargetClient
    services: tuple[kernel.Service, ...] = ()


@attrs.frozen(kw_only=True)
class Parts(CommonParts):
    """Those of a node that orders and keeps operators' intents itself.

    They lie in ``table`` and ``objects``.
    """

    objects: platform.ObjectStore


@attrs.frozen(kw_only=True)
class HostedParts(CommonParts):
    """Those of a node whose host orders and keeps operators' intents.

    They come from ``intents``, and what became of them goes to ``board``.
    """

    board: intents.OutcomeBoard
    intents: intents.IntentSource
