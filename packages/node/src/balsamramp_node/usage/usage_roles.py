"""Which nodes collect usage, and which may report it."""

from balsamramp_node.membership import member_list
from balsamramp_wire import messages

__all__ = ["UsageRoles"]

# A zone's counts survive the end of one of its collectors.
COLLECTORS_PER_ZONE = 2


class UsageRoles:
    """Gives the roles to the nodes that started first.

    A node that joins or restarts takes no role from another one. Nodes with
    different views may disagree: what follows is more messages, as only the
    lease decides who reports.
    """

    def __init__(
        self, own: messages.Member, members: member_list.MemberList
    ) -> None:
        self._own = own
        self._members = members

    @property
    def is_collector(self) -> bool:
        """Return whether this node collects the counts of its zone."""
        names = [member.node for member in self.collectors(self._own.zone)]
        return self._own.node in names

    @property
    def position(self) -> int | None:
        """Return the rank of this node among the candidates, or None."""
        names = [member.node for member in self.candidates()]
        if self._own.node not in names:
            return None
        return names.index(self._own.node)

    def collectors(self, zone: str) -> list[messages.Member]:
        """Return the collectors of a zone, the first one first."""
        members = sorted(self._members.alive_in(zone), key=_rank)
        return members[:COLLECTORS_PER_ZONE]

    def candidates(self) -> list[messages.Member]:
        """Return the first collector of each zone, in order of their rank."""
        found = []
        for zone in self._members.zones:
            found += self.collectors(zone)[:1]
        return sorted(found, key=_rank)

    def other_candidates(self) -> list[messages.Member]:
        """Return the candidates other than this node."""
        return [
            member
            for member in self.candidates()
            if member.node != self._own.node
        ]


def _rank(member: messages.Member) -> tuple[int, str]:
    return member.incarnation, member.node
