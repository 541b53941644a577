"""Peer choice: with whom a node exchanges next."""

from collections import abc
import random

from balsamramp_core import settings
from balsamramp_node.membership import member_list
from balsamramp_wire import messages

__all__ = ["PeerSelector"]

PARTNERS_MAX = 8
PARTNER_RENEWAL_SHARE = 1 / 8


class PeerSelector:
    """Chooses peers in the zone, in other zones and among the seeds.

    In the zone a node keeps a few partners, which change slowly. So the
    connections to them last, while over time every node meets every
    other of its zone.
    """

    def __init__(
        self,
        own: messages.Member,
        seeds: abc.Sequence[settings.Address],
        members: member_list.MemberList,
        rng: random.Random,
    ) -> None:
        self._node = own.node
        self._zone = own.zone
        self._seeds = seeds
        self._members = members
        self._random = rng
        self._partners: dict[int, str] = {}

    def in_zone(self) -> messages.Member | None:
        """Return a partner, or None if this node is alone in its zone."""
        members = self._members.alive_in(self._zone)
        if len(members) < 2:
            return None
        slot = self._random.randrange(min(PARTNERS_MAX, len(members) - 1))
        known = self._partners.get(slot)
        member = self._members.get(known) if known else None
        usable = (
            member is not None
            and member.state not in member_list.DEPARTED_STATES
        )
        renew = self._random.random() < PARTNER_RENEWAL_SHARE
        if member is not None and usable and not renew:
            return member
        member = self._random.choice(members)
        while member.node == self._node:
            member = self._random.choice(members)
        self._partners[slot] = member.node
        return member

    def across_zones(self) -> messages.Member | None:
        """Return a node of another zone, or None if none is known."""
        zones = [
            zone
            for zone in self._members.zones
            if zone != self._zone and self._members.alive_in(zone)
        ]
        if not zones:
            return None
        zone = self._random.choice(zones)
        return self._random.choice(self._members.alive_in(zone))

    def seed(
        self, listed: abc.Sequence[settings.Address] = ()
    ) -> settings.Address | None:
        """Return the address of a seed, or of a node that is listed."""
        own = self._members.get(self._node)
        addresses = [
            item
            for item in (*self._seeds, *listed)
            if not own or item != own.control
        ]
        return self._random.choice(addresses) if addresses else None
