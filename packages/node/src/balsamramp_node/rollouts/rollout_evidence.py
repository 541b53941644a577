"""Aggregates call outcomes of the old and the new version."""

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
    "RETAINED_WINDOWS",
    "latency_bucket",
    "window_length",
    "window_of",
]

BUCKET_UNIT = datetime.timedelta(microseconds=100)
BUCKETS_PER_DOUBLING = 2
RETAINED_WINDOWS = 120
WINDOWS_PER_ROLLOUT = 60
WINDOW_MIN = datetime.timedelta(seconds=1)
SLOW_QUANTILE = 0.9

Row = rollout_messages.EvidenceRow
RowKey = tuple[str, int, str, int, int, str, bool]


def latency_bucket(latency: datetime.timedelta) -> int:
    """Return the bucket of ``latency``, on a scale of 2 per doubling."""
    units = latency / BUCKET_UNIT
    if units <= 1.0:
        return 0
    return math.ceil(BUCKETS_PER_DOUBLING * math.log2(units))


def window_length(intent: rollout.Rollout) -> datetime.timedelta:
    """Return the length of the windows in which versions are compared."""
    planned = intent.deadline - intent.start
    return max(WINDOW_MIN, planned / WINDOWS_PER_ROLLOUT)


def window_of(intent: rollout.Rollout, at: datetime.datetime) -> int:
    """Return the number of the window that contains ``at``."""
    return math.floor((at - intent.start) / window_length(intent))


@attrs.define(eq=False)
class Counts:
    """Call counts of a version, summed over evidence rows."""

    calls: int = 0
    failures: int = 0
    refused: int = 0
    latencies: dict[int, int] = attrs.field(factory=dict)

    def add(self, row: Row, sign: int = 1) -> None:
        """Add the counts of ``row``, or subtract them if ``sign`` is -1."""
        self.calls += sign * row.calls
        self.failures += sign * row.failures
        self.refused += sign * row.refused
        for bucket, count in row.latencies.items():
            known = self.latencies.get(bucket, 0)
            self.latencies[bucket] = known + sign * count

    def bad(self, slow: int | None) -> int:
        """Return the calls above bucket ``slow``, or the failures if None."""
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
class _VersionPair:
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


Zones = dict[str, _VersionPair]


class Evidence:
    """Evidence of one rollout: rows of many nodes, and their sums.

    Merging rows takes the maximum of each count, so rows may arrive in any
    order and more than once.
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
        """Return all rows."""
        return list(self._rows.values())

    def merge(self, row: Row) -> bool:
        """Merge ``row``; return whether it changed any count."""
        key = _row_key(row)
        existing = self._rows.get(key)
        merged = row if existing is None else _merge_rows(existing, row)
        if merged == existing:
            return False
        if existing is not None:
            self._add_row(existing, -1)
        self._add_row(merged)
        self._rows[key] = merged
        return True

    def prune(self, before: int, kept: abc.Container[int]) -> None:
        """Drop windows before ``before``, except the ones in ``kept``."""
        for key, row in list(self._rows.items()):
            if row.window >= before or row.window in kept:
                continue
            del self._rows[key]
            self._add_row(row, -1)
            self._windows.pop((row.window, row.epoch), None)

    def routes(self) -> list[str]:
        """Return the routes with evidence, sorted."""
        return sorted({route for _, route, _ in self._totals})

    def total(
        self, new: bool, route: str | None = None, epoch: int = 0
    ) -> Counts:
        """Return the counts of ``route`` since ``epoch``; None: all routes."""
        total = Counts()
        for key, counts in self._totals.items():
            row_epoch, row_route, is_new = key
            if is_new is not new or route not in (None, row_route):
                continue
            if row_epoch >= epoch:
                _accumulate(total, counts)
        return total

    def recent(self, new: bool, epoch: int, window: int) -> Counts:
        """Return the counts of all routes since ``epoch`` and ``window``."""
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

        A change of the share starts a new window. Bad calls are the calls
        above bucket ``slow`` or, if it is None, the failures. Zones in
        which the old version never had a call are compared with the old
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
        window_ratios = []
        for key in sorted(self._windows):
            if key[1] < epoch:
                continue
            cache = self._cache.setdefault(key, {})
            if (route, slow) not in cache:
                strata = self._strata_of(key, route, slow)
                cache[route, slow] = sequential_test.window_logs(strata)
            window_ratios.append(cache[route, slow])
        return window_ratios

    def _strata_of(
        self, key: WindowKey, route: str | None, slow: int | None
    ) -> list[sequential_test.Stratum]:
        zones: Zones = {}
        for group, counts in self._windows[key].items():
            row_route, zone, is_new = group
            if route not in (None, row_route):
                continue
            pair = zones.setdefault(zone, _VersionPair())
            pair.add(is_new, counts.calls, counts.bad(slow))
        return _window_strata(zones, self._old_zones)

    def _add_row(self, row: Row, sign: int = 1) -> None:
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

        It is one bucket above the 0.9 quantile of the old version. A call
        at least 2 times as slow as the quantile is counted, one less than
        1.4 times as slow never is. None without calls of the old version.
        """
        old = self.total(False, route)
        timed_calls = sum(old.latencies.values())
        if timed_calls == 0:
            return None
        cumulative = 0
        for bucket in sorted(old.latencies):
            cumulative += old.latencies[bucket]
            if cumulative >= SLOW_QUANTILE * timed_calls:
                return bucket + 1
        return None


def _window_strata(
    zones: Zones, old_zones: abc.Container[str]
) -> list[sequential_test.Stratum]:
    strata = []
    pooled = _VersionPair()
    for zone, pair in zones.items():
        pooled.add(False, pair.old_calls, pair.old_bad)
        if zone in old_zones:
            strata.append(pair.stratum())
            continue
        pooled.add(True, pair.new_calls, pair.new_bad)
    if pooled.new_calls:
        strata.append(pooled.stratum())
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


def _merge_rows(left: Row, right: Row) -> Row:
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
