"""All known nodes by zone, with digests that locate differences."""

from collections import abc
import math
import typing

import attrs
import xxhash

from balsamramp_core import settings
from balsamramp_wire import messages

__all__ = [
    "BUCKETS",
    "DEPARTED_STATES",
    "MemberList",
    "gossip_rounds",
    "supersedes",
]

BUCKETS = 64

RANKS = {state: rank for rank, state in enumerate(messages.MemberState)}
DEPARTED_STATES = (messages.MemberState.DEAD, messages.MemberState.LEFT)


def supersedes(later: messages.Member, earlier: messages.Member) -> bool:
    """Return whether ``later`` is a newer record of the same node."""
    later_key = (later.incarnation, later.sequence, RANKS[later.state])
    earlier_key = (earlier.incarnation, earlier.sequence, RANKS[earlier.state])
    return later_key > earlier_key


def gossip_rounds(zone_size: int) -> int:
    """Return how many gossip rounds an update needs to reach a zone."""
    return math.ceil(math.log2(zone_size + 1))


def bucket_of(node: str) -> int:
    """Return the index of the bucket that holds ``node``."""
    return xxhash.xxh64_intdigest(node.encode()) % BUCKETS


@attrs.define
class _Zone:
    """The nodes of one zone; digests exclude departed nodes."""

    members: dict[str, messages.Member] = attrs.field(factory=dict)
    buckets: list[int] = attrs.field(factory=lambda: [0] * BUCKETS)
    digest: int = 0
    alive: tuple[messages.Member, ...] | None = ()


class MemberList:
    """All known nodes, live and departed.

    The cost of ``put`` and ``remove`` does not depend on the number of
    nodes. The sorted views are built at the first use after a change and
    cached for each zone.
    """

    def __init__(self) -> None:
        self._zones: dict[str, _Zone] = {}
        self._zone_of: dict[str, str] = {}
        self._addresses: dict[settings.Address, str] = {}
        self._alive: tuple[messages.Member, ...] | None = ()

    @property
    def zones(self) -> list[str]:
        """Return the names of the zones with known nodes, sorted."""
        return sorted(self._zones)

    def get(self, node: str) -> messages.Member | None:
        """Return the record of a node, live or departed, or None."""
        zone = self._zone_of.get(node)
        return None if zone is None else self._zones[zone].members[node]

    def has_restarted(self, member: messages.Member) -> bool:
        """Return whether a later start of the node than this is known."""
        current = self.get(member.node)
        if current is None:
            return False
        return current.incarnation > member.incarnation

    def find_by_address(
        self, address: settings.Address
    ) -> messages.Member | None:
        """Return the node with this control address, or None."""
        node = self._addresses.get(address)
        return None if node is None else self.get(node)

    def put(self, member: messages.Member) -> None:
        """Store a record, replacing an earlier one of the node."""
        self.remove(member.node)
        zone = self._zones.setdefault(member.zone, _Zone())
        zone.members[member.node] = member
        self._zone_of[member.node] = member.zone
        self._addresses[member.control] = member.node
        self._toggle_digest(zone, member)

    def remove(self, node: str) -> None:
        """Remove a node, if it is known."""
        name = self._zone_of.pop(node, None)
        if name is None:
            return
        zone = self._zones[name]
        previous = zone.members.pop(node)
        if self._addresses.get(previous.control) == node:
            del self._addresses[previous.control]
        self._toggle_digest(zone, previous)
        if not zone.members:
            del self._zones[name]

    def alive_in(self, zone: str) -> tuple[messages.Member, ...]:
        """Return the live nodes of a zone, sorted by name."""
        entry = self._zones.get(zone)
        if entry is None:
            return ()
        if entry.alive is None:
            names = sorted(entry.members)
            entry.alive = tuple(
                entry.members[name]
                for name in names
                if entry.members[name].state not in DEPARTED_STATES
            )
        return entry.alive

    def departed_in(self, zone: str) -> list[messages.Member]:
        """Return the departed nodes of a zone, sorted by name."""
        entry = self._zones.get(zone)
        if entry is None:
            return []
        return [
            entry.members[name]
            for name in sorted(entry.members)
            if entry.members[name].state in DEPARTED_STATES
        ]

    def alive(self) -> tuple[messages.Member, ...]:
        """Return all live nodes, sorted by zone and name."""
        if self._alive is None:
            members: list[messages.Member] = []
            for zone in self.zones:
                members += self.alive_in(zone)
            self._alive = tuple(members)
        return self._alive

    def digests(self) -> dict[str, int]:
        """Return the digest of each zone with live nodes."""
        return {
            name: zone.digest
            for name, zone in self._zones.items()
            if zone.digest
        }

    def buckets(self, zone: str) -> tuple[int, ...]:
        """Return the digest of each bucket of a zone."""
        entry = self._zones.get(zone)
        return tuple(entry.buckets) if entry else (0,) * BUCKETS

    def differing_members(
        self, zone: str, buckets: abc.Sequence[int]
    ) -> list[messages.Member]:
        """Return the nodes in buckets whose digest differs."""
        entry = self._zones.get(zone)
        if entry is None:
            return []
        members = []
        for member in entry.members.values():
            bucket = bucket_of(member.node)
            if entry.buckets[bucket] != buckets[bucket]:
                members.append(member)
        return members

    def dump(self) -> abc.Mapping[str, typing.Any]:
        """Return the count of live nodes and the digest of each zone."""
        return {
            name: {
                "alive": len(self.alive_in(name)),
                "digest": f"{zone.digest:016x}",
            }
            for name, zone in sorted(self._zones.items())
        }

    def _toggle_digest(self, zone: _Zone, member: messages.Member) -> None:
        zone.alive = None
        self._alive = None
        if member.state in DEPARTED_STATES:
            return
        member_hash = _member_hash(member)
        zone.buckets[bucket_of(member.node)] ^= member_hash
        zone.digest ^= member_hash


def _member_hash(member: messages.Member) -> int:
    key = (
        f"{member.node} {member.incarnation} {member.sequence} "
        f"{member.state.value}"
    )
    return xxhash.xxh64_intdigest(key.encode())
