"""Reports to operators which versions are in force on which nodes."""

from collections import abc
import datetime

import attrs

from balsamramp_core import configuration
from balsamramp_node.configuration import platform_log_reader
from balsamramp_node.configuration import reader_lease
from balsamramp_node.configuration import store
from balsamramp_wire import messages

__all__ = [
    "SourceStatus",
    "VersionStatus",
    "ZoneStatus",
    "source_status",
    "version_statuses",
    "zone_statuses",
]

VERSIONS_SHOWN = 16


@attrs.frozen(kw_only=True)
class SourceStatus:
    """How this node's configuration relates to the platform's log.

    ``read_age_s`` is the age of the configuration in seconds: how long
    ago this node, or a peer whose state reached it, last read the log.
    """

    in_service: bool
    log: str
    log_version: int
    read_age_s: float | None
    refused: str | None
    lost: tuple[str, ...]


@attrs.frozen(kw_only=True)
class VersionStatus:
    """An accepted version and the number of nodes that have it in force."""

    version: int
    change_id: str
    accepted_at: datetime.datetime
    in_force: int
    nodes: int


@attrs.frozen(kw_only=True)
class ZoneStatus:
    """The versions in force on a zone's nodes, as of ``counted_at``.

    ``lag_s`` is the time since the oldest version was accepted that is
    not known to be in force on all of the zone's nodes; 0 if there is
    none. Reports take some seconds to arrive, so it stays at a few
    seconds under constant change and grows while the zone is
    partitioned.
    """

    zone: str
    counted_at: datetime.datetime
    nodes: int
    latest: int
    oldest: int
    lag_s: float
    lagging: tuple[str, ...]
    refusals: tuple[messages.RefusalReport, ...]


def source_status(
    configurations: store.ConfigurationStore,
    reader: platform_log_reader.PlatformLogReader,
    lease: reader_lease.ReaderLease,
) -> SourceStatus:
    """Return how this node's configuration relates to the log."""
    age = lease.read_age
    refused = configurations.refused
    return SourceStatus(
        in_service=configurations.in_service,
        log=reader.state.value,
        log_version=reader.head.version,
        read_age_s=None if age is None else age.total_seconds(),
        refused=None if refused is None else refused.message,
        lost=tuple(item.change_id for item in configurations.lost_changes),
    )


def version_statuses(
    accepted: abc.Sequence[configuration.AcceptedVersion],
    summaries: abc.Iterable[messages.ZoneSummary],
) -> list[VersionStatus]:
    """Return the latest versions with the number of nodes that have them."""
    zones = list(summaries)
    statuses = []
    for item in accepted[:VERSIONS_SHOWN]:
        in_force = 0
        for zone in zones:
            for count in zone.versions:
                if count.version >= item.version:
                    in_force += count.nodes
        statuses.append(
            VersionStatus(
                version=item.version,
                change_id=item.change_id,
                accepted_at=item.accepted_at,
                in_force=in_force,
                nodes=sum(zone.nodes for zone in zones),
            )
        )
    return statuses


def zone_statuses(
    accepted: abc.Sequence[configuration.AcceptedVersion],
    summaries: abc.Iterable[messages.ZoneSummary],
    now: datetime.datetime,
) -> list[ZoneStatus]:
    """Return the versions in force and the lag of each zone."""
    statuses = []
    for zone in sorted(summaries, key=lambda item: item.zone):
        versions = [count.version for count in zone.versions]
        statuses.append(
            ZoneStatus(
                zone=zone.zone,
                counted_at=zone.counted_at,
                nodes=zone.nodes,
                latest=max(versions),
                oldest=min(versions),
                lag_s=_lag_seconds(accepted, min(versions), now),
                lagging=zone.lagging,
                refusals=zone.refusals,
            )
        )
    return statuses


def _lag_seconds(
    accepted: abc.Sequence[configuration.AcceptedVersion],
    oldest: int,
    now: datetime.datetime,
) -> float:
    oldest_missing_at: datetime.datetime | None = None
    for item in accepted:
        if item.version <= oldest:
            break
        oldest_missing_at = item.accepted_at
    if oldest_missing_at is None:
        return 0.0
    return max(0.0, (now - oldest_missing_at).total_seconds())
