"""Zone contacts: when this zone last exchanged with each other zone."""

from collections import abc
import datetime

from balsamramp_core import clock
from balsamramp_node.membership import member_list

__all__ = ["ZoneReachability"]

SILENT_AFTER = datetime.timedelta(seconds=3)


class ZoneReachability:
    """Contacts of the whole zone, merged by the latest.

    Few nodes of a large zone meet another zone in a given round, so the
    nodes tell each other how long ago it was. A zone without contact for
    longer than that takes is silent: it may be cut off or dead, and its
    nodes are not judged one by one.
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
        self._met_at: dict[str, datetime.timedelta] = {}
        self._known: frozenset[str] = frozenset()

    def record_contact(self, zone: str) -> bool:
        """Note an exchange with ``zone``; tell whether it was silent."""
        self._met_at[zone] = self._clock.monotonic()
        return zone in self._known

    def ages(self) -> dict[str, datetime.timedelta]:
        """Return how long ago each other zone was met."""
        now = self._clock.monotonic()
        return {zone: now - at for zone, at in self._met_at.items()}

    def merge(self, ages: abc.Mapping[str, datetime.timedelta]) -> None:
        """Take in what another node of this zone said."""
        now = self._clock.monotonic()
        for zone, age in ages.items():
            at = now - age
            if at > self._met_at.get(zone, at - age):
                self._met_at[zone] = at

    def unreachable_zones(self) -> frozenset[str]:
        """Return the zones without contact for too long."""
        self.refresh()
        return self._known

    def refresh(self) -> bool:
        """Tell whether other zones are silent than at the last look."""
        now = self._clock.monotonic()
        zones = [
            zone for zone in self._members.zones if zone != self._own_zone
        ]
        size = len(self._members.alive_in(self._own_zone))
        rounds = member_list.gossip_rounds(size) + len(zones)
        limit = SILENT_AFTER + self._interval * rounds
        found = set()
        for zone in zones:
            if now - self._met_at.setdefault(zone, now) > limit:
                found.add(zone)
        before, self._known = self._known, frozenset(found)
        return before != self._known
