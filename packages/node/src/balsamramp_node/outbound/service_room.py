"""Estimates whether another target of a service has room for a request.

It answers the load above the capacity of a service. A node that refuses a
request tells that its own target is full; at such a load most others are
full too. Asking four of them for each request costs more processor time than
serving the requests that find room, and every refusal arrives later.
"""

import datetime
import typing

import attrs

from balsamramp_node.outbound import picker
from balsamramp_node.outbound import recent_refusals

__all__ = ["AskedPlace", "ServiceRoom"]

# Age at which what was learnt counts half. The queue of a target is as long
# as a few tenths of a second.
HALF_LIFE = datetime.timedelta(milliseconds=500)
# Requests without a refusal that are assumed beside those observed, so that
# a single refusal does not decide.
PRIOR_ASKED = 4.0
PRIOR_REFUSED = 0.5
# Requests observed in a zone that count as much as all zones together.
ZONE_PRIOR_ASKED = 4.0
# Chance that is needed for asking another target after a refusal. Below it
# more requests ask than are admitted, so that a request which asks again
# takes a slot from another one and serves nobody more.
REPEAT_CHANCE_MIN = 0.5
# Chance that is needed for asking at all. A refusal costs the two nodes
# about a tenth of the processor time of a request that is served.
ASK_CHANCE_MIN = 0.1
# Interval of requests that are sent although there is little chance, by
# which this node learns that a zone has room again.
PROBE_INTERVAL = datetime.timedelta(milliseconds=100)
# Age up to which a report of free slots counts more than the estimate.
FREE_REPORT_AGE_MAX = datetime.timedelta(milliseconds=200)
# The longest wait that a refused caller is told.
RETURN_WAIT_MAX = datetime.timedelta(seconds=5)
# Estimates that are kept; the oldest are evicted and their targets asked.
ESTIMATES_MAX = 1_000
# Weight of the last refusal in the mean time until a free slot.
WAIT_WEIGHT = 0.2
NONE = datetime.timedelta()

_ALL_ZONES = ""


@attrs.frozen(kw_only=True)
class AskedPlace:
    """A target that may be asked to serve a request.

    ``time_left`` is the time until the deadline of the request. A request
    with more time may wait longer for a slot, so what was learnt from one
    with less does not apply to it. The same holds for another ``priority``,
    which differs by organisation within an entry.
    """

    service: str
    entry: str
    zone: str
    target: str
    time_left: datetime.timedelta
    priority: int = 0

    @property
    def request_class(self) -> str:
        """Return what requests have in common that are refused alike."""
        return f"{self.priority} {self.entry}"


@attrs.define
class _Estimate:
    """Requests asked and refused, with weights that decay with age.

    ``wait`` is the mean time until a free slot by the last refusals.
    """

    updated_at: datetime.timedelta
    asked: float = 0.0
    refused: float = 0.0
    time_left: datetime.timedelta = NONE
    wait: datetime.timedelta = NONE
    probed_at: datetime.timedelta | None = None

    def decay(self, now: datetime.timedelta) -> None:
        factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE)
        self.asked *= factor
        self.refused *= factor
        self.updated_at = now


