"""Counts the calls to a node's targets as rollout evidence."""

from collections import abc
import datetime

import attrs

from balsamramp_core.resources import rollout
from balsamramp_node.rollouts import rollout_evidence
from balsamramp_wire import rollout_messages

__all__ = ["CallSample", "EvidenceRecorder"]


@attrs.frozen(kw_only=True)
class CallSample:
    """Outcome of one call to a target of this VM.

    ``refused`` is true if the inbound handler or the target had no
    capacity for the call. ``latency`` is None while the target is warming
    up.
    """

    route: str
    version: str
    failed: bool
    refused: bool
    latency: datetime.timedelta | None


@attrs.define(eq=False)
class _OpenRow:
    """Running counts of one evidence row."""

    row: rollout_messages.EvidenceRow
    calls: int = 0
    failures: int = 0
    refused: int = 0
    latencies: dict[int, int] = attrs.field(factory=dict)
    changed: bool = False

    def to_row(self) -> rollout_messages.EvidenceRow:
        return attrs.evolve(
            self.row,
            calls=self.calls,
            failures=self.failures,
            refused=self.refused,
            latencies=dict(self.latencies),
        )


_Key = tuple[str, int, int, str, bool]


class EvidenceRecorder:
    """Evidence rows of one node, keyed by intent, window and route."""

    def __init__(self, node: str, incarnation: int, zone: str) -> None:
        self._node = node
        self._incarnation = incarnation
        self._zone = zone
        self._open_rows: dict[_Key, _OpenRow] = {}

    def record(
        self,
        intent: rollout.Rollout,
        intent_id: str,
        epoch: int,
        call: CallSample,
        now: datetime.datetime,
    ) -> None:
        """Count ``call`` in the window that contains ``now``."""
        window = rollout_evidence.window_of(intent, now)
        new = call.version == intent.new
        key = (intent_id, window, epoch, call.route, new)
        open_row = self._open_rows.get(key)
        if open_row is None:
            open_row = _OpenRow(self._row(key))
            self._open_rows[key] = open_row
        open_row.changed = True
        if call.refused:
            open_row.refused += 1
            return
        open_row.calls += 1
        open_row.failures += int(call.failed)
        if call.latency is None:
            return
        bucket = rollout_evidence.latency_bucket(call.latency)
        open_row.latencies[bucket] = open_row.latencies.get(bucket, 0) + 1

    def drain_changed_rows(self) -> list[rollout_messages.EvidenceRow]:
        """Return the rows that changed since the previous drain."""
        rows = []
        for item in self._open_rows.values():
            if not item.changed:
                continue
            item.changed = False
            rows.append(item.to_row())
        return rows

    def rows(
        self, intent_ids: abc.Container[str]
    ) -> list[rollout_messages.EvidenceRow]:
        """Return all rows of the intents in ``intent_ids``."""
        return [
            item.to_row()
            for key, item in self._open_rows.items()
            if key[0] in intent_ids
        ]

    def prune(self, oldest: abc.Mapping[str, int]) -> None:
        """Drop rows of other intents and of windows before ``oldest``."""
        for key in list(self._open_rows):
            first = oldest.get(key[0])
            if first is None or key[1] < first:
                del self._open_rows[key]

    def _row(self, key: _Key) -> rollout_messages.EvidenceRow:
        intent_id, window, epoch, route, new = key
        return rollout_messages.EvidenceRow(
            intent=intent_id,
            node=self._node,
            incarnation=self._incarnation,
            zone=self._zone,
            window=window,
            epoch=epoch,
            route=route,
            new=new,
        )
