"""Tracks which targets own the records of idempotency keys."""

from collections import abc
import datetime
import typing

import attrs
import xxhash

from balsamramp_core import settings
from balsamramp_wire import messages

__all__ = ["KeyOwner", "KeyOwners", "rendezvous_weight"]

DEPARTED_STATES = frozenset(
    [messages.MemberState.DEAD, messages.MemberState.LEFT]
)

_OwnerKey = tuple[str, str]


def rendezvous_weight(key: str, target: str) -> int:
    """Return the weight of ``target`` for ``key``; the highest owns it."""
    return int(xxhash.xxh64_intdigest(f"{key}\0{target}".encode()))


@attrs.define(eq=False)
class KeyOwner:
    """A target, live or lost, whose node may hold records of keys."""

    target: str
    node: str
    incarnation: int
    control: settings.Address
    first_seen_at: datetime.timedelta
    last_seen_at: datetime.timedelta
    lost_at: datetime.timedelta | None = None


class KeyOwners:
    """The key owners seen within the last ``retention``.

    An owner is lost when its node died, left or restarted, because its
    records are kept in memory. It may have run a call that no other node
    has a record of.
    """

    def __init__(self, retention: datetime.timedelta) -> None:
        self._retention = retention
        self._owners: dict[str, dict[_OwnerKey, KeyOwner]] = {}

    def refresh(
        self, members: abc.Iterable[messages.Member], now: datetime.timedelta
    ) -> None:
        """Update the owners from the current ``members``."""
        live_incarnations: dict[str, int] = {}
        for member in members:
            if member.state in DEPARTED_STATES:
                continue
            live_incarnations[member.node] = member.incarnation
            for record in member.targets:
                self._record_owner(member, record, now)
        for service in list(self._owners):
            self._expire_owners(service, live_incarnations, now)

    def live_owners(self, service: str) -> list[KeyOwner]:
        """Return the owners of ``service`` that are not lost."""
        owners = self._owners.get(service, {}).values()
        return [owner for owner in owners if owner.lost_at is None]

    def may_have_run_elsewhere(
        self, service: str, key: str, target: str, now: datetime.timedelta
    ) -> bool:
        """Return whether a lost owner may have run ``key``.

        That is the case if a lost owner ranks above ``target``, or if
        ``target`` was first seen less than ``retention`` ago, so that a
        lost owner may have owned the key before.
        """
        owners = self._owners.get(service, {})
        own_weight = rendezvous_weight(key, target)
        first_seen_at = now
        for owner in owners.values():
            if owner.target == target and owner.lost_at is None:
                first_seen_at = owner.first_seen_at
        recently_seen = now - first_seen_at < self._retention
        for owner in owners.values():
            if owner.lost_at is None:
                continue
            if (
                recently_seen
                or rendezvous_weight(key, owner.target) >= own_weight
            ):
                return True
        return False

    def dump(self) -> dict[str, typing.Any]:
        """Return the lost owners by service."""
        return {
            service: [
                owner.target
                for owner in owners.values()
                if owner.lost_at is not None
            ]
            for service, owners in sorted(self._owners.items())
        }

    def _record_owner(
        self,
        member: messages.Member,
        record: messages.TargetRecord,
        now: datetime.timedelta,
    ) -> None:
        owners = self._owners.setdefault(record.service, {})
        owner_key = (record.target, f"{member.node}/{member.incarnation}")
        owner = owners.get(owner_key)
        if owner is None:
            owner = KeyOwner(
                record.target,
                member.node,
                member.incarnation,
                member.control,
                now,
                now,
            )
            owners[owner_key] = owner
        owner.control = member.control
        owner.last_seen_at = now
        owner.lost_at = None

    def _expire_owners(
        self,
        service: str,
        live_incarnations: dict[str, int],
        now: datetime.timedelta,
    ) -> None:
        owners = self._owners[service]
        for owner_key, owner in list(owners.items()):
            lost = live_incarnations.get(owner.node) != owner.incarnation
            if lost and owner.lost_at is None:
                owner.lost_at = now
            last_known_at = owner.lost_at or owner.last_seen_at
            if now - last_known_at > self._retention:
                del owners[owner_key]
        if not owners:
            del self._owners[service]
