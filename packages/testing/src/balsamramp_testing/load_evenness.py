"""Measures how evenly the calls of a trial were spread over its targets."""

from collections import abc
import datetime

import attrs

from balsamramp_wire import messages

__all__ = ["STATE_INTERVAL", "LoadEvenness"]

# Interval at which the state of all targets is recorded.
STATE_INTERVAL = datetime.timedelta(milliseconds=10)
# Window in which the calls of a target are compared with its fair share.
WINDOW = datetime.timedelta(milliseconds=100)
ARRIVAL_QUANTILE = 0.99

# Name and zone of a target, and its load.
TargetState = tuple[str, str, messages.Load]


@attrs.define
class LoadEvenness:
    """Loads that calls met at their arrival, and idle slots beside queues.

    ``arrival_loads`` are the calls at a target, running and queued, per slot
    when a call arrived. ``avoidable_wait`` is the time that calls waited
    while a target of the same zone had a free slot, summed over all calls.
    """

    arrival_loads: list[float] = attrs.field(factory=list)
    avoidable_wait: datetime.timedelta = datetime.timedelta()
    _arrivals: dict[int, dict[str, int]] = attrs.field(factory=dict)
    _idle: dict[int, dict[str, set[str]]] = attrs.field(factory=dict)
    _zones: dict[str, str] = attrs.field(factory=dict)

    @property
    def arrival_ratio(self) -> float:
        """Return the 99th percentile of the loads at arrival over the mean."""
        mean = sum(self.arrival_loads) / len(self.arrival_loads)
        return self.arrival_load(ARRIVAL_QUANTILE) / mean

    def arrival_load(self, quantile: float) -> float:
        """Return a quantile of the loads at arrival, in calls per slot."""
        ordered = sorted(self.arrival_loads)
        return ordered[int(quantile * (len(ordered) - 1))]

    def record_arrival(
        self, target: str, now: datetime.timedelta, load: messages.Load
    ) -> None:
        """Record the load that a call meets at its target."""
        self.arrival_loads.append((load.in_flight + load.queued) / load.limit)
        window = self._arrivals.setdefault(now // WINDOW, {})
        window[target] = window.get(target, 0) + 1

    def record_state(
        self, now: datetime.timedelta, states: abc.Iterable[TargetState]
    ) -> None:
        """Record the loads of all targets at one moment."""
        free: dict[str, int] = {}
        queued: dict[str, int] = {}
        idle: dict[str, set[str]] = {}
        for target, zone, load in states:
            self._zones[target] = zone
            unused = load.limit - load.in_flight
            free[zone] = free.get(zone, 0) + unused
            queued[zone] = queued.get(zone, 0) + load.queued
            idle.setdefault(zone, set())
            if not load.in_flight:
                idle[zone].add(target)
        for zone, waiting in queued.items():
            self.avoidable_wait += min(waiting, free[zone]) * STATE_INTERVAL
        window = self._idle.setdefault(now // WINDOW, idle)
        if window is idle:
            return
        for zone, targets in idle.items():
            window[zone] &= targets

    def overrun_count(self, fair_share: float) -> int:
        """Return how often a target was overrun beside an idle neighbour.

        That is a window of 100 ms in which it got more than twice
        ``fair_share`` calls, while another target of its zone had none
        running at any of the recorded moments.
        """
        found = 0
        for number, arrivals in self._arrivals.items():
            idle = self._idle.get(number, {})
            for target, calls in arrivals.items():
                if calls <= 2 * fair_share:
                    continue
                others = idle.get(self._zones[target], set()) - {target}
                found += bool(others)
        return found
