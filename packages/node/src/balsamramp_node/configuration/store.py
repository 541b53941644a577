"""Store: the configuration in force on this node."""

import collections
from collections import abc
import typing

from absl import logging
import attrs
from returns import result

from balsamramp_core import configuration
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core import service_manager

__all__ = ["ChangeListener", "ConfigurationStore", "Listener"]

HISTORY_MAX_CHANGES = 2048
LINEAGE_MAX_VERSIONS = 4096
LOST_MAX_CHANGES = 64

Listener = abc.Callable[[configuration.Configuration], None]
ChangeListener = abc.Callable[
    [configuration.Configuration, abc.Iterable[resource.ResourceKey]], None
]


class ConfigurationStore(service_manager.Service):
    """Holds one configuration and only ever replaces it by a later one.

    A change or snapshot is checked entirely before the one assignment
    that brings it into force. ``in_service`` tells whether the platform
    or the zone has vouched for the configuration since this node
    started; until then the node takes no calls.
    """

    name = "configuration"

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self._current = configuration.EMPTY
        self._history: dict[int, configuration.Change] = {}
        self._lineage: collections.OrderedDict[
            int, configuration.AcceptedVersion
        ]
        self._lineage = collections.OrderedDict()
        self._versions: dict[str, int] = {}
        self._listeners: list[Listener] = []
        self._change_listeners: list[ChangeListener] = []
        self._refused: configuration.Refusal | None = None
        self._lost: list[configuration.AcceptedVersion] = []
        self._in_service = False

    @property
    def current(self) -> configuration.Configuration:
        """Return the configuration in force."""
        return self._current

    @property
    def in_service(self) -> bool:
        """Tell whether someone vouched for the configuration."""
        return self._in_service

    @property
    def refused(self) -> configuration.Refusal | None:
        """Return why a later version is not in force, or None."""
        return self._refused

    @property
    def lost_changes(self) -> abc.Sequence[configuration.AcceptedVersion]:
        """Return changes that were in force and that the log has lost."""
        return tuple(self._lost)

    def mark_in_service(self) -> None:
        """Note that the platform or the zone vouches for this node."""
        if self._in_service:
            return
        self._in_service = True
        logging.info("in service at version %d", self._current.version)

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with each configuration that comes into force."""
        self._listeners.append(listener)

    def listen_changes(self, listener: ChangeListener) -> None:
        """Call ``listener`` also with the keys whose resource changed."""
        self._change_listeners.append(listener)

    def apply_change(
        self, change: configuration.Change
    ) -> result.Result[configuration.Configuration, configuration.Refusal]:
        """Bring ``change`` into force if it follows what is in force."""
        applied = configuration.apply_change(self._current, change)
        if isinstance(applied, result.Failure):
            self._refuse(applied.failure())
            return applied
        self._history[change.version] = change
        if len(self._history) > HISTORY_MAX_CHANGES:
            del self._history[next(iter(self._history))]
        accepted = configuration.AcceptedVersion(
            change.version,
            change.digest,
            change.change_id,
            change.accepted_at,
        )
        self._remember((accepted,))
        keys = [item.key for item in change.puts]
        self._replace(applied.unwrap(), [*keys, *change.deletes])
        return applied

    def restore(self, snapshot: configuration.Snapshot) -> bool:
        """Bring a later snapshot into force; tell whether it was later."""
        later = snapshot.configuration
        if later.version <= self._current.version:
            return False
        changed = configuration.changed_keys(self._current, later)
        self._note_lost(snapshot)
        self._history.clear()
        self._lineage.clear()
        self._versions.clear()
        self._remember(snapshot.accepted_versions)
        self._replace(later, changed)
        return True

    def adopt_version(self, version: int) -> None:
        """Take ``version`` for what is in force, whose content it has.

        Only where an outside store gives out versions: there the same
        content can be read at several of them.
        """
        if version <= self._current.version:
            return
        self._history.clear()
        self._lineage.clear()
        self._versions.clear()
        self._replace(attrs.evolve(self._current, version=version), ())

    def snapshot(self) -> configuration.Snapshot:
        """Return what is in force, for the object store or a peer."""
        lineage = tuple(self._lineage.values())
        return configuration.Snapshot(self._current, lineage)

    def changes_after(
        self, version: int, digest: int
    ) -> list[configuration.Change] | None:
        """Return the changes after a state, or None if some are gone.

        None also if that state is not one that this node passed through.
        """
        changes: list[configuration.Change] = []
        wanted = (version, digest)
        for change in self._history.values():
            if change.version <= version:
                continue
            if (change.base_version, change.base_digest) != wanted:
                return None
            changes.append(change)
            wanted = (change.version, change.digest)
        if wanted != (self._current.version, self._current.digest):
            return None
        return changes

    def changes_since(self, version: int) -> list[configuration.Change] | None:
        """Return the changes after ``version``, or None if some are gone."""
        if version == self._current.version:
            return []
        known = self._lineage.get(version)
        if known is None and version != 0:
            return None
        return self.changes_after(version, known.digest if known else 0)

    def find_change(
        self, change_id: str
    ) -> configuration.AcceptedVersion | None:
        """Return the version to which a recent change led, if any."""
        version = self._versions.get(change_id)
        return None if version is None else self._lineage[version]

    def has_ancestor(self, version: int, digest: int) -> bool:
        """Tell whether the state in force was built on that state."""
        if version == 0:
            return True
        known = self._lineage.get(version)
        return known is not None and known.digest == digest

    def accepted(self) -> list[configuration.AcceptedVersion]:
        """Return the recent versions, the latest first."""
        return list(reversed(self._lineage.values()))

    def dump(self) -> abc.Mapping[str, typing.Any]:
        refused = self._refused
        return {
            "version": self._current.version,
            "digest": f"{self._current.digest:032x}",
            "resources": len(self._current.resources),
            "in_service": self._in_service,
            "lost": [item.change_id for item in self._lost],
            "refused": attrs.asdict(refused) if refused else None,
        }

    def _remember(
        self, versions: abc.Iterable[configuration.AcceptedVersion]
    ) -> None:
        for item in versions:
            self._lineage[item.version] = item
            self._versions[item.change_id] = item.version
        while len(self._lineage) > LINEAGE_MAX_VERSIONS:
            _, oldest = self._lineage.popitem(last=False)
            self._versions.pop(oldest.change_id, None)

    def _note_lost(self, snapshot: configuration.Snapshot) -> None:
        """Keep the changes that the lineage of ``snapshot`` lacks."""
        if not snapshot.accepted_versions:
            return
        kept = {item.change_id for item in snapshot.accepted_versions}
        oldest = min(item.version for item in snapshot.accepted_versions)
        for item in self._lineage.values():
            if item.version < oldest or item.change_id in kept:
                continue
            logging.warning("change %s was lost", item.change_id)
            self._lost.append(item)
        del self._lost[:-LOST_MAX_CHANGES]

    def _replace(
        self,
        later: configuration.Configuration,
        changed: abc.Iterable[resource.ResourceKey],
    ) -> None:
        self._current = later
        self._refused = None
        self._metrics.set("configuration_version", later.version)
        for listener in self._listeners:
            listener(later)
        for change_listener in self._change_listeners:
            change_listener(later, changed)

    def _refuse(self, refusal: configuration.Refusal) -> None:
        kind = refusal.kind
        self._metrics.count("changes_refused_total", kind=kind.value)
        if kind in (
            configuration.RefusalKind.OLD,
            configuration.RefusalKind.GAP,
        ):
            return
        if refusal != self._refused:
            logging.warning("configuration refused: %s", refusal.message)
        self._refused = refusal
