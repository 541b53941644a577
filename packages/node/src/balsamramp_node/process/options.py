"""Table of all settings of a standalone node."""

import pathlib

from returns import result

from balsamramp_core import settings
from balsamramp_node.inbound import concurrency_limits
from balsamramp_node.outbound import pickers
from balsamramp_node.rollouts import policies

__all__ = ["OPTIONS", "check", "is_loopback", "read", "token"]

PORT_DEFAULTS = {"kind": "int", "low": 0, "high": 65535, "default": "0"}
FILE_DEFAULTS = {"kind": "file", "default": ""}
REQUIRED_TOGETHER = (
    ("node_key", "node_certificate"),
    ("node_key", "node_ca"),
    ("caller_key", "caller_certificate"),
)
LOOPBACK_PREFIXES = ("127.", "localhost")

OPTIONS: tuple[settings.Option, ...] = (
    settings.Option(
        section="node",
        name="id",
        kind="name",
        doc="name of this node, unique in the fleet",
    ),
    settings.Option(
        section="node",
        name="zone",
        kind="name",
        doc="availability zone of this VM",
    ),
    settings.Option(
        section="node",
        name="region",
        kind="name",
        doc="region of this VM",
    ),
    settings.Option(
        section="listen",
        name="host",
        kind="host",
        doc="IP address on which all ports are bound",
    ),
    settings.Option(
        section="listen",
        name="call_port",
        doc="port for calls from callers; 0 takes a free one",
        **PORT_DEFAULTS,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="listen",
        name="stream_port",
        doc="port for calls from other nodes; 0 takes a free one",
        **PORT_DEFAULTS,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="listen",
        name="control_port",
        doc="port for control requests from other nodes; 0 takes a free one",
        **PORT_DEFAULTS,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="listen",
        name="admin_port",
        doc="port for targets and operators; 0 takes a free one",
        **PORT_DEFAULTS,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="listen",
        name="metrics_port",
        doc="port for metrics; 0 takes a free one",
        **PORT_DEFAULTS,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="platform",
        name="url",
        kind="url",
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
        kind="addresses",
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
        unit="bytes",
        default="1048576",
        low=0,
        high=16000000,
        doc="largest body of a call or an answer",
    ),
    settings.Option(
        section="calls",
        name="key_retention",
        kind="duration",
        unit="ms",
        default="300000",
        low=1000,
        high=86400000,
        doc="time for which an idempotency key is remembered",
    ),
    settings.Option(
        section="calls",
        name="picker",
        kind="str",
        choices=tuple(sorted(pickers.PICKERS)),
        default="zone-first",
        doc="how a target is picked among those that match",
    ),
    settings.Option(
        section="calls",
        name="retries",
        kind="int",
        unit="retries",
        default="2",
        low=0,
        high=10,
        doc="retry budget of a call that brings none",
    ),
    settings.Option(
        section="rollouts",
        name="policy",
        kind="str",
        default="evidence",
        choices=tuple(sorted(policies.POLICIES)),
        doc="how a rollout's share is decided, alike on all nodes",
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
        choices=tuple(sorted(concurrency_limits.LIMITS)),
        default="adaptive",
        doc="how the concurrency limit of a target is found",
    ),
    settings.Option(
        section="targets",
        name="warm_up",
        kind="duration",
        unit="ms",
        default="5000",
        low=0,
        high=600000,
        doc="time for which a fresh target keeps its initial limit",
    ),
    settings.Option(
        section="targets",
        name="initial_limit",
        kind="int",
        unit="calls",
        default="4",
        low=1,
        high=1000,
        doc="concurrency limit of a fresh target",
    ),
    settings.Option(
        section="security",
        name="operator_token_file",
        doc="file with the token that operators' requests must carry",
        **FILE_DEFAULTS,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="security",
        name="target_token_file",
        doc="file with the token that targets' requests must carry",
        **FILE_DEFAULTS,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="tls",
        name="node_key",
        doc="private key of this node towards other nodes, PEM",
        **FILE_DEFAULTS,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="tls",
        name="node_certificate",
        doc="certificate of this node, PEM; it names the IP address",
        **FILE_DEFAULTS,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="tls",
        name="node_ca",
        doc="certificate of the authority that signs nodes, PEM",
        **FILE_DEFAULTS,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="tls",
        name="caller_key",
        doc="private key towards callers, targets and operators, PEM",
        **FILE_DEFAULTS,  # type: ignore[arg-type]
    ),
    settings.Option(
        section="tls",
        name="caller_certificate",
        doc="certificate towards callers, targets and operators, PEM",
        **FILE_DEFAULTS,  # type: ignore[arg-type]
    ),
)


def read(
    path: pathlib.Path,
) -> result.Result[settings.Settings, settings.SettingsError]:
    """Read and check the settings file of a node."""
    checked = settings.read(path, OPTIONS)
    if isinstance(checked, result.Failure):
        return checked
    error = check(checked.unwrap())
    return checked if error is None else result.Failure(error)


def check(checked: settings.Settings) -> settings.SettingsError | None:
    """Return the error of a combination of options, or None."""
    for pair in REQUIRED_TOGETHER:
        for name, required in (pair, pair[::-1]):
            if not checked.text("tls", name) or checked.text("tls", required):
                continue
            expected = f"missing; expected because {name} is given"
            return checked.error("tls", required, expected)
    for name in ("operator_token_file", "target_token_file"):
        if checked.text("security", name) and not token(checked, name):
            expected = "the file is empty; expected a token"
            return checked.error("security", name, expected)
    return None


def token(checked: settings.Settings, name: str) -> str:
    """Return the token from the file of the option, empty if unset."""
    path = checked.text("security", name)
    if not path:
        return ""
    return pathlib.Path(path).read_text(encoding="utf-8").strip()


def is_loopback(checked: settings.Settings) -> bool:
    """Return whether the listen address is a loopback address."""
    return checked.text("listen", "host").startswith(LOOPBACK_PREFIXES)
