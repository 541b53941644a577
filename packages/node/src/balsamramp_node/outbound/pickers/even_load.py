"""Target picker that keeps the load even although its reports are old."""

from collections import abc
import datetime
import math
import random

import attrs

from balsamramp_node.outbound import picker
from balsamramp_node.outbound.pickers import call_costs

__all__ = ["EvenLoad"]

# Targets that are compared. However wrong the reports are, a target gets at
# most this multiple of the mean share of the targets that are drawn from.
LOCAL_CHOICES = 8
REMOTE_CHOICES = 2
# Random draws per pick. In a fleet of three zones this finds all choices.
DRAWS = 28
# A report is worth nothing about the queue once the calls it counted have
# been served, after about the service time, and at least this long.
REPORT_LIFE_MIN_SECONDS = 0.02
# Drawn targets whose reports go into the means of their zones.
MEAN_SAMPLE_SIZE = 8
# Time in which a report loses most of its weight in the mean of its zone.
ZONE_MEAN_SECONDS = 1.0
# Sum of the weights of reports that moves the mean of a zone by half.
ZONE_MEAN_INERTIA = 4.0
# Assumed for a zone without any report.
OCCUPANCY_DEFAULT = 0.5
# Assumed for targets that do not report their number of slots.
SLOTS_DEFAULT = 8
# Assumed while no target of a service has reported a service time.
SERVICE_SECONDS_DEFAULT = 0.1
SERVICE_MEAN_WEIGHT = 0.05
# Part of the service time of a target that counts beside its occupancy. With
# all of it, every node would send its calls to the fastest targets.
SPEED_WEIGHT = 0.4
# A target whose calls fail is drawn less often, by this power of the share
# of its calls that succeed.
FAILING_EXPONENT = 4
# Share of the calls that go to a random target if its report is old, so that
# new targets and those that recover become known.
EXPLORE_SHARE = 0.02
EXPLORE_AGE = datetime.timedelta(seconds=1)
# Calls per slot beyond which a report says no more about its zone.
ZONE_OCCUPANCY_MAX = 2.0
# Jitter of the estimates, so that targets of equal cost are all picked.
ESTIMATE_JITTER = 0.1


@attrs.define
class _ServiceView:
    """Means of the reports about the targets of one service.

    ``occupancy`` is the number of calls per slot, by zone.
    """

    occupancy: dict[str, float] = attrs.field(factory=dict)
    service_seconds: float = 0.0

    @property
    def usual_seconds(self) -> float:
        """Return the mean service time of a call."""
        return self.service_seconds or SERVICE_SECONDS_DEFAULT

    def expected_occupancy(self, zone: str) -> float:
        """Return the calls per slot of a target that is not known."""
        return self.occupancy.get(zone, OCCUPANCY_DEFAULT)

    def update(
        self,
        drawn: abc.Iterable[picker.Candidate],
        now: datetime.timedelta,
    ) -> None:
        """Include the reports of ``drawn``.

        These are random, since the chosen ones are idler than the mean.
        """
        sums: dict[str, float] = {}
        weights: dict[str, float] = {}
        for item in drawn:
            load = item.stats.load
            if load is None:
                continue
            if load.service:
                self._update_service_time(load.service.total_seconds())
            age = (now - item.stats.load_received_at).total_seconds()
            weight = math.exp(-age / ZONE_MEAN_SECONDS)
            zone = item.member.zone
            share = (load.in_flight + load.queued) / max(load.limit, 1)
            share = min(share, ZONE_OCCUPANCY_MAX)
            sums[zone] = sums.get(zone, 0.0) + weight * share
            weights[zone] = weights.get(zone, 0.0) + weight
        for zone, weight in weights.items():
            before = self.expected_occupancy(zone)
            total = weight + ZONE_MEAN_INERTIA
            self.occupancy[zone] = (
                sums[zone] + ZONE_MEAN_INERTIA * before
            ) / total

    def _update_service_time(self, seconds: float) -> None:
        if not self.service_seconds:
            self.service_seconds = seconds
            return
        difference = seconds - self.service_seconds
        self.service_seconds += SERVICE_MEAN_WEIGHT * difference


