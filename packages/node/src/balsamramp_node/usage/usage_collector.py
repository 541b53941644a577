"""Adds up the counts of nodes and zones by window."""

from collections import abc
import typing

import attrs

from balsamramp_node.membership import member_list
from balsamramp_node.usage import fleet_time
from balsamramp_node.usage import usage_windows
from balsamramp_wire import usage_messages

__all__ = ["UsageCollector"]

# Starts of nodes whose counts are kept for one window.
STARTS_MAX = 4096
# Collectors of one zone, and starts of them, whose totals are kept.
SENDERS_MAX = 16
ORGANISATIONS_MAX = 4000

_StartKey = tuple[str, int]
_Totals = dict[_StartKey, usage_messages.ZoneWindow]


@attrs.define
class _Window:
    nodes: dict[_StartKey, usage_messages.WindowCounts] = attrs.field(
        factory=dict
    )
    zones: dict[str, _Totals] = attrs.field(factory=dict)


class UsageCollector:
    """Counts of this node's zone by node, and of other zones in total.

    Repeated and reordered messages change nothing: a record of a node
    replaces one with a lower sequence, and so does a total of a zone that
    the same collector sent. Of the totals of several collectors the greater
    count of each organisation is taken, as each one knows at most all calls
    of its zone.
    """

    def __init__(
        self,
        zone: str,
        members: member_list.MemberList,
        windows: usage_windows.UsageWindows,
        fleet: fleet_time.FleetTime,
    ) -> None:
        self._zone = zone
        self._members = members
        self._usage_windows = windows
        self._fleet = fleet
        self._windows: dict[int, _Window] = {}

    def merge_node(
        self,
        node: str,
        incarnation: int,
        records: abc.Iterable[usage_messages.WindowCounts],
    ) -> tuple[int, ...]:
        """Keep the counts of a node of this zone; return the windows kept."""
        kept = []
        key = (node, incarnation)
        for record in records:
            window = self._window(record.window)
            if window is None:
                continue
            known = window.nodes.get(key)
            if known is None and len(window.nodes) >= STARTS_MAX:
                continue
            if known is None or known.sequence < record.sequence:
                window.nodes[key] = record
            kept.append(record.window)
        return tuple(kept)

    def merge_zone(
        self,
        zone: str,
        node: str,
        incarnation: int,
        totals: abc.Iterable[usage_messages.ZoneWindow],
    ) -> tuple[int, ...]:
        """Keep another zone's counts as ``node`` knows them.

        Returns the windows kept.
        """
        kept = []
        key = (node, incarnation)
        for total in totals:
            window = self._window(total.window)
            if window is None:
                continue
            senders = window.zones.setdefault(zone, {})
            known = senders.get(key)
            if known is not None:
                total = _replace(known, total)
            elif len(senders) >= SENDERS_MAX:
                del senders[next(iter(senders))]
            senders[key] = total
            kept.append(total.window)
        return tuple(kept)

    def zone_windows(self) -> list[usage_messages.ZoneWindow]:
        """Return the counts of this zone, oldest window first."""
        self._forget()
        return [
            usage_messages.ZoneWindow(
                window=number,
                sequence=sum(
                    record.sequence for record in window.nodes.values()
                ),
                complete=self._is_own_zone_complete(window),
                counts=_sum(record.counts for record in window.nodes.values()),
            )
            for number, window in sorted(self._windows.items())
        ]

    def totals(self, number: int) -> dict[str, int]:
        """Return the counts of all zones in a window."""
        window = self._windows.get(number, _Window())
        parts = [record.counts for record in window.nodes.values()]
        parts += [
            _greatest(senders.values())
            for zone, senders in window.zones.items()
            if zone != self._zone
        ]
        return _sum(parts)

    def is_complete(self, number: int) -> bool:
        """Return whether all zones have told all counts of a window.

        That includes zones whose nodes are all lost or out of reach, so
        that their counts are waited for.
        """
        window = self._windows.get(number)
        if window is None or not self._is_own_zone_complete(window):
            return False
        expected = set(self._members.zones) - {self._zone}
        for known in self._windows.values():
            expected |= set(known.zones) - {self._zone}
        for zone in expected:
            senders = window.zones.get(zone, {})
            if not any(total.complete for total in senders.values()):
                return False
        return True

    def dump(self) -> dict[str, typing.Any]:
        """Return the number of nodes and zones heard of in each window."""
        return {
            str(number): {
                "nodes": len(window.nodes),
                "zones": len(window.zones),
            }
            for number, window in sorted(self._windows.items())
        }

    def _is_own_zone_complete(self, window: _Window) -> bool:
        for member in self._members.alive_in(self._zone):
            record = window.nodes.get((member.node, member.incarnation))
            if record is None or not record.closed:
                return False
        return True

    def _window(self, number: int) -> _Window | None:
        """Return a window, or None if it is too old or in the future."""
        if not self._usage_windows.is_retained(number, self._fleet.now()):
            return None
        self._forget()
        return self._windows.setdefault(number, _Window())

    def _forget(self) -> None:
        now = self._fleet.now()
        for number in list(self._windows):
            if not self._usage_windows.is_retained(number, now):
                del self._windows[number]


def _replace(
    known: usage_messages.ZoneWindow, total: usage_messages.ZoneWindow
) -> usage_messages.ZoneWindow:
    """Return the later one of two totals of the same sender.

    A total of the same sequence may be complete only now, as a node that
    was waited for is lost.
    """
    later = known if total.sequence < known.sequence else total
    return attrs.evolve(later, complete=known.complete or total.complete)


def _greatest(
    totals: abc.Iterable[usage_messages.ZoneWindow],
) -> dict[str, int]:
    counts: dict[str, int] = {}
    for total in totals:
        for name, count in total.counts.items():
            counts[name] = max(counts.get(name, 0), count)
    return counts


def _sum(parts: abc.Iterable[abc.Mapping[str, int]]) -> dict[str, int]:
    totals: dict[str, int] = {}
    for counts in parts:
        for name, count in counts.items():
            if name not in totals and len(totals) >= ORGANISATIONS_MAX:
                continue
            if count:
                totals[name] = totals.get(name, 0) + count
    return totals
