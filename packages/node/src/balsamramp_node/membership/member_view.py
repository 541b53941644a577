"""Member view: the members as the rest of the node sees them."""

import datetime

import attrs

from balsamramp_core import clock
from balsamramp_node.membership import member_list
from balsamramp_node.membership import zone_reachability
from balsamramp_wire import messages

__all__ = ["MemberView"]

PUBLISH_INTERVAL = datetime.timedelta(milliseconds=100)


class MemberView:
    """Live members, rebuilt at a bounded rate as the list changes.

    Changes within PUBLISH_INTERVAL count as one, so that readers rebuild
    what depends on the view no more often than that. Members of a zone
    without contact for long are shown as suspected.
    """

    def __init__(
        self,
        members: member_list.MemberList,
        contacts: zone_reachability.ZoneReachability,
        time: clock.Clock,
    ) -> None:
        self._list = members
        self._contacts = contacts
        self._clock = time
        self._generation = 0
        self._stale = True
        self._published_at: datetime.timedelta | None = None
        self._members: list[messages.Member] = []

    @property
    def generation(self) -> int:
        """Return a number that rises as the view changes."""
        if self._stale:
            self._refresh()
        return self._generation

    @property
    def members(self) -> list[messages.Member]:
        """Return the members not known to be gone, by zone and name."""
        if self._stale:
            self._refresh()
        return self._members

    def invalidate(self) -> None:
        """Rebuild the view at the next look, once the interval is over."""
        self._stale = True

    def invalidate_now(self) -> None:
        """Rebuild the view at the next look."""
        self._stale = True
        self._published_at = None

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        last = self._published_at
        if last is not None and now - last < PUBLISH_INTERVAL:
            return
        self._published_at = now
        self._stale = False
        self._generation += 1
        silent = self._contacts.unreachable_zones()
        if not silent:
            self._members = list(self._list.alive())
            return
        suspect = messages.MemberState.SUSPECT
        self._members = [
            attrs.evolve(member, state=suspect)
            if member.zone in silent
            else member
            for member in self._list.alive()
        ]
