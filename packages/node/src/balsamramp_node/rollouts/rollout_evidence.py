"""Rollout evidence: what calls showed of two versions, side by side."""

from collections import abc
import datetime
import math

import attrs

from balsamramp_core.resources import rollout
from balsamramp_node.rollouts import sequential_test
from balsamramp_wire import rollout_messages

__all__ = [
    "Counts",
    "Evidence",
    "KEPT_WINDOWS",
    "latency_bucket",
    "window_length",
    "window_of",
]

BUCKET_UNIT = datetime.timedelta(microseconds=100)
BUCKETS_PER_DOUBLING = 2
KEPT_WINDOWS = 120
WINDOWS_PER_ROLLOUT = 60
WINDOW_MIN = datetime.timedelta(seconds=1)
SLOW_QUANTILE = 0.9

Row = rollout_messages.EvidenceRow
RowKey = tuple[str, int, str, int, int, str, bool]


def latency_bucket(latency: datetime.timedelta) -> int:
    """Return the bucket of ``latency``; two buckets are a factor of 2."""
    units = latency / BUCKET_UNIT
    if units <= 1.0:
        return 0
    return math.ceil(BUCKETS_PER_DOUBLING * math.log2(units))


def window_length(intent: rollout.Rollout) -> datetime.timedelta:
    """Return the length of the windows in which versions are compared."""
    planned = intent.deadline - intent.start
    return max(WINDOW_MIN, planned / WINDOWS_PER_ROLLOUT)


def window_of(intent: rollout.Rollout, at: datetime.datetime) -> int:
    """Return the number of the window in which ``at`` lies."""
    return math.floor((at - intent.start) / window_length(intent))


@attrs.define(eq=False)
class Counts:
    """Sum of rows of one version, route, window and zone."""

    calls: int = 0
    failures: int = 0
    refused: int = 0
    latencies: dict[int, int] = attrs.field(factory=dict)

    def add(self, row: Row, sign: int = 1) -> None:
        """Add what ``row`` counted, or take it away."""
        self.calls += sign * row.calls
        self.failures += sign * row.failures
        self.refused += sign * row.refused
        for bucket, count in row.latencies.items():
            known = self.latencies.get(bucket, 0)
            self.latencies[bucket] = known + sign * count

    def bad(self, slow: int | None) -> int:
        """Return the calls slower than a bucket, without one failures."""
        if slow is None:
            return self.failures
        return sum(
            count for item, count in self.latencies.items() if item > slow
        )


WindowKey = tuple[int, int]
GroupKey = tuple[str, str, bool]
TestKey = tuple[str | None, int | None]
TotalKey = tuple[int, str, bool]


@attrs.define(eq=False)
class _Pair:
    """Calls and bad calls of both versions in one window and zone."""

    old_calls: int = 0
    old_bad: int = 0
    new_calls: int = 0
    new_bad: int = 0

    def add(self, new: bool, calls: int, bad: int) -> None:
        if new:
            self.new_calls += calls
            self.new_bad += bad
            return
        self.old_calls += calls
        self.old_bad += bad

    def stratum(self) -> sequential_test.Stratum:
        return sequential_test.Stratum(
            self.old_calls, self.old_bad, self.new_calls, self.new_bad
        )


Zones = dict[str, _Pair]


