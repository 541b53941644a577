"""Table of all settings of a sidecar."""

import attrs

from balsamramp_core import settings
from balsamramp_node.inbound import queue_disciplines
from balsamramp_node.process import options

__all__ = ["OPTIONS"]


def _node_option(
    section: str, name: str, default: str | None = None
) -> settings.Option:
    """Return an option of a standalone node, with ``default`` if given."""
    for option in options.OPTIONS:
        if (option.section, option.name) != (section, name):
            continue
        return (
            option
            if default is None
            else attrs.evolve(option, default=default)
        )
    raise LookupError(f"no option [{section}] {name}")


OPTIONS: tuple[settings.Option, ...] = (
    _node_option("node", "id"),
    _node_option("node", "zone"),
    _node_option("node", "region"),
    settings.Option(
        section="node",
        name="service",
        kind="name",
        doc="service of the target on this VM",
    ),
    settings.Option(
        section="node",
        name="target",
        kind="address",
        doc="address of the target on this VM",
    ),
    settings.Option(
        section="node",
        name="memory",
        kind="float",
        unit="MB",
        default="200",
        low=100,
        high=1_000_000,
        doc="memory that the process may use; bounds what it holds",
    ),
    settings.Option(
        section="node",
        name="descriptors",
        kind="int",
        default="0",
        low=0,
        high=10_000_000,
        doc="descriptors that the process may open; 0: its limit",
    ),
    _node_option("listen", "host"),
    settings.Option(
        section="listen",
        name="callers",
        kind="address",
        doc="address for requests of callers on this VM",
    ),
    settings.Option(
        section="listen",
        name="ready",
        kind="address",
        doc="address that tells whether the node takes requests",
    ),
    settings.Option(
        section="listen",
        name="announcements",
        kind="address",
        doc="address for announcements of the target on this VM",
    ),
    settings.Option(
        section="listen",
        name="stream_port",
        kind="int",
        low=1,
        high=65535,
        doc="port for calls and control requests from other nodes",
    ),
    settings.Option(
        section="listen",
        name="stream_advertised",
        kind="addresses",
        default="",
        doc="address at which other nodes reach stream_port, if another",
    ),
    settings.Option(
        section="listen",
        name="link_rate",
        kind="float",
        unit="Mbit/s",
        default="0",
        low=0,
        high=1_000_000,
        doc="rate of this VM's link, to pace large replies; 0: no pacing",
    ),
    settings.Option(
        section="listen",
        name="metrics_port",
        kind="int",
        low=1,
        high=65535,
        default="9464",
        doc="port for metrics and the dump of the process",
    ),
    settings.Option(
        section="platform",
        name="address",
        kind="address",
        doc="address of the host's store",
    ),
    settings.Option(
        section="platform",
        name="timeout",
        kind="duration",
        unit="ms",
        default="1500",
        low=10,
        high=60000,
        doc="longest wait for one answer of the store",
    ),
    settings.Option(
        section="membership",
        name="seeds",
        kind="addresses",
        default="",
        doc="stream addresses, host:port, of nodes to join through",
    ),
    _node_option("membership", "interval"),
    _node_option("calls", "body_max_bytes", default="16000000"),
    _node_option("calls", "key_retention"),
    _node_option("calls", "picker", default="even-load"),
    settings.Option(
        section="calls",
        name="retry_ratio",
        kind="float",
        default="0.2",
        low=0,
        high=1,
        doc="repeats that the fleet may send for each request of a service",
    ),
    settings.Option(
        section="calls",
        name="retry_window",
        kind="duration",
        unit="s",
        default="10",
        low=1,
        high=600,
        doc="time over which repeats are counted",
    ),
    settings.Option(
        section="calls",
        name="retry_slack",
        kind="float",
        unit="repeats",
        default="50",
        low=0,
        high=100000,
        doc="repeats of the fleet in the window beyond the ratio",
    ),
    _node_option("rollouts", "policy", default="bounded-exposure"),
    settings.Option(
        section="targets",
        name="beat",
        kind="duration",
        unit="ms",
        default="1500",
        low=100,
        high=600000,
        doc="time between two announcements of a target",
    ),
    settings.Option(
        section="targets",
        name="order",
        kind="str",
        choices=tuple(sorted(queue_disciplines.QUEUE_DISCIPLINES)),
        default="worth",
        doc="who goes first at a target whose slots are busy",
    ),
    settings.Option(
        section="usage",
        name="address",
        kind="addresses",
        default="",
        doc="address host:port that takes reports of usage; empty: no reports",
    ),
    settings.Option(
        section="usage",
        name="duties",
        kind="list",
        default="",
        doc="what the platform at that address expects to be reported",
    ),
    settings.Option(
        section="usage",
        name="window",
        kind="duration",
        unit="s",
        default="60",
        low=0.1,
        high=86400,
        doc="time for which one report counts calls, from 1970 in UTC",
    ),
    settings.Option(
        section="usage",
        name="lateness",
        kind="duration",
        unit="s",
        default="10",
        low=0.1,
        high=86400,
        doc="time after the end of a window within which its report is due",
    ),
    settings.Option(
        section="usage",
        name="lease",
        kind="duration",
        unit="ms",
        default="3000",
        low=100,
        high=600000,
        doc="time within which two nodes must not report by turns",
    ),
    settings.Option(
        section="shutdown",
        name="grace",
        kind="duration",
        unit="s",
        default="6",
        low=1,
        high=600,
        doc="time from the signal to end until the process is killed",
    ),
)
