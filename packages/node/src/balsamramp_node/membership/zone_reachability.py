"""Tracks when this zone last exchanged with each other zone."""

from collections import abc
import datetime

from balsamramp_core import clock
from balsamramp_node.membership import member_list

__all__ = ["ZoneReachability"]

UNREACHABLE_AFTER_MIN = datetime.timedelta(seconds=3)


class ZoneReachability:
    """The latest contact of any node of this zone with each other zone.

    Few nodes of a large zone exchange with another zone in a given round,
    so the nodes gossip how long ago the last contact was. A zone without
    contact for longer than that takes is unreachable. It may be
    partitioned or down, so its nodes are not declared dead one by one.
    """

    def __init__(
        self,
        own_zone: str,
        members: member_list.MemberList,
        time: clock.Clock,
        interval: datetime.timedelta,
    ) -> None:
        self._own_zone = own_zone
        self._members = members
        self._clock = time
        self._interval = interval
        self._contacted_at: dict[str, datetime.timedelta] = {}
        self._unreachable: frozenset[str] = frozenset()

    def record_contact(self, zone: str) -> bool:
        """Record an exchange with ``zone``; return if it was unreachable."""
        self._contacted_at[zone] = self._clock.monotonic()
        return zone in self._unreachable

    def ages(self) -> dict[str, datetime.timedelta]:
        """Return the time since the last contact with each other zone."""
        now = self._clock.monotonic()
        return {
            zone: now - contacted_at
            for zone, contacted_at in self._contacted_at.items()
        }

    def merge(self, ages: abc.Mapping[str, datetime.timedelta]) -> None:
        """Merge the ages that another node of this zone reported."""
        now = self._clock.monotonic()
        for zone, age in ages.items():
            contacted_at = now - age
            if contacted_at > self._contacted_at.get(zone, contacted_at - age):
                self._contacted_at[zone] = contacted_at

    def unreachable_zones(self) -> frozenset[str]:
        """Return the zones that are unreachable."""
        self.refresh()
        return self._unreachable

    def refresh(self) -> bool:
        """Recompute the unreachable zones; return whether they changed."""
        now = self._clock.monotonic()
        zones = [
            zone for zone in self._members.zones if zone != self._own_zone
        ]
        size = len(self._members.alive_in(self._own_zone))
        rounds = member_list.gossip_rounds(size) + len(zones)
        limit = UNREACHABLE_AFTER_MIN + self._interval * rounds
        unreachable = set()
        for zone in zones:
            if now - self._contacted_at.setdefault(zone, now) > limit:
                unreachable.add(zone)
        previous, self._unreachable = self._unreachable, frozenset(unreachable)
        return previous != self._unreachable
