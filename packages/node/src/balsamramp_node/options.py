"""Options: every setting of the node, in one table."""

from balsamramp_core import settings

__all__ = ["OPTIONS"]

PORT = {"kind": "int", "low": 0, "high": 65535, "default": "0"}

OPTIONS: tuple[settings.Option, ...] = (
    settings.Option(
        section="node",
        name="id",
        kind="str",
        doc="name of this node, unique in the fleet",
    ),
    settings.Option(
        section="node",
        name="zone",
        kind="str",
        doc="availability zone of this VM",
    ),
    settings.Option(
        section="node",
        name="region",
        kind="str",
        doc="region of this VM",
    ),
    settings.Option(
        section="listen",
        name="host",
        kind="str",
        doc="IP address on which all ports are bound",
    ),
    settings.Option(
        section="listen",
        name="call_port",
        doc="port for calls from callers; 0 takes a free one",
        **PORT,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="listen",
        name="stream_port",
        doc="port for calls from other nodes; 0 takes a free one",
        **PORT,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="listen",
        name="control_port",
        doc="port for control requests from other nodes; 0 takes a free one",
        **PORT,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="listen",
        name="admin_port",
        doc="port for targets and operators; 0 takes a free one",
        **PORT,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="listen",
        name="metrics_port",
        doc="port for metrics; 0 takes a free one",
        **PORT,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="platform",
        name="url",
        kind="str",
        doc="base URL of the platform's table service and object store",
    ),
    settings.Option(
        section="platform",
        name="timeout",
        kind="duration",
        unit="ms",
        default="1000",
        low=10,
        high=60000,
        doc="longest wait for one answer of the platform",
    ),
    settings.Option(
        section="platform",
        name="poll_interval",
        kind="duration",
        unit="ms",
        default="500",
        low=10,
        high=60000,
        doc="time between two reads of the log by a reader",
    ),
    settings.Option(
        section="snapshots",
        name="versions",
        kind="int",
        default="512",
        low=4,
        high=100000,
        doc="versions between two snapshots in the object store",
    ),
    settings.Option(
        section="membership",
        name="seeds",
        kind="list",
        default="",
        doc="control addresses, host:port, of nodes to join through",
    ),
    settings.Option(
        section="membership",
        name="interval",
        kind="duration",
        unit="ms",
        default="500",
        low=10,
        high=60000,
        doc="time between two exchanges with a peer",
    ),
    settings.Option(
        section="calls",
        name="default_timeout",
        kind="duration",
        unit="ms",
        default="5000",
        low=1,
        high=600000,
        doc="deadline of a call that states none",
    ),
    settings.Option(
        section="calls",
        name="body_max_bytes",
        kind="int",
        default="1048576",
        low=0,
        high=16000000,
        doc="largest body of a call or an answer, in bytes",
    ),
    settings.Option(
        section="calls",
        name="picker",
        kind="str",
        default="zone-first",
        doc="how a target is picked among those that match",
    ),
    settings.Option(
        section="calls",
        name="retries",
        kind="int",
        default="2",
        low=0,
        high=10,
        doc="retry budget of a call that brings none",
    ),
    settings.Option(
        section="targets",
        name="lease",
        kind="duration",
        unit="ms",
        default="3000",
        low=100,
        high=600000,
        doc="time after which a target that does not renew is gone",
    ),
    settings.Option(
        section="targets",
        name="admission",
        kind="str",
        default="adaptive",
        doc="how the concurrency limit of a target is found",
    ),
    settings.Option(
        section="targets",
        name="initial_limit",
        kind="int",
        default="4",
        low=1,
        high=1000,
        doc="concurrency limit of a fresh target",
    ),
)
