"""Target picker by the estimated completion time."""

from collections import abc
import datetime

from balsamramp_node.outbound import picker

__all__ = ["ExpectedFinish"]

# Age at which a load report no longer counts: a target in use sends about ten
# responses in that time.
LOAD_AGE_MAX = datetime.timedelta(seconds=1)
SERVICE_TIME_DEFAULT = datetime.timedelta(milliseconds=100)
# Assumed for targets that do not report their number of slots.
SLOTS_DEFAULT = 8
# Cost of a target in another zone: the round trip, and for large responses the
# traffic between zones, which operators pay for.
CROSS_ZONE_COST = datetime.timedelta(milliseconds=8)
CROSS_ZONE_COST_LARGE = datetime.timedelta(milliseconds=200)
# Cost of a failed or refused call to its caller: another attempt.
FAILURE_COST = datetime.timedelta(milliseconds=400)
REFUSAL_COST = datetime.timedelta(milliseconds=100)
REFUSAL_PENALTY_WINDOW = datetime.timedelta(milliseconds=200)
# Fraction by which a target slows down when all its slots are in use.
OCCUPANCY_SLOWDOWN = 0.3
# Jitter of the estimates, so that callers with the same data pick different
# targets.
ESTIMATE_JITTER = 0.1


class ExpectedFinish(picker.TargetPicker):
    """Picks the target with the earliest estimated completion of the call.

    It balances targets of different speed and zones of different load. The
    estimate is the sum of the wait for a slot, the target's service time,
    the network path, and the expected cost of failures and refusals. Load
    reports arrive with replies; in between, this node adds its own calls.
    """

    name = "expected-finish"
    doc = "earliest estimated completion, from load reported with responses"

    def pick(
        self,
        candidates: abc.Sequence[picker.Candidate],
        now: datetime.timedelta,
        pick_info: picker.PickInfo = picker.DEFAULT_PICK_INFO,
    ) -> picker.Candidate:
        available = [
            item for item in candidates if not item.stats.is_ejected(now)
        ]
        best = candidates[0]
        lowest_cost: datetime.timedelta | None = None
        for item in available or candidates:
            jitter = 1 + ESTIMATE_JITTER * (self._random.random() - 0.5)
            cost = self._cost(item, now, pick_info) * jitter
            if lowest_cost is None or cost < lowest_cost:
                best, lowest_cost = item, cost
        return best

    def _cost(
        self,
        item: picker.Candidate,
        now: datetime.timedelta,
        pick_info: picker.PickInfo,
    ) -> datetime.timedelta:
        busy, slots = _occupancy(item, now)
        service_time = _service_time(item, now)
        excess = max(0.0, busy + 1 - slots)
        slowdown = 1 + OCCUPANCY_SLOWDOWN * min(busy / slots, 1.0)
        cost = service_time * (slowdown + excess / slots)
        if item.member.zone != self._zone:
            cost += (
                CROSS_ZONE_COST_LARGE if pick_info.large else CROSS_ZONE_COST
            )
        load = item.stats.load
        if load is not None:
            cost += FAILURE_COST * load.failing
            if pick_info.large:
                cost += load.link_wait
        refused_at = item.stats.refused_at
        if (
            refused_at is not None
            and now - refused_at < REFUSAL_PENALTY_WINDOW
        ):
            cost += REFUSAL_COST
        return cost


def _occupancy(
    item: picker.Candidate, now: datetime.timedelta
) -> tuple[float, int]:
    """Return the calls at a target, running and queued, and its slots."""
    stats = item.stats
    load = stats.load
    slots = item.record.slots or SLOTS_DEFAULT
    if load is None:
        return stats.in_flight, slots
    others = load.in_flight + load.queued - stats.in_flight_at_load
    age = (now - stats.load_received_at) / LOAD_AGE_MAX
    others_now = max(others, 0) * max(0.0, 1.0 - age)
    return others_now + stats.in_flight, max(load.limit, 1)


def _service_time(
    item: picker.Candidate, now: datetime.timedelta
) -> datetime.timedelta:
    load = item.stats.load
    if load is None or not load.service:
        return SERVICE_TIME_DEFAULT
    return load.service
