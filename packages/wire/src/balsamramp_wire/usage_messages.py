"""Control requests for the usage of organisations."""

import datetime

import attrs

from balsamramp_wire import messages

__all__ = [
    "NodeUsageRequest",
    "ReportedReply",
    "ReportedRequest",
    "UsageReply",
    "WindowCounts",
    "ZoneUsageRequest",
    "ZoneWindow",
]


@attrs.frozen(kw_only=True)
class WindowCounts:
    """Calls that the target of one node began in one window.

    ``counts`` is complete, so a record replaces one of the same node,
    incarnation and window with a lower ``sequence``. ``closed`` states that
    the window has ended for the node.
    """

    window: int
    sequence: int
    closed: bool = False
    counts: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class ZoneWindow:
    """Calls that the targets of one zone began in one window.

    A total replaces one of the same sender and window with a lower
    ``sequence``. ``complete`` states that the window is closed on all live
    nodes.
    """

    window: int
    sequence: int
    complete: bool = False
    counts: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class UsageReply:
    """The windows whose counts the receiver has kept, and its wall clock.

    A receiver that is started again, with another ``incarnation``, has
    forgotten all earlier counts.
    """

    incarnation: int
    wall: datetime.datetime
    windows: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class NodeUsageRequest(messages.ControlRequest):
    """Sends a node's counts to a collector of its zone."""

    method = "usage-node"
    reply = UsageReply

    node: str
    incarnation: int
    wall: datetime.datetime
    windows: tuple[WindowCounts, ...] = ()


@attrs.frozen(kw_only=True)
class ZoneUsageRequest(messages.ControlRequest):
    """Sends the counts of a zone to a collector of another zone."""

    method = "usage-zone"
    reply = UsageReply

    node: str
    incarnation: int
    zone: str
    wall: datetime.datetime
    windows: tuple[ZoneWindow, ...] = ()


@attrs.frozen(kw_only=True)
class ReportedReply:
    """States that the notice was received."""


@attrs.frozen(kw_only=True)
class ReportedRequest(messages.ControlRequest):
    """Tells the candidates which windows the holder has reported.

    ``revision`` is the revision of the lease row, as the holder read it.
    """

    method = "usage-reported"
    reply = ReportedReply

    revision: int
    windows: tuple[int, ...] = ()
