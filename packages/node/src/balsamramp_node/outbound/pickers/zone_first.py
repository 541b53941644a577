"""Target picker that prefers the local zone and spills over by load."""

from collections import abc
import datetime

from balsamramp_node.outbound import picker

__all__ = ["ZoneFirst"]

SAMPLE_SIZE = 4
SPILLOVER_LOAD_MIN = 0.8
EJECTED_SHARE_MAX = 0.5
REFUSAL_PENALTY_WINDOW = datetime.timedelta(milliseconds=200)
REFUSAL_PENALTY = 4.0


class ZoneFirst(picker.TargetPicker):
    """Picks the target with the lowest product of latency and load.

    Only a random sample of targets is compared, so that callers with the
    same data do not all choose the same target. Targets of the local zone
    are preferred until the best of them is nearly full. Targets with
    consecutive failures are ejected, up to half of the candidates. Health
    checks are not taken into account.
    """

    name = "zone-first"
    doc = "lowest latency and load, local zone first, without failing targets"

    def pick(
        self,
        candidates: abc.Sequence[picker.Candidate],
        now: datetime.timedelta,
        pick_info: picker.PickInfo = picker.DEFAULT_PICK_INFO,
    ) -> picker.Candidate:
        if len(candidates) == 1:
            return candidates[0]
        probe = _find_probe(candidates, now)
        if probe is not None:
            return probe
        available = _without_ejected(candidates, now)
        local_candidates = [
            item for item in available if item.member.zone == self._zone
        ]
        best_local = self._best_of_sample(local_candidates, now)
        if (
            best_local is not None
            and _load(best_local.stats) < SPILLOVER_LOAD_MIN
        ):
            return best_local
        best_anywhere = self._best_of_sample(available, now)
        assert best_anywhere is not None
        if best_local is not None and _cost(best_local.stats, now) <= (
            _cost(best_anywhere.stats, now)
        ):
            return best_local
        return best_anywhere

    def _best_of_sample(
        self, items: abc.Sequence[picker.Candidate], now: datetime.timedelta
    ) -> picker.Candidate | None:
        if not items:
            return None
        sample = self._random.sample(items, min(SAMPLE_SIZE, len(items)))
        return min(sample, key=lambda item: _cost(item.stats, now))


def _find_probe(
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
    available = [item for item in candidates if not item.stats.is_ejected(now)]
    if len(available) < len(candidates) * (1 - EJECTED_SHARE_MAX):
        return candidates
    return available


def _load(stats: picker.TargetStats) -> float:
    if stats.load is None:
        return stats.in_flight / SAMPLE_SIZE
    calls = max(stats.in_flight, stats.load.in_flight)
    return calls / max(stats.load.limit, 1)


def _cost(stats: picker.TargetStats, now: datetime.timedelta) -> float:
    cost = stats.expected_latency(now).total_seconds()
    cost *= 1 + _load(stats) * SAMPLE_SIZE
    refused_at = stats.refused_at
    if refused_at is not None and now - refused_at < REFUSAL_PENALTY_WINDOW:
        cost *= REFUSAL_PENALTY
    return cost
