"""Interfaces to external systems that a node depends on."""

from collections import abc

import attrs

from balsamramp_core import intents
from balsamramp_core import service_manager
from balsamramp_core import storage
from balsamramp_node.inbound import reply_scheduler
from balsamramp_node.inbound import target_client
from balsamramp_node.outbound import call_transport
from balsamramp_node.usage import usage_reporting
from balsamramp_wire import control_transport

__all__ = ["NodeDependencies", "SidecarDependencies", "StandaloneDependencies"]


@attrs.frozen(kw_only=True)
class NodeDependencies:
    """Interfaces to external systems that every node needs.

    The service manager starts and stops ``services``. ``replies`` sends the
    replies to other nodes, if their link is limited. Tests replace every
    dependency by one in memory.
    """

    table: storage.Table
    control: control_transport.ControlTransport
    calls: call_transport.CallTransport
    targets: target_client.TargetClient
    services: tuple[service_manager.Service, ...] = ()
    replies: reply_scheduler.ReplyScheduler | None = None


@attrs.frozen(kw_only=True)
class StandaloneDependencies(NodeDependencies):
    """Dependencies of a node that orders and stores operators' intents.

    The intents are stored in ``table`` and ``objects``.
    """

    objects: storage.ObjectStore


@attrs.frozen(kw_only=True)
class SidecarDependencies(NodeDependencies):
    """Dependencies of a node whose platform stores operators' intents.

    The node reads the intents from ``intents`` and publishes their outcomes
    to ``outcome_publisher``. ``organisation_header`` names the organisation
    of a call to its target, or is empty. It counts and reports the calls of
    organisations on the terms of ``usage``, if there are any.
    ``is_of_one_generation`` tells whether the intents were not restored from
    a copy between two revisions.
    """

    outcome_publisher: intents.OutcomePublisher
    intents: intents.IntentSource
    is_of_one_generation: abc.Callable[[int, int], bool] = (
        lambda first, second: True
    )
    organisation_header: str = ""
    usage: usage_reporting.ReportingTerms | None = None
