"""A rate-limited view of the live members for routing."""

import datetime

import attrs

from balsamramp_core import clock
from balsamramp_node.membership import member_list
from balsamramp_node.membership import zone_reachability
from balsamramp_wire import messages

__all__ = ["MemberView"]

PUBLISH_INTERVAL = datetime.timedelta(milliseconds=100)


class MemberView:
    """The live members, rebuilt at a bounded rate as the list changes.

    Changes within PUBLISH_INTERVAL are published together, so that
    readers rebuild their derived data no more often than that. Members
    of an unreachable zone are shown as suspected.
    """

    def __init__(
        self,
        members: member_list.MemberList,
        reachability: zone_reachability.ZoneReachability,
        time: clock.Clock,
    ) -> None:
        self._list = members
        self._reachability = reachability
        self._clock = time
        self._generation = 0
        self._stale = True
        self._published_at: datetime.timedelta | None = None
        self._members: list[messages.Member] = []

    @property
    def generation(self) -> int:
        """Return a number that increases when the view changes."""
        if self._stale:
            self._refresh()
        return self._generation

    @property
    def members(self) -> list[messages.Member]:
        """Return the live members, sorted by zone and name."""
        if self._stale:
            self._refresh()
        return self._members

    def invalidate(self) -> None:
        """Rebuild the view at the next access after the interval."""
        self._stale = True

    def invalidate_now(self) -> None:
        """Rebuild the view at the next access."""
        self._stale = True
        self._published_at = None

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        published_at = self._published_at
        if published_at is not None and now - published_at < PUBLISH_INTERVAL:
            return
        self._published_at = now
        self._stale = False
        self._generation += 1
        unreachable = self._reachability.unreachable_zones()
        if not unreachable:
            self._members = list(self._list.alive())
            return
        suspect = messages.MemberState.SUSPECT
        self._members = [
            attrs.evolve(member, state=suspect)
            if member.zone in unreachable
            else member
            for member in self._list.alive()
        ]