class EvenLoad(picker.TargetPicker):
    """Picks the least occupied of a few random targets.

    All nodes choose at the same time, and each hears of a target's queue
    only with the replies to its own calls. A node that always took the best
    known target would choose what the others chose as well, so only a few
    random targets are compared. A report counts less as it ages, until the
    target is taken to be as busy as others of its zone; what it says about
    the speed of the target holds on. Calls per slot are compared rather than
    completion times, which keeps the fast targets from being overrun.

    The cost of a pick does not depend on the number of targets.
    """

    name = "even-load"
    doc = "least occupied of random targets, by reports weighted by age"

    def __init__(self, zone: str, rng: random.Random) -> None:
        super().__init__(zone, rng)
        self._views: dict[str, _ServiceView] = {}

    def pick(
        self,
        candidates: abc.Sequence[picker.Candidate],
        now: datetime.timedelta,
        pick_info: picker.PickInfo = picker.DEFAULT_PICK_INFO,
    ) -> picker.Candidate:
        if len(candidates) == 1:
            return candidates[0]
        view = self._views.setdefault(
            candidates[0].record.service, _ServiceView()
        )
        drawn = self._draw(candidates)
        view.update(drawn[:MEAN_SAMPLE_SIZE], now)
        if not pick_info.large and self._random.random() < EXPLORE_SHARE:
            unknown = self._find_unknown(drawn, now)
            if unknown is not None:
                return unknown
        best = drawn[0]
        lowest_cost = math.inf
        for item in self._choices(drawn, candidates, now):
            jitter = 1 + ESTIMATE_JITTER * (self._random.random() - 0.5)
            cost = _load_seconds(item, now, view) * jitter
            cost += call_costs.path_seconds(
                item, self._zone, view.usual_seconds, pick_info
            )
            cost += call_costs.failure_seconds(item, now)
            if cost < lowest_cost:
                best, lowest_cost = item, cost
        return best

    def _draw(
        self, candidates: abc.Sequence[picker.Candidate]
    ) -> list[picker.Candidate]:
        """Return different random targets, in random order."""
        count = len(candidates)
        if count <= DRAWS:
            return self._random.sample(candidates, count)
        draw = self._random.random
        numbers = dict.fromkeys(int(draw() * count) for _ in range(DRAWS))
        return [candidates[number] for number in numbers]

    def _choices(
        self,
        drawn: abc.Sequence[picker.Candidate],
        candidates: abc.Sequence[picker.Candidate],
        now: datetime.timedelta,
    ) -> abc.Sequence[picker.Candidate]:
        """Return the targets to compare, some of each side."""
        found = self._select(drawn, now)
        if found or len(drawn) == len(candidates):
            return found or drawn
        available = [
            item for item in candidates if not item.stats.is_ejected(now)
        ]
        return available or drawn

    def _select(
        self, drawn: abc.Sequence[picker.Candidate], now: datetime.timedelta
    ) -> list[picker.Candidate]:
        selected: list[picker.Candidate] = []
        local = remote = 0
        for item in drawn:
            if len(selected) == LOCAL_CHOICES + REMOTE_CHOICES:
                break
            if item.stats.is_ejected(now) or not self._is_drawn(item):
                continue
            if item.member.zone == self._zone:
                if local < LOCAL_CHOICES:
                    local += 1
                    selected.append(item)
            elif remote < REMOTE_CHOICES:
                remote += 1
                selected.append(item)
        return selected

    def _is_drawn(self, item: picker.Candidate) -> bool:
        """Return whether a target that may be failing takes part."""
        load = item.stats.load
        if load is None or not load.failing:
            return True
        share = (1 - load.failing) ** FAILING_EXPONENT
        return self._random.random() < share

    def _find_unknown(
        self, drawn: abc.Sequence[picker.Candidate], now: datetime.timedelta
    ) -> picker.Candidate | None:
        """Return the first target of the own zone if its report is old."""
        for item in drawn:
            stats = item.stats
            if item.member.zone != self._zone or stats.is_ejected(now):
                continue
            if stats.in_flight:
                return None
            age = now - stats.load_received_at
            known = stats.load is not None and age < EXPLORE_AGE
            return None if known else item
        return None


def _load_seconds(
    item: picker.Candidate, now: datetime.timedelta, view: _ServiceView
) -> float:
    """Return the cost of a target's load and speed."""
    stats = item.stats
    load = stats.load
    usual = view.usual_seconds
    expected = view.expected_occupancy(item.member.zone)
    if load is None:
        service = usual
        slots = item.record.slots or SLOTS_DEFAULT
        busy = expected * slots
    else:
        service = load.service.total_seconds() or usual
        slots = max(load.limit, 1)
        others = max(load.in_flight + load.queued - stats.in_flight_at_load, 0)
        age = (now - stats.load_received_at).total_seconds()
        weight = math.exp(-age / max(service, REPORT_LIFE_MIN_SECONDS))
        busy = others * weight + expected * slots * (1 - weight)
    occupancy = (busy + stats.in_flight + 1) / slots
    wait = max(0.0, occupancy - 1) * service
    return usual * occupancy + wait + SPEED_WEIGHT * service
