"""Selects the peers for gossip exchanges."""

from collections import abc
import random

from balsamramp_core import settings
from balsamramp_node.membership import member_list
from balsamramp_wire import messages

__all__ = ["PeerSelector"]

PARTNERS_MAX = 8
PARTNER_REPLACEMENT_PROBABILITY = 1 / 8


class PeerSelector:
    """Selects peers in the zone, in other zones and among the seeds.

    In its zone a node keeps up to PARTNERS_MAX partners and replaces them
    slowly. So connections are reused, while over time every node
    exchanges with every other of its zone.
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
        partner = self._partners.get(slot)
        member = self._members.get(partner) if partner else None
        is_live = (
            member is not None
            and member.state not in member_list.DEPARTED_STATES
        )
        replace = self._random.random() < PARTNER_REPLACEMENT_PROBABILITY
        if member is not None and is_live and not replace:
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
        self, discovered: abc.Sequence[settings.Address] = ()
    ) -> settings.Address | None:
        """Return the address of a random seed or discovered node, or None."""
        own = self._members.get(self._node)
        addresses = [
            item
            for item in (*self._seeds, *discovered)
            if not own or item != own.control
        ]
        return self._random.choice(addresses) if addresses else None
