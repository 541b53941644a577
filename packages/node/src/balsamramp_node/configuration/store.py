"""The configuration in force on this node and its history."""

import collections
from collections import abc
import datetime
import typing

from absl import logging
import attrs
from returns import result

from balsamramp_core import configuration
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core import service_manager

__all__ = ["ChangeListener", "ConfigurationStore", "Listener"]

CHANGES_MAX = 2048
ACCEPTED_MAX_VERSIONS = 4096
LOST_MAX_CHANGES = 64
# Steps to the configuration in force whose changed keys are kept.
STEPS_MAX = 64

Listener = abc.Callable[[configuration.Configuration], None]
ChangeListener = abc.Callable[
    [configuration.Configuration, abc.Iterable[resource.ResourceKey]], None
]


@attrs.frozen
class _Step:
    """The keys that changed when ``version`` came into force."""

    version: int
    base_version: int
    keys: frozenset[resource.ResourceKey]


class ConfigurationStore(service_manager.Service):
    """Holds one configuration and replaces it only by a later one.

    A change or snapshot is validated as a whole before the one
    assignment that brings it into force. ``in_service`` is true once the
    platform or a peer has confirmed the configuration since this node
    started; until then the node accepts no calls.
    """

    name = "configuration"

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self._current = configuration.EMPTY
        self._changes: dict[int, configuration.Change] = {}
        self._accepted_versions: collections.OrderedDict[
            int, configuration.AcceptedVersion
        ]
        self._accepted_versions = collections.OrderedDict()
        self._version_by_change_id: dict[str, int] = {}
        self._listeners: list[Listener] = []
        self._change_listeners: list[ChangeListener] = []
        self._refusal: configuration.Refusal | None = None
        self._lost_changes: list[configuration.AcceptedVersion] = []
        self._in_service = False
        self._steps: collections.deque[_Step] = collections.deque(
            maxlen=STEPS_MAX
        )

    @property
    def current(self) -> configuration.Configuration:
        """Return the configuration in force."""
        return self._current

    @property
    def in_service(self) -> bool:
        """Return whether the configuration was confirmed since the start."""
        return self._in_service

    @property
    def refused(self) -> configuration.Refusal | None:
        """Return why a later version was rejected, or None."""
        return self._refusal

    @property
    def lost_changes(self) -> abc.Sequence[configuration.AcceptedVersion]:
        """Return changes that were in force but are lost from the log."""
        return tuple(self._lost_changes)

    def mark_in_service(self) -> None:
        """Record that the platform or a peer confirmed the configuration."""
        if self._in_service:
            return
        self._in_service = True
        logging.info("in service at version %d", self._current.version)

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with each configuration that comes into force."""
        self._listeners.append(listener)

    def listen_changes(self, listener: ChangeListener) -> None:
        """Call ``listener`` also with the keys of the changed resources."""
        self._change_listeners.append(listener)

    def apply_change(
        self, change: configuration.Change
    ) -> result.Result[configuration.Configuration, configuration.Refusal]:
        """Bring ``change`` into force if it follows the current version."""
        applied = configuration.apply_change(self._current, change)
        if isinstance(applied, result.Failure):
            self._record_refusal(applied.failure())
            return applied
        self._changes[change.version] = change
        if len(self._changes) > CHANGES_MAX:
            del self._changes[next(iter(self._changes))]
        accepted = configuration.AcceptedVersion(
            change.version,
            change.digest,
            change.change_id,
            change.accepted_at,
        )
        self._record_accepted((accepted,))
        keys = [item.key for item in change.puts]
        self._replace(applied.unwrap(), [*keys, *change.deletes])
        return applied

    def restore(self, snapshot: configuration.Snapshot) -> bool:
        """Bring ``snapshot`` into force if it is later; return whether."""
        later = snapshot.configuration
        if later.version <= self._current.version:
            return False
        changed = configuration.changed_keys(self._current, later)
        self._record_lost(snapshot)
        self._changes.clear()
        self._accepted_versions.clear()
        self._version_by_change_id.clear()
        self._record_accepted(snapshot.accepted_versions)
        self._replace(later, changed)
        return True

    def adopt_version(self, version: int) -> None:
        """Set the version in force to ``version``, keeping the content.

        Used only where an external store assigns versions, since several
        of its versions can have the same content.
        """
        if version <= self._current.version:
            return
        self._changes.clear()
        self._accepted_versions.clear()
        self._version_by_change_id.clear()
        self._replace(attrs.evolve(self._current, version=version), ())

    def snapshot(self) -> configuration.Snapshot:
        """Return a snapshot of the configuration in force."""
        accepted_versions = tuple(self._accepted_versions.values())
        return configuration.Snapshot(self._current, accepted_versions)

    def changes_after(
        self, version: int, digest: int
    ) -> list[configuration.Change] | None:
        """Return the changes after a state, or None if they are unknown.

        They are unknown if some are no longer kept, or if the state is
        not part of this node's history.
        """
        changes: list[configuration.Change] = []
        expected_base = (version, digest)
        for change in self._changes.values():
            if change.version <= version:
                continue
            if (change.base_version, change.base_digest) != expected_base:
                return None
            changes.append(change)
            expected_base = (change.version, change.digest)
        if expected_base != (self._current.version, self._current.digest):
            return None
        return changes

    def recent_change(
        self, keys_max: int, accepted_at: datetime.datetime
    ) -> configuration.Change | None:
        """Return the last steps as one change of at most ``keys_max`` keys.

        It leads from any version of the external store since its
        ``base_version`` to the one in force, if each version has the same
        content on all nodes. Returns None if the last step is larger.
        """
        keys: frozenset[resource.ResourceKey] = frozenset()
        base_version = self._current.version
        for step in reversed(self._steps):
            if len(keys | step.keys) > keys_max:
                break
            keys |= step.keys
            base_version = step.base_version
        if base_version == self._current.version:
            return None
        resources = self._current.resources
        return configuration.Change(
            version=self._current.version,
            base_version=base_version,
            change_id=str(self._current.version),
            base_digest=0,
            digest=self._current.digest,
            author="",
            accepted_at=accepted_at,
            puts=tuple(resources[key] for key in keys if key in resources),
            deletes=tuple(key for key in keys if key not in resources),
        )

    def apply_recent_change(
        self, change: configuration.Change
    ) -> result.Result[configuration.Configuration, configuration.Refusal]:
        """Apply what ``recent_change`` of another node returned."""
        if change.base_version <= self._current.version < change.version:
            change = attrs.evolve(
                change,
                base_version=self._current.version,
                base_digest=self._current.digest,
            )
        return self.apply_change(change)

    def changes_since(self, version: int) -> list[configuration.Change] | None:
        """Return the changes after ``version``, or None if unknown."""
        if version == self._current.version:
            return []
        accepted_version = self._accepted_versions.get(version)
        if accepted_version is None and version != 0:
            return None
        return self.changes_after(
            version, accepted_version.digest if accepted_version else 0
        )

    def find_change(
        self, change_id: str
    ) -> configuration.AcceptedVersion | None:
        """Return the version that a recent change produced, or None."""
        version = self._version_by_change_id.get(change_id)
        return None if version is None else self._accepted_versions[version]

    def has_ancestor(self, version: int, digest: int) -> bool:
        """Return whether the state in force descends from that state."""
        if version == 0:
            return True
        accepted_version = self._accepted_versions.get(version)
        return (
            accepted_version is not None and accepted_version.digest == digest
        )

    def accepted(self) -> list[configuration.AcceptedVersion]:
        """Return the recent versions, latest first."""
        return list(reversed(self._accepted_versions.values()))

    def dump(self) -> abc.Mapping[str, typing.Any]:
        refused = self._refusal
        return {
            "version": self._current.version,
            "digest": f"{self._current.digest:032x}",
            "resources": len(self._current.resources),
            "in_service": self._in_service,
            "lost": [item.change_id for item in self._lost_changes],
            "refused": attrs.asdict(refused) if refused else None,
        }

    def _record_accepted(
        self, versions: abc.Iterable[configuration.AcceptedVersion]
    ) -> None:
        for item in versions:
            self._accepted_versions[item.version] = item
            self._version_by_change_id[item.change_id] = item.version
        while len(self._accepted_versions) > ACCEPTED_MAX_VERSIONS:
            _, oldest = self._accepted_versions.popitem(last=False)
            self._version_by_change_id.pop(oldest.change_id, None)

    def _record_lost(self, snapshot: configuration.Snapshot) -> None:
        """Record changes in force that the history of ``snapshot`` lacks."""
        if not snapshot.accepted_versions:
            return
        snapshot_ids = {item.change_id for item in snapshot.accepted_versions}
        oldest = min(item.version for item in snapshot.accepted_versions)
        for item in self._accepted_versions.values():
            if item.version < oldest or item.change_id in snapshot_ids:
                continue
            logging.warning(
                "change %s is missing from the restored history; reporting it "
                "as lost",
                item.change_id,
            )
            self._lost_changes.append(item)
        del self._lost_changes[:-LOST_MAX_CHANGES]

    def _replace(
        self,
        later: configuration.Configuration,
        changed: abc.Iterable[resource.ResourceKey],
    ) -> None:
        changed = frozenset(changed)
        self._steps.append(
            _Step(later.version, self._current.version, changed)
        )
        self._current = later
        self._refusal = None
        self._metrics.set("configuration_version", later.version)
        for listener in self._listeners:
            listener(later)
        for change_listener in self._change_listeners:
            change_listener(later, changed)

    def _record_refusal(self, refusal: configuration.Refusal) -> None:
        kind = refusal.kind
        self._metrics.count("changes_refused_total", kind=kind.value)
        if kind in (
            configuration.RefusalKind.OLD,
            configuration.RefusalKind.GAP,
        ):
            return
        if refusal != self._refusal:
            logging.warning(
                "rejected a configuration change; nothing was applied: %s",
                refusal.message,
            )
        self._refusal = refusal
