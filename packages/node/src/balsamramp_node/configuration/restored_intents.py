"""Keeps in force what a restored store of intents does not have yet."""

from collections import abc
import datetime

import attrs

from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import intents
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core import restored_rows
from balsamramp_core.resources import rollout_order
from balsamramp_core.resources import zone
from balsamramp_node.configuration import store
from balsamramp_node.process import decision_log

__all__ = ["Comparison", "RestoredIntents"]

# Kinds that operators write one by one; the others make one document.
ORDER_KINDS = (zone.Zone.kind, rollout_order.RolloutOrder.kind)

# Whether the intents were not restored from a copy between two revisions.
Comparison = abc.Callable[[int, int], bool]


class RestoredIntents:
    """Decides what is in force while the store may be behind.

    The store has come back from a copy when its revisions are of a later
    generation than the one in force on this node, whether it read the store
    itself or was told by another node. Then an earlier configuration is not
    applied, and RestoredRows decides about orders.

    What nodes have in force in place of the table bears the ``held_revision``
    of the intents, so that a node that knows the table alone takes it over.
    """

    def __init__(
        self,
        configurations: store.ConfigurationStore,
        is_of_one_generation: Comparison,
        time: clock.Clock,
        counters: metrics.Metrics,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._store = configurations
        self._is_of_one_generation = is_of_one_generation
        self._clock = time
        self._metrics = counters
        self._decisions = decisions
        self._history = restored_rows.RowHistory()
        self._previous = configurations.current
        self._orders: dict[str, restored_rows.KnownRow] = {}
        # Those of the last read of the store, with their versions.
        self._read_orders: dict[str, restored_rows.KnownRow] = {}
        self._restored: restored_rows.RestoredRows | None = None
        # The generation whose restore has begun here.
        self._begun_at = 0
        self._number = 0
        self._table_number = 0
        self._is_held = False
        configurations.listen_changes(self._on_change)

    @property
    def number(self) -> int:
        """Return the number of the configuration in force; 0 if unknown."""
        return self._number

    @property
    def is_due(self) -> bool:
        """Return whether rows are held that must be held no longer."""
        if self._restored is None or not self._is_held:
            return False
        return self._clock.monotonic() >= self._restored.until

    def record_number(self, number: int) -> None:
        """Record the number of the configuration that came into force."""
        self._number = max(self._number, number)

    def may_follow(self, revision: int, number: int) -> bool:
        """Return whether a change of another node leads on from here.

        A store that comes back from a copy may be behind, and so may be a
        node that has read nothing else.
        """
        if number < self._number:
            return False
        return self._is_of_one_generation(
            self._store.current.version, revision
        )

    def merge(self, latest: intents.Intents) -> intents.Intents:
        """Return the intents to apply, given those of the store."""
        current = self._store.current
        if self._is_restored(latest.revision):
            self._begin(latest.revision)
        rows = {
            str(item.key): _row_of(item, latest.written.get(item.key, 0))
            for item in latest.resources
            if item.key.kind in ORDER_KINDS
        }
        self._read_orders = rows
        if self._restored is None:
            return self._with_earlier_revisions(latest, rows)
        now = self._clock.monotonic()
        merged = self._restored.merge(rows, now)
        is_behind = latest.number < self._number and now < self._restored.until
        source = current.resources.values() if is_behind else latest.resources
        resources = [
            item for item in source if item.key.kind not in ORDER_KINDS
        ]
        resources += [_resource_of(row) for row in merged.values()]
        self._record_held(
            [*self._restored.held, *(["configuration"] if is_behind else [])],
            latest,
        )
        return attrs.evolve(
            latest,
            revision=(
                latest.held_revision
                if self._is_held
                else latest.settled_revision
            ),
            resources=tuple(resources),
            number=self._number if is_behind else latest.number,
        )

    def _with_earlier_revisions(
        self, latest: intents.Intents, rows: restored_rows.Rows
    ) -> intents.Intents:
        """Return intents with what other nodes told of restores before.

        A node that started after a restore knows the earlier revisions of an
        order from its peers only.
        """
        told: dict[str, resource.Resource] = {}
        for key, row in rows.items():
            known = self._orders.get(key)
            if known is None or not known.earlier_revisions:
                continue
            if (known.value, known.revision) == (row.value, row.revision):
                told[key] = _resource_of(known)
        if not told:
            return latest
        resources = tuple(
            told.get(str(item.key), item) for item in latest.resources
        )
        return attrs.evolve(latest, resources=resources)

    def _record_held(self, held: list[str], latest: intents.Intents) -> None:
        was_held, self._is_held = self._is_held, bool(held)
        if was_held == self._is_held:
            return
        self._decisions.write(
            "restored_intents",
            behind=sorted(held),
            version=latest.revision,
            label=latest.label,
        )

    def _is_restored(self, revision: int) -> bool:
        """Return whether ``revision`` is the first after a restore."""
        known = max(self._begun_at, self._previous.version)
        if not known or revision <= known:
            return False
        return not self._is_of_one_generation(known, revision)

    def _begin(self, revision: int) -> None:
        now = self._clock.monotonic()
        self._begun_at = revision
        known = {}
        for key, row in self._orders.items():
            read = self._read_orders.get(key)
            if read is not None and read.value == row.value:
                row = attrs.evolve(row, version=read.version)
            known[key] = row
        self._restored = restored_rows.RestoredRows(known, self._history, now)
        self._metrics.count("restored_intents_total")

    def _on_change(
        self,
        current: configuration.Configuration,
        changed: abc.Iterable[resource.ResourceKey],
    ) -> None:
        if self._is_restored(current.version):
            # Another node told of the restore.
            self._begin(current.version)
        self._previous = current
        before = self._orders
        after = dict(before)
        for key in changed:
            if key.kind not in ORDER_KINDS:
                continue
            item = current.resources.get(key)
            if item is None:
                after.pop(str(key), None)
            else:
                after[str(key)] = _row_of(item, 0)
        self._orders = after
        now: datetime.timedelta = self._clock.monotonic()
        self._history.record(before, after, now)


def _row_of(item: resource.Resource, version: int) -> restored_rows.KnownRow:
    if not isinstance(item, rollout_order.RolloutOrder):
        return restored_rows.KnownRow(item, version, 0)
    value = attrs.evolve(item, revision=0, earlier_revisions=())
    return restored_rows.KnownRow(
        value, version, item.revision, item.earlier_revisions
    )


def _resource_of(row: restored_rows.KnownRow) -> resource.Resource:
    item: resource.Resource = row.value
    if isinstance(item, rollout_order.RolloutOrder):
        return attrs.evolve(
            item,
            revision=row.revision,
            earlier_revisions=row.earlier_revisions,
        )
    return item
