"""Counts the calls of each organisation that the target here began."""

import datetime

import attrs

from balsamramp_core import metrics
from balsamramp_node.usage import fleet_time
from balsamramp_node.usage import usage_windows
from balsamramp_wire import usage_messages

__all__ = ["UsageCounter"]

# Bounds the memory whatever names arrive in calls.
ORGANISATIONS_MAX = 1000
NAME_MAX_BYTES = 128
# Calls that the target refuses are taken back meanwhile, so that a closed
# window seldom changes.
CLOSE_DELAY = datetime.timedelta(milliseconds=300)


@attrs.define
class _Window:
    sequence: int = 1
    closed: bool = False
    counts: dict[str, int] = attrs.field(factory=dict)


class UsageCounter:
    """Counts by window of the fleet's time; keeps the last few windows."""

    def __init__(
        self,
        windows: usage_windows.UsageWindows,
        fleet: fleet_time.FleetTime,
        counters: metrics.Metrics,
    ) -> None:
        self._usage_windows = windows
        self._fleet = fleet
        self._metrics = counters
        self._windows: dict[int, _Window] = {}

    def begin(self, organisation: str, at: datetime.timedelta) -> None:
        """Count a call that the target begins at monotonic time ``at``."""
        self._add(organisation, at, 1)

    def take_back(self, organisation: str, at: datetime.timedelta) -> None:
        """Take back a call begun at ``at`` that the target has not run."""
        self._add(organisation, at, -1)

    def roll(self) -> None:
        """Close the windows that have ended and forget old ones.

        Windows without calls are closed as well, so that a collector can
        tell an idle node from one that it has not heard of.
        """
        now = self._fleet.now()
        running = self._usage_windows.window_at(now)
        first = running - self._usage_windows.retained
        for number in list(self._windows):
            if not self._usage_windows.is_retained(number, now):
                del self._windows[number]
        for number in range(first, running + 1):
            window = self._windows.setdefault(number, _Window())
            end = self._usage_windows.end(number) + CLOSE_DELAY
            if window.closed or now < end:
                continue
            window.closed = True
            window.sequence += 1

    def records(self) -> list[usage_messages.WindowCounts]:
        """Return the counts of all windows kept, oldest first."""
        return [
            usage_messages.WindowCounts(
                window=number,
                sequence=window.sequence,
                closed=window.closed,
                counts=dict(window.counts),
            )
            for number, window in sorted(self._windows.items())
        ]

    def _add(
        self, organisation: str, at: datetime.timedelta, change: int
    ) -> None:
        if not organisation:
            return
        wall = self._fleet.at(at)
        number = self._usage_windows.window_at(wall)
        if not self._usage_windows.is_retained(number, self._fleet.now()):
            return
        window = self._windows.setdefault(number, _Window())
        count = window.counts.get(organisation)
        if count is None and (
            len(window.counts) >= ORGANISATIONS_MAX
            or len(organisation.encode()) > NAME_MAX_BYTES
        ):
            self._metrics.count("usage_names_dropped_total")
            return
        window.counts[organisation] = max((count or 0) + change, 0)
        window.sequence += 1
