"""Rollout recorder: counts the calls of a node's targets as evidence."""

from collections import abc
import datetime

import attrs

from balsamramp_core.resources import rollout
from balsamramp_node.rollouts import rollout_evidence
from balsamramp_wire import rollout_messages

__all__ = ["CallSample", "EvidenceRecorder"]


@attrs.frozen(kw_only=True)
class CallSample:
    """How one call to a target of this VM ended.

    ``refused`` tells that the door or the target had no capacity for it.
    ``latency`` is None while the target is too fresh to be timed.
    """

    route: str
    version: str
    failed: bool
    refused: bool
    latency: datetime.timedelta | None


@attrs.define(eq=False)
class _Open:
    row: rollout_messages.EvidenceRow
    calls: int = 0
    failures: int = 0
    refused: int = 0
    latencies: dict[int, int] = attrs.field(factory=dict)
    changed: bool = False

    def closed(self) -> rollout_messages.EvidenceRow:
        return attrs.evolve(
            self.row,
            calls=self.calls,
            failures=self.failures,
            refused=self.refused,
            latencies=dict(self.latencies),
        )


_Key = tuple[str, int, int, str, bool]


class EvidenceRecorder:
    """Rows of evidence of one node, by rollout intent."""

    def __init__(self, node: str, incarnation: int, zone: str) -> None:
        self._node = node
        self._incarnation = incarnation
        self._zone = zone
        self._open: dict[_Key, _Open] = {}

    def record(
        self,
        intent: rollout.Rollout,
        intent_id: str,
        epoch: int,
        call: CallSample,
        now: datetime.datetime,
    ) -> None:
        """Count ``call`` in the window of ``now``."""
        window = rollout_evidence.window_of(intent, now)
        new = call.version == intent.new
        key = (intent_id, window, epoch, call.route, new)
        known = self._open.get(key)
        if known is None:
            known = _Open(self._row(key))
            self._open[key] = known
        known.changed = True
        if call.refused:
            known.refused += 1
            return
        known.calls += 1
        known.failures += int(call.failed)
        if call.latency is None:
            return
        bucket = rollout_evidence.latency_bucket(call.latency)
        known.latencies[bucket] = known.latencies.get(bucket, 0) + 1

    def drain_changed_rows(self) -> list[rollout_messages.EvidenceRow]:
        """Return the rows that changed since the last time."""
        rows = []
        for item in self._open.values():
            if not item.changed:
                continue
            item.changed = False
            rows.append(item.closed())
        return rows

    def rows(
        self, intent_ids: abc.Container[str]
    ) -> list[rollout_messages.EvidenceRow]:
        """Return all rows of these intents."""
        return [
            item.closed()
            for key, item in self._open.items()
            if key[0] in intent_ids
        ]

    def prune(self, oldest: abc.Mapping[str, int]) -> None:
        """Keep only rows of these intents, from their oldest window on."""
        for key in list(self._open):
            first = oldest.get(key[0])
            if first is None or key[1] < first:
                del self._open[key]

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
