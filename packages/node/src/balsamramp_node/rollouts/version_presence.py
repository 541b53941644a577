"""Tells whether a version of a service is the only one with targets."""

import abc
import datetime

from balsamramp_core import clock
from balsamramp_core import resource
from balsamramp_core.resources import labels
from balsamramp_node.configuration import store
from balsamramp_node.membership import member_list
from balsamramp_node.membership import membership
from balsamramp_node.membership import peer_discovery
from balsamramp_wire import messages

__all__ = ["MemberVersions", "VersionPresence"]

# Time without a target of a version before it counts as absent. After a start
# of all nodes it lets each target announce itself.
ABSENCE_TIME = datetime.timedelta(seconds=6)
# Time for a registered node to join before it counts as gone, once each zone
# has a live one.
JOIN_TIME = datetime.timedelta(seconds=4)
NEVER = datetime.timedelta.min


class VersionPresence(abc.ABC):
    """Knows which versions of a service have targets."""

    @property
    @abc.abstractmethod
    def is_complete(self) -> bool:
        """Return whether the targets of all nodes are known."""

    @abc.abstractmethod
    def refresh(self) -> None:
        """Take note of the targets that are known now."""

    @abc.abstractmethod
    def is_alone(
        self, service: str, version: str, ignored: frozenset[str]
    ) -> bool:
        """Return whether no other version has targets.

        Versions in ``ignored`` do not count. False while that is not known.
        """


class MemberVersions(VersionPresence):
    """Derives the versions from the announcements in the member list.

    A node that has just started, or that a partition keeps from others, does
    not know all targets. So no version is alone before each zone with
    registered nodes has had a live one for some time, and targets of dead
    nodes count: the list keeps them for longer than most partitions last.
    """

    def __init__(
        self,
        members: membership.Membership,
        listed: member_list.MemberList,
        discovery: peer_discovery.PeerDiscovery,
        configurations: store.ConfigurationStore,
        time: clock.Clock,
    ) -> None:
        self._members = members
        self._listed = listed
        self._discovery = discovery
        self._configurations = configurations
        self._clock = time
        self._generation = -1
        self._present: dict[str, set[str]] = {}
        self._seen_at: dict[tuple[str, str], datetime.timedelta] = {}
        # When each zone had a live node first.
        self._joined_at: dict[str, datetime.timedelta] = {}
        self._complete_at = NEVER

    @property
    def is_complete(self) -> bool:
        if self._complete_at == NEVER:
            return False
        return self._clock.monotonic() - self._complete_at >= ABSENCE_TIME

    def refresh(self) -> None:
        now = self._clock.monotonic()
        if self._generation != self._members.generation:
            self._generation = self._members.generation
            self._rebuild(now)
        if self._complete_at == NEVER and self._has_all_nodes(now):
            self._complete_at = now
        for service, versions in self._present.items():
            for version in versions:
                self._seen_at[service, version] = now
        for key, at in list(self._seen_at.items()):
            if now - at >= ABSENCE_TIME:
                del self._seen_at[key]

    def is_alone(
        self, service: str, version: str, ignored: frozenset[str]
    ) -> bool:
        self.refresh()
        if not self.is_complete:
            return False
        if version not in self._present.get(service, ()):
            return False
        for seen_service, seen in self._seen_at:
            if seen_service != service or seen == version:
                continue
            if seen not in ignored:
                return False
        return True

    def _rebuild(self, now: datetime.timedelta) -> None:
        self._present = {}
        for zone in self._listed.zones:
            alive = self._listed.alive_in(zone)
            if alive:
                self._joined_at.setdefault(zone, now)
            for member in (*alive, *self._listed.departed_in(zone)):
                if member.state is messages.MemberState.LEFT:
                    continue
                for record in member.targets:
                    versions = self._present.setdefault(record.service, set())
                    versions.add(self._version_of(record))

    def _has_all_nodes(self, now: datetime.timedelta) -> bool:
        """Return whether the list has each node that may have targets."""
        zones = self._discovery.zones
        if not zones or not zones <= self._joined_at.keys():
            return False
        latest = max(self._joined_at[zone] for zone in zones)
        if now - latest >= JOIN_TIME:
            return True
        for address in self._members.discovered:
            if self._listed.find_by_address(address) is None:
                return False
        return True

    def _version_of(self, record: messages.TargetRecord) -> str:
        key = resource.ResourceKey(labels.Labels.kind, record.target)
        overrides = self._configurations.current.resources.get(key)
        found = record.labels
        if isinstance(overrides, labels.Labels):
            found = {**found, **overrides.labels}
        return found.get("version", "")
