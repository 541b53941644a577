"""Target picker by the estimated completion time."""

from collections import abc
import datetime
import random

import attrs

from balsamramp_node.outbound import picker
from balsamramp_node.outbound.pickers import call_costs

__all__ = ["ExpectedFinish"]

# Age at which a load report counts as much as none. Calls that were queued
# when it was sent have been served by then.
LOAD_AGE_MAX_SECONDS = 1.0
# Age at which a report no longer tells how busy its zone is.
ZONE_LOAD_AGE_MAX_SECONDS = 4.0
# Recent reports of a zone that count as much as the mean of all zones.
ZONE_PRIOR_REPORTS = 2
# Assumed while no target of a service has reported a load.
SERVICE_SECONDS_DEFAULT = 0.1
# Assumed for a zone without a recent report, so that it is tried when the
# others are full.
OCCUPANCY_DEFAULT = 0.5
# Assumed for targets that do not report their number of slots.
SLOTS_DEFAULT = 8
# Fraction by which a target slows down when all its slots are in use.
OCCUPANCY_SLOWDOWN = 0.3
# Jitter of the estimates, so that callers with the same data pick different
# targets.
ESTIMATE_JITTER = 0.1
# Targets of a zone that are compared although their load is not known. With
# more, all callers would pick those few that once were the fastest.
UNKNOWN_SAMPLE_SIZE = 3


@attrs.define
class _ServiceLoad:
    """What recent reports tell about the targets that did not report.

    ``occupancy`` is the mean share of busy slots, by zone. The mean service
    time of a call is ``service_seconds``, and at the fastest target
    ``fastest_seconds``.
    """

    occupancy: dict[str, float]
    service_seconds: float = SERVICE_SECONDS_DEFAULT
    fastest_seconds: float = SERVICE_SECONDS_DEFAULT


class ExpectedFinish(picker.TargetPicker):
    """Picks the target with the earliest estimated completion of the call.

    It balances targets of different speed and zones of different load. The
    estimate is the sum of the wait for a slot, the target's service time,
    the network path, and the expected cost of failures and refusals. Load
    reports arrive with replies; in between, this node adds its own calls.

    In a large fleet a node hears of most targets too rarely to know their
    load. Such targets are taken to be as busy as others of their zone, and
    only a random few of them are compared with those whose load is known.
    """

    name = "expected-finish"
    doc = "earliest estimated completion, from load reported with responses"

    def pick(
        self,
        candidates: abc.Sequence[picker.Candidate],
        now: datetime.timedelta,
        pick_info: picker.PickInfo = picker.DEFAULT_PICK_INFO,
    ) -> picker.Candidate:
        if len(candidates) == 1:
            return candidates[0]
        available = [
            item for item in candidates if not item.stats.is_ejected(now)
        ]
        compared = available or candidates
        known = _estimate_service_load(compared, now)
        best = candidates[0]
        lowest_cost: float | None = None
        for item in _sample(compared, now, self._random):
            jitter = 1 + ESTIMATE_JITTER * (self._random.random() - 0.5)
            cost = self._finish_seconds(item, now, known) * jitter
            cost += call_costs.path_seconds(
                item, self._zone, known.service_seconds, pick_info
            )
            cost += call_costs.failure_seconds(item, now)
            if lowest_cost is None or cost < lowest_cost:
                best, lowest_cost = item, cost
        return best

    def _finish_seconds(
        self,
        item: picker.Candidate,
        now: datetime.timedelta,
        known: _ServiceLoad,
    ) -> float:
        """Return the expected time until a response in the target's zone.

        A target of the own zone that was never asked is taken to be fast, so
        that it is asked.
        """
        busy, slots = _occupancy(item, now, known)
        load = item.stats.load
        if load is not None and load.service:
            service = load.service.total_seconds()
        elif item.member.zone == self._zone:
            service = known.fastest_seconds
        else:
            service = known.service_seconds
        excess = max(0.0, busy + 1 - slots)
        slowdown = 1 + OCCUPANCY_SLOWDOWN * min(busy / slots, 1.0)
        return service * (slowdown + excess / slots)


def _estimate_service_load(
    candidates: abc.Sequence[picker.Candidate], now: datetime.timedelta
) -> _ServiceLoad:
    """Return the means of the reports, weighted by how recent they are."""
    busy: dict[str, float] = {}
    weights: dict[str, float] = {}
    service_times = []
    for item in candidates:
        load = item.stats.load
        if load is None:
            continue
        if load.service:
            service_times.append(load.service.total_seconds())
        weight = 1 - _report_age(item, now) / ZONE_LOAD_AGE_MAX_SECONDS
        if weight <= 0:
            continue
        zone = item.member.zone
        share = (load.in_flight + load.queued) / max(load.limit, 1)
        busy[zone] = busy.get(zone, 0.0) + weight * share
        weights[zone] = weights.get(zone, 0.0) + weight
    total = sum(weights.values())
    mean_share = sum(busy.values()) / total if total else OCCUPANCY_DEFAULT
    occupancy = {
        zone: (busy[zone] + ZONE_PRIOR_REPORTS * mean_share)
        / (weights[zone] + ZONE_PRIOR_REPORTS)
        for zone in busy
    }
    if not service_times:
        return _ServiceLoad(occupancy)
    mean = sum(service_times) / len(service_times)
    return _ServiceLoad(occupancy, mean, min(service_times))


def _sample(
    candidates: abc.Sequence[picker.Candidate],
    now: datetime.timedelta,
    rng: random.Random,
) -> list[picker.Candidate]:
    """Return the targets with a recent report, and a few of the others."""
    sample = []
    unknown: dict[str, list[picker.Candidate]] = {}
    for item in candidates:
        if _report_age(item, now) < LOAD_AGE_MAX_SECONDS:
            sample.append(item)
        else:
            unknown.setdefault(item.member.zone, []).append(item)
    for items in unknown.values():
        sample += rng.sample(items, min(UNKNOWN_SAMPLE_SIZE, len(items)))
    return sample


def _report_age(item: picker.Candidate, now: datetime.timedelta) -> float:
    """Return the age of the load report in seconds."""
    if item.stats.load is None:
        return float("inf")
    return (now - item.stats.load_received_at).total_seconds()


def _occupancy(
    item: picker.Candidate, now: datetime.timedelta, known: _ServiceLoad
) -> tuple[float, int]:
    """Return the calls at a target, running and queued, and its slots."""
    stats = item.stats
    load = stats.load
    slots = item.record.slots or SLOTS_DEFAULT
    expected = known.occupancy.get(item.member.zone, OCCUPANCY_DEFAULT)
    if load is None:
        return expected * slots + stats.in_flight, slots
    slots = max(load.limit, 1)
    others = max(load.in_flight + load.queued - stats.in_flight_at_load, 0)
    age = min(_report_age(item, now) / LOAD_AGE_MAX_SECONDS, 1.0)
    others_now = others * (1 - age) + expected * slots * age
    return others_now + stats.in_flight, slots
