"""Expected finish: the target whose answer will probably come first."""

from collections import abc
import datetime

from balsamramp_node.outbound import picker

__all__ = ["ExpectedFinish"]

# A load older than this says nothing; a second is ten answers from a
# target in use.
LOAD_AGE_MAX = datetime.timedelta(seconds=1)
SERVICE_DEFAULT = datetime.timedelta(milliseconds=100)
# Assumed for targets that do not say how many calls they run.
SLOTS_DEFAULT = 8
# What a place in another zone costs: the way there and back, and for large
# answers the bytes between zones, which operators pay for.
CROSS_ZONE = datetime.timedelta(milliseconds=8)
CROSS_ZONE_LARGE = datetime.timedelta(milliseconds=200)
# What a failed or refused call costs its caller: another attempt.
FAILING_COST = datetime.timedelta(milliseconds=400)
REFUSED_COST = datetime.timedelta(milliseconds=100)
REFUSAL_PENALTY_WINDOW = datetime.timedelta(milliseconds=200)
# Part by which a target slows down as its slots fill.
FILLING_COST = 0.3
# Spread of the estimates, so that callers who know the same differ.
SPREAD = 0.1


class ExpectedFinish(picker.TargetPicker):
    """Answers targets of different speed, and zones of different load.

    The estimate is the wait for a slot, the target's own service time,
    the way there, and what its failures and refusals cost. Load comes
    along with answers; in between, this node's own calls are counted in.
    """

    name = "expected-finish"
    doc = "least wait, service time and way, from the load with answers"

    def pick(
        self,
        candidates: abc.Sequence[picker.Candidate],
        now: datetime.timedelta,
        pick_info: picker.PickInfo = picker.DEFAULT_PICK_INFO,
    ) -> picker.Candidate:
        usable = [
            item for item in candidates if not item.stats.is_ejected(now)
        ]
        best = candidates[0]
        least: datetime.timedelta | None = None
        for item in usable or candidates:
            noise = 1 + SPREAD * (self._random.random() - 0.5)
            cost = self._cost(item, now, pick_info) * noise
            if least is None or cost < least:
                best, least = item, cost
        return best

    def _cost(
        self,
        item: picker.Candidate,
        now: datetime.timedelta,
        pick_info: picker.PickInfo,
    ) -> datetime.timedelta:
        busy, slots = _occupation(item, now)
        service = _service(item, now)
        excess = max(0.0, busy + 1 - slots)
        filling = 1 + FILLING_COST * min(busy / slots, 1.0)
        cost = service * (filling + excess / slots)
        if item.member.zone != self._zone:
            cost += CROSS_ZONE_LARGE if pick_info.large else CROSS_ZONE
        load = item.stats.load
        if load is not None:
            cost += FAILING_COST * load.failing
        refused_at = item.stats.refused_at
        if (
            refused_at is not None
            and now - refused_at < REFUSAL_PENALTY_WINDOW
        ):
            cost += REFUSED_COST
        return cost


def _occupation(
    item: picker.Candidate, now: datetime.timedelta
) -> tuple[float, int]:
    """Return the calls at a target, here and queued, and its slots."""
    stats = item.stats
    load = stats.load
    slots = item.record.slots or SLOTS_DEFAULT
    if load is None:
        return stats.in_flight, slots
    others = load.in_flight + load.queued - stats.in_flight_at_load
    age = (now - stats.load_received_at) / LOAD_AGE_MAX
    others_now = max(others, 0) * max(0.0, 1.0 - age)
    return others_now + stats.in_flight, max(load.limit, 1)


def _service(
    item: picker.Candidate, now: datetime.timedelta
) -> datetime.timedelta:
    load = item.stats.load
    if load is None or not load.service:
        return SERVICE_DEFAULT
    return load.service