class Evidence:
    """Evidence of one rollout: rows of many nodes, and their sums.

    Rows join by maximum, so they may arrive in any order and twice.
    """

    def __init__(self) -> None:
        self._rows: dict[RowKey, Row] = {}
        self._windows: dict[WindowKey, dict[GroupKey, Counts]] = {}
        self._cache: dict[
            WindowKey, dict[TestKey, sequential_test.WindowLogs]
        ] = {}
        self._old_zones: set[str] = set()
        self._totals: dict[TotalKey, Counts] = {}

    def rows(self) -> list[Row]:
        """Return all rows held."""
        return list(self._rows.values())

    def merge(self, row: Row) -> bool:
        """Take in ``row``; tell whether it added anything."""
        key = _row_key(row)
        known = self._rows.get(key)
        merged = row if known is None else _join(known, row)
        if merged == known:
            return False
        if known is not None:
            self._add(known, -1)
        self._add(merged)
        self._rows[key] = merged
        return True

    def prune(self, before: int, kept: abc.Container[int]) -> None:
        """Drop windows before ``before``, except those in ``kept``."""
        for key, row in list(self._rows.items()):
            if row.window >= before or row.window in kept:
                continue
            del self._rows[key]
            self._add(row, -1)
            self._windows.pop((row.window, row.epoch), None)

    def routes(self) -> list[str]:
        """Return the routes on which any call was seen."""
        return sorted({route for _, route, _ in self._totals})

    def total(
        self, new: bool, route: str | None = None, epoch: int = 0
    ) -> Counts:
        """Return the sum since ``epoch``, without a route over all."""
        total = Counts()
        for key, counts in self._totals.items():
            its_epoch, its_route, is_new = key
            if is_new is not new or route not in (None, its_route):
                continue
            if its_epoch >= epoch:
                _accumulate(total, counts)
        return total

    def recent(self, new: bool, epoch: int, window: int) -> Counts:
        """Return the sum of all routes since ``epoch`` and ``window``."""
        total = Counts()
        for key, groups in self._windows.items():
            if key[0] < window or key[1] < epoch:
                continue
            for group, counts in groups.items():
                if group[2] is new:
                    _accumulate(total, counts)
        return total

    def strata(
        self, route: str | None, slow: int | None, epoch: int = 0
    ) -> list[list[sequential_test.Stratum]]:
        """Return the windows in order, each with a stratum per zone.

        A change of the share starts a new window. Bad calls are those
        slower than bucket ``slow`` or, without one, failures. Zones in
        which the old version never got a call are compared with the old
        version of all zones in the same window.
        """
        return [
            self._strata_of(key, route, slow)
            for key in sorted(self._windows)
            if key[1] >= epoch
        ]

    def logs(
        self, route: str | None, slow: int | None, epoch: int = 0
    ) -> list[sequential_test.WindowLogs]:
        """Return the log ratios of the windows of ``strata``."""
        found = []
        for key in sorted(self._windows):
            if key[1] < epoch:
                continue
            cache = self._cache.setdefault(key, {})
            if (route, slow) not in cache:
                strata = self._strata_of(key, route, slow)
                cache[route, slow] = sequential_test.window_logs(strata)
            found.append(cache[route, slow])
        return found

    def _strata_of(
        self, key: WindowKey, route: str | None, slow: int | None
    ) -> list[sequential_test.Stratum]:
        zones: Zones = {}
        for group, counts in self._windows[key].items():
            its_route, zone, is_new = group
            if route not in (None, its_route):
                continue
            pair = zones.setdefault(zone, _Pair())
            pair.add(is_new, counts.calls, counts.bad(slow))
        return _window_strata(zones, self._old_zones)

    def _add(self, row: Row, sign: int = 1) -> None:
        if not row.new and row.zone not in self._old_zones:
            self._old_zones.add(row.zone)
            self._cache.clear()
        window = (row.window, row.epoch)
        self._cache.pop(window, None)
        groups = self._windows.setdefault(window, {})
        group = (row.route, row.zone, row.new)
        groups.setdefault(group, Counts()).add(row, sign)
        key = (row.epoch, row.route, row.new)
        self._totals.setdefault(key, Counts()).add(row, sign)

    def slow_bucket(self, route: str | None) -> int | None:
        """Return the bucket above which a call counts as slow.

        It is one bucket above that of the 0.9 quantile of the old
        version, so a version is slow from a factor of 2 on and never
        below a factor of 1.4; None without calls of the old version.
        """
        old = self.total(False, route)
        timed = sum(old.latencies.values())
        if timed == 0:
            return None
        passed = 0
        for bucket in sorted(old.latencies):
            passed += old.latencies[bucket]
            if passed >= SLOW_QUANTILE * timed:
                return bucket + 1
        return None


def _window_strata(
    zones: Zones, old_zones: abc.Container[str]
) -> list[sequential_test.Stratum]:
    strata = []
    alone = _Pair()
    for zone, pair in zones.items():
        alone.add(False, pair.old_calls, pair.old_bad)
        if zone in old_zones:
            strata.append(pair.stratum())
            continue
        alone.add(True, pair.new_calls, pair.new_bad)
    if alone.new_calls:
        strata.append(alone.stratum())
    return strata


def _accumulate(total: Counts, more: Counts) -> None:
    total.calls += more.calls
    total.failures += more.failures
    total.refused += more.refused
    for bucket, count in more.latencies.items():
        total.latencies[bucket] = total.latencies.get(bucket, 0) + count


def _row_key(row: Row) -> RowKey:
    return (
        row.node,
        row.incarnation,
        row.zone,
        row.window,
        row.epoch,
        row.route,
        row.new,
    )


def _join(left: Row, right: Row) -> Row:
    latencies = dict(left.latencies)
    for bucket, count in right.latencies.items():
        latencies[bucket] = max(latencies.get(bucket, 0), count)
    return attrs.evolve(
        left,
        calls=max(left.calls, right.calls),
        failures=max(left.failures, right.failures),
        refused=max(left.refused, right.refused),
        latencies=latencies,
    )
