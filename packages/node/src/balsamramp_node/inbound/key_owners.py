"""Key homes: which targets keep the records of idempotency keys."""

from collections import abc
import datetime
import typing

import attrs
import xxhash

from balsamramp_core import settings
from balsamramp_wire import messages

__all__ = ["KeyOwner", "KeyOwners", "rendezvous_weight"]

GONE_STATES = frozenset([messages.MemberState.DEAD, messages.MemberState.LEFT])

_Name = tuple[str, str]


def rendezvous_weight(key: str, target: str) -> int:
    """Return the weight of ``target`` for ``key``; the highest is home."""
    return int(xxhash.xxh64_intdigest(f"{key}\0{target}".encode()))


@attrs.define(eq=False)
class KeyOwner:
    """A target whose node may hold records of keys, alive or lost."""

    target: str
    node: str
    incarnation: int
    control: settings.Address
    since: datetime.timedelta
    seen_at: datetime.timedelta
    lost_at: datetime.timedelta | None = None


class KeyOwners:
    """What this node remembers of the homes of keys for ``retention``.

    A home is lost when its node died or was restarted, for its records
    went with it. It may then have run a call of which nobody else knows.
    """

    def __init__(self, retention: datetime.timedelta) -> None:
        self._retention = retention
        self._homes: dict[str, dict[_Name, KeyOwner]] = {}

    def refresh(
        self, members: abc.Iterable[messages.Member], now: datetime.timedelta
    ) -> None:
        """Take in the present members."""
        alive: dict[str, int] = {}
        for member in members:
            if member.state in GONE_STATES:
                continue
            alive[member.node] = member.incarnation
            for record in member.targets:
                self._see(member, record, now)
        for service in list(self._homes):
            self._age(service, alive, now)

    def live_owners(self, service: str) -> list[KeyOwner]:
        """Return the homes of ``service`` that are not lost."""
        homes = self._homes.get(service, {}).values()
        return [home for home in homes if home.lost_at is None]

    def may_have_run_elsewhere(
        self, service: str, key: str, target: str, now: datetime.timedelta
    ) -> bool:
        """Tell whether a lost home may have run ``key`` before ``target``.

        That is so for a lost home that ranks above the target, or had
        the key before the target came.
        """
        homes = self._homes.get(service, {})
        own = rendezvous_weight(key, target)
        since = now
        for home in homes.values():
            if home.target == target and home.lost_at is None:
                since = home.since
        fresh = now - since < self._retention
        for home in homes.values():
            if home.lost_at is None:
                continue
            if fresh or rendezvous_weight(key, home.target) >= own:
                return True
        return False

    def dump(self) -> dict[str, typing.Any]:
        """Return the lost homes by service."""
        return {
            service: [
                home.target
                for home in homes.values()
                if home.lost_at is not None
            ]
            for service, homes in sorted(self._homes.items())
        }

    def _see(
        self,
        member: messages.Member,
        record: messages.TargetRecord,
        now: datetime.timedelta,
    ) -> None:
        homes = self._homes.setdefault(record.service, {})
        name = (record.target, f"{member.node}/{member.incarnation}")
        home = homes.get(name)
        if home is None:
            home = KeyOwner(
                record.target,
                member.node,
                member.incarnation,
                member.control,
                now,
                now,
            )
            homes[name] = home
        home.control = member.control
        home.seen_at = now
        home.lost_at = None

    def _age(
        self, service: str, alive: dict[str, int], now: datetime.timedelta
    ) -> None:
        homes = self._homes[service]
        for name, home in list(homes.items()):
            lost = alive.get(home.node) != home.incarnation
            if lost and home.lost_at is None:
                home.lost_at = now
            last = home.lost_at or home.seen_at
            if now - last > self._retention:
                del homes[name]
        if not homes:
            del self._homes[service]
