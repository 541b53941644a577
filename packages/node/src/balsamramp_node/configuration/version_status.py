"""Version status: which versions are in force where, for operators."""

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
    ago some node whose word came here last read the log.
    """

    in_service: bool
    log: str
    log_version: int
    read_age_s: float | None
    refused: str | None
    lost: tuple[str, ...]


@attrs.frozen(kw_only=True)
class VersionStatus:
    """One accepted version and on how many nodes it is in force."""

    version: int
    change_id: str
    accepted_at: datetime.datetime
    in_force: int
    nodes: int


@attrs.frozen(kw_only=True)
class ZoneStatus:
    """What a zone's nodes have in force, as of ``counted_at``.

    ``lag_s`` is how long ago the first version was accepted that is not
    known to be in force on all of the zone's nodes; 0 if there is none.
    A count takes some seconds to get here, so under constant change it
    stays at a few seconds, and it grows while the zone is cut off.
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
    """Return the latest versions and on how many nodes they are."""
    zones = list(summaries)
    found = []
    for item in accepted[:VERSIONS_SHOWN]:
        in_force = 0
        for zone in zones:
            for count in zone.versions:
                if count.version >= item.version:
                    in_force += count.nodes
        found.append(
            VersionStatus(
                version=item.version,
                change_id=item.change_id,
                accepted_at=item.accepted_at,
                in_force=in_force,
                nodes=sum(zone.nodes for zone in zones),
            )
        )
    return found


def zone_statuses(
    accepted: abc.Sequence[configuration.AcceptedVersion],
    summaries: abc.Iterable[messages.ZoneSummary],
    now: datetime.datetime,
) -> list[ZoneStatus]:
    """Return for each zone what is in force and how far it lags."""
    found = []
    for zone in sorted(summaries, key=lambda item: item.zone):
        versions = [count.version for count in zone.versions]
        found.append(
            ZoneStatus(
                zone=zone.zone,
                counted_at=zone.counted_at,
                nodes=zone.nodes,
                latest=max(versions),
                oldest=min(versions),
                lag_s=_lag(accepted, min(versions), now),
                lagging=zone.lagging,
                refusals=zone.refusals,
            )
        )
    return found


def _lag(
    accepted: abc.Sequence[configuration.AcceptedVersion],
    oldest: int,
    now: datetime.datetime,
) -> float:
    missing: datetime.datetime | None = None
    for item in accepted:
        if item.version <= oldest:
            break
        missing = item.accepted_at
    if missing is None:
        return 0.0
    return max(0.0, (now - missing).total_seconds())