class ServiceRoom:
    """Decides whether to ask a target, from the outcomes of other requests.

    The chance of being admitted is estimated for each entry of a service,
    priority and zone. A request is sent to a first target unless nearly all
    were refused just before, and to another one after a refusal only if that
    is likely to be admitted. Some requests are sent in any case, so that room
    is found soon after it returns.

    The state is this node's own and is lost with it; a node that starts
    asks.

    Example::

        room.record_asked(place, now)
        room.record_refused(place, now, wait)
        room.may_ask(place, stats, now, refusals=1)
    """

    def __init__(self) -> None:
        self._refusals = recent_refusals.RecentRefusals()
        self._estimates: dict[tuple[str, str, str], _Estimate] = {}

    def any_recent_refusal(self, now: datetime.timedelta) -> bool:
        """Return whether ``retry_delay`` is set for any target."""
        return self._refusals.any_recent(now)

    def retry_delay(
        self, place: AskedPlace, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Return the wait at a target that just refused, else None."""
        return self._refusals.retry_delay(
            place.target, place.request_class, now, place.time_left
        )

    def record_asked(self, place: AskedPlace, now: datetime.timedelta) -> None:
        """Record that a request is sent to the target."""
        for estimate in self._estimates_of(place, now):
            estimate.asked += 1
            estimate.probed_at = now

    def record_admitted(self, place: AskedPlace) -> None:
        """Record that the target answered a request."""
        self._refusals.clear_refusal(place.target, place.request_class)

    def record_refused(
        self,
        place: AskedPlace,
        now: datetime.timedelta,
        wait: datetime.timedelta,
    ) -> None:
        """Record a refusal; ``wait`` is the time until a slot is free."""
        self._refusals.record_refusal(
            place.target, place.request_class, now, place.time_left, wait
        )
        for estimate in self._estimates_of(place, now):
            if estimate.refused < PRIOR_REFUSED:
                estimate.time_left = NONE
                estimate.wait = wait
            estimate.wait += (wait - estimate.wait) * WAIT_WEIGHT
            estimate.time_left = max(estimate.time_left, place.time_left)
            estimate.refused += 1

    def chance(self, place: AskedPlace, now: datetime.timedelta) -> float:
        """Return the probability that the zone of ``place`` has room."""
        everywhere = self._find(place, _ALL_ZONES, now)
        if everywhere is None or _is_longer(place, everywhere):
            return 1.0
        asked = PRIOR_ASKED + everywhere.asked
        overall = (PRIOR_REFUSED + everywhere.refused) / asked
        zone = self._find(place, place.zone, now)
        if zone is None:
            return _to_chance(overall)
        refused = zone.refused + ZONE_PRIOR_ASKED * overall
        return _to_chance(refused / (zone.asked + ZONE_PRIOR_ASKED))

    def may_ask(
        self,
        place: AskedPlace,
        stats: picker.TargetStats,
        now: datetime.timedelta,
        refusals: int,
    ) -> bool:
        """Return whether to send a request that had ``refusals`` so far."""
        if _reports_free_slot(stats, now):
            return True
        chance = self.chance(place, now)
        if refusals:
            return chance >= REPEAT_CHANCE_MIN
        if chance >= ASK_CHANCE_MIN:
            return True
        zone = self._find(place, place.zone, now)
        if zone is None or zone.probed_at is None:
            return True
        return now - zone.probed_at >= PROBE_INTERVAL

    def expected_wait(self, place: AskedPlace) -> datetime.timedelta:
        """Return the mean time until a free slot by the last refusals."""
        key = (place.service, place.request_class, _ALL_ZONES)
        estimate = self._estimates.get(key)
        return NONE if estimate is None else estimate.wait

    def return_wait(
        self,
        place: AskedPlace,
        now: datetime.timedelta,
        wait: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return after how long a refused caller is likely to be admitted.

        ``wait`` is the time until the next slot. A caller that returns then
        has the same chance as the others, so that it needs several tries.
        """
        chance = max(self.chance(place, now), ASK_CHANCE_MIN)
        return max(min(wait / chance, RETURN_WAIT_MAX), wait)

    def _estimates_of(
        self, place: AskedPlace, now: datetime.timedelta
    ) -> typing.Iterator[_Estimate]:
        for zone in (_ALL_ZONES, place.zone):
            estimate = self._find(place, zone, now)
            if estimate is None:
                while len(self._estimates) >= ESTIMATES_MAX:
                    del self._estimates[next(iter(self._estimates))]
                estimate = _Estimate(now)
                self._estimates[(place.service, place.request_class, zone)] = (
                    estimate
                )
            yield estimate

    def _find(
        self, place: AskedPlace, zone: str, now: datetime.timedelta
    ) -> _Estimate | None:
        estimate = self._estimates.get(
            (place.service, place.request_class, zone)
        )
        if estimate is not None:
            estimate.decay(now)
        return estimate


def _is_longer(place: AskedPlace, estimate: _Estimate) -> bool:
    """Return whether the request may wait longer than those refused."""
    longest = estimate.time_left * recent_refusals.TIME_LEFT_TOLERANCE
    return bool(estimate.time_left) and place.time_left > longest


def _to_chance(refused_share: float) -> float:
    return min(max(1 - refused_share, 0.0), 1.0)


def _reports_free_slot(
    stats: picker.TargetStats, now: datetime.timedelta
) -> bool:
    load = stats.load
    if load is None or load.queued or load.link_wait:
        return False
    if now - stats.load_received_at > FREE_REPORT_AGE_MAX:
        return False
    own_since = max(stats.in_flight - stats.in_flight_at_load, 0)
    return load.in_flight + own_since < load.limit
