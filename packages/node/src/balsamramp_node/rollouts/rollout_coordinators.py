"""Selects the nodes that collect evidence and decide on rollouts."""

import datetime

import xxhash

from balsamramp_core import clock
from balsamramp_core import settings
from balsamramp_node.membership import membership
from balsamramp_wire import messages

__all__ = ["RolloutCoordinators"]

INDEX_INTERVAL = datetime.timedelta(seconds=1)
# Other nodes do, one after the other, what coordinators have not done: these
# may reach their peers but not the platform.
FALLBACK_DELAY = datetime.timedelta(seconds=1.5)
FALLBACK_STEP = datetime.timedelta(seconds=0.5)
UNREACHABLE_TIMEOUT = datetime.timedelta(seconds=5)

Zones = dict[str, list[messages.Member]]


class RolloutCoordinators:
    """Selects the coordinators of a service by rendezvous hashing.

    Each zone has one coordinator, among its nodes with targets of the
    service, or among all its nodes if the service has no targets.
    The choice follows from the member list alone, without an election. It
    skips nodes that did not respond recently, so a node partitioned from
    all others decides alone.
    """

    def __init__(
        self, members: membership.Membership, time: clock.Clock
    ) -> None:
        self._members = members
        self._clock = time
        self._by_service: dict[str, Zones] = {}
        self._all_zones: Zones = {}
        self._generation = -1
        self._indexed_at = datetime.timedelta()
        self._unreachable: dict[settings.Address, datetime.timedelta] = {}

    def record_failure(self, peer: settings.Address) -> None:
        """Skip ``peer`` for ``UNREACHABLE_TIMEOUT``."""
        until = self._clock.monotonic() + UNREACHABLE_TIMEOUT
        self._unreachable[peer] = until

    def record_response(self, peer: settings.Address) -> None:
        """Consider ``peer`` reachable again."""
        self._unreachable.pop(peer, None)

    def is_coordinator(self, service: str) -> bool:
        """Return whether this node coordinates rollouts of ``service``."""
        own = self._members.own
        zones = self._zones(service)
        ranked = self._rank(service, zones.get(own.zone, []))
        if ranked:
            return ranked[0].node == own.node
        return self._is_only_reachable(service, zones)

    def fallback_delay(self, service: str) -> datetime.timedelta:
        """Return how long this node waits for the coordinators.

        The nodes of a zone take turns, those with targets of the service
        first, so that an outage of the platform does not make all of them
        call it.
        """
        own = self._members.own
        zone = self._zones(service).get(own.zone, [])
        ranked = self._rank(service, zone)
        ranked += self._rank(service, self._all_zones.get(own.zone, []))
        turns = list(dict.fromkeys(member.node for member in ranked))
        turn = turns.index(own.node) if own.node in turns else len(turns)
        return FALLBACK_DELAY + turn * FALLBACK_STEP

    def other_coordinators(self, service: str) -> list[settings.Address]:
        """Return the control addresses of the other coordinators."""
        own = self._members.own
        peers = []
        for members in self._zones(service).values():
            for member in self._rank(service, members)[:1]:
                if member.node != own.node:
                    peers.append(member.control)
        return peers

    def _is_only_reachable(self, service: str, zones: Zones) -> bool:
        for members in zones.values():
            if self._rank(service, members):
                return False
        return True

    def _zones(self, service: str) -> Zones:
        now = self._clock.monotonic()
        fresh = now < self._indexed_at + INDEX_INTERVAL
        if self._generation < 0 or not fresh:
            self._rebuild_index()
        return self._by_service.get(service, self._all_zones)

    def _rebuild_index(self) -> None:
        self._indexed_at = self._clock.monotonic()
        if self._generation == self._members.generation:
            return
        self._generation = self._members.generation
        self._by_service = {}
        self._all_zones = {}
        for member in self._members.members():
            if member.state is not messages.MemberState.ALIVE:
                continue
            self._all_zones.setdefault(member.zone, []).append(member)
            for service in {item.service for item in member.targets}:
                zones = self._by_service.setdefault(service, {})
                zones.setdefault(member.zone, []).append(member)

    def _rank(
        self, service: str, members: list[messages.Member]
    ) -> list[messages.Member]:
        now = self._clock.monotonic()
        ranked = []
        for member in members:
            until = self._unreachable.get(member.control)
            if until is not None and now < until:
                continue
            key = f"{service} {member.node}".encode()
            ranked.append((xxhash.xxh64_intdigest(key), member.node, member))
        ranked.sort(key=lambda item: item[:2])
        return [member for _, _, member in ranked]
