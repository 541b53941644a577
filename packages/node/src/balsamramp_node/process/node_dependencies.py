"""Parts: what a node reaches the outside with."""

import attrs

from balsamramp_core import intents
from balsamramp_core import service_manager
from balsamramp_core import storage
from balsamramp_node.inbound import target_client
from balsamramp_node.outbound import call_transport
from balsamramp_wire import control_transport

__all__ = ["NodeDependencies", "SidecarDependencies", "StandaloneDependencies"]


@attrs.frozen(kw_only=True)
class NodeDependencies:
    """The interfaces behind which the outside of any node lies.

    ``services`` are those among the parts that the kernel starts and
    stops. Tests replace every part by one in memory.
    """

    table: storage.Table
    control: control_transport.ControlTransport
    calls: call_transport.CallTransport
    targets: target_client.TargetClient
    services: tuple[service_manager.Service, ...] = ()


@attrs.frozen(kw_only=True)
class StandaloneDependencies(NodeDependencies):
    """Those of a node that orders and keeps operators' intents itself.

    They lie in ``table`` and ``objects``.
    """

    objects: storage.ObjectStore


@attrs.frozen(kw_only=True)
class SidecarDependencies(NodeDependencies):
    """Those of a node whose host orders and keeps operators' intents.

    They come from ``intents``, and what became of them goes to
    ``outcome_publisher``.
    """

    outcome_publisher: intents.OutcomePublisher
    intents: intents.IntentSource
