"""Zone first: the cheapest target of the own zone, spilling over by load."""

from collections import abc
import datetime

from balsamramp_node.outbound import picker

__all__ = ["ZoneFirst"]

SAMPLE = 4
SPILL_LOAD = 0.8
EJECTED_SHARE_MAX = 0.5
REFUSAL_PENALTY_WINDOW = datetime.timedelta(milliseconds=200)
REFUSAL_PENALTY = 4.0


class ZoneFirst(picker.TargetPicker):
    """Takes the target with the lowest product of latency and load.

    Only a few targets at random are compared, so that callers that know
    the same do not all choose the same. Targets of the own zone go first
    until the best of them is nearly full. Targets whose calls fail in a
    row are left out, up to half of those that match; what a health
    endpoint says plays no part.
    """

    name = "zone-first"
    doc = "lowest latency and load, own zone first, without failing targets"

    def pick(
        self,
        candidates: abc.Sequence[picker.Candidate],
        now: datetime.timedelta,
        pick_info: picker.PickInfo = picker.DEFAULT_PICK_INFO,
    ) -> picker.Candidate:
        if len(candidates) == 1:
            return candidates[0]
        trial = _trial(candidates, now)
        if trial is not None:
            return trial
        usable = _without_ejected(candidates, now)
        near = [item for item in usable if item.member.zone == self._zone]
        best = self._best(near, now)
        if best is not None and _load(best.stats) < SPILL_LOAD:
            return best
        found = self._best(usable, now)
        assert found is not None
        if best is not None and _cost(best.stats, now) <= (
            _cost(found.stats, now)
        ):
            return best
        return found

    def _best(
        self, items: abc.Sequence[picker.Candidate], now: datetime.timedelta
    ) -> picker.Candidate | None:
        if not items:
            return None
        sample = self._random.sample(items, min(SAMPLE, len(items)))
        return min(sample, key=lambda item: _cost(item.stats, now))


def _trial(
    candidates: abc.Sequence[picker.Candidate], now: datetime.timedelta
) -> picker.Candidate | None:
    for item in candidates:
        if item.stats.ejected_until is None:
            continue
        if not item.stats.is_ejected(now):
            return item
    return None


def _without_ejected(
    candidates: abc.Sequence[picker.Candidate], now: datetime.timedelta
) -> abc.Sequence[picker.Candidate]:
    usable = [item for item in candidates if not item.stats.is_ejected(now)]
    if len(usable) < len(candidates) * (1 - EJECTED_SHARE_MAX):
        return candidates
    return usable


def _load(stats: picker.TargetStats) -> float:
    if stats.load is None:
        return stats.in_flight / SAMPLE
    known = max(stats.in_flight, stats.load.in_flight)
    return known / max(stats.load.limit, 1)


def _cost(stats: picker.TargetStats, now: datetime.timedelta) -> float:
    cost = stats.expected_latency(now).total_seconds()
    cost *= 1 + _load(stats) * SAMPLE
    refused_at = stats.refused_at
    if refused_at is not None and now - refused_at < REFUSAL_PENALTY_WINDOW:
        cost *= REFUSAL_PENALTY
    return cost
