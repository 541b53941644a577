"""Key homes: which targets keep the records of idempotency keys."""

from collections import abc
import datetime
import typing

import attrs
import xxhash

from balsamramp_core import settings
from balsamramp_wire import messages

__all__ = ["Home", "KeyHomes", "rank"]

GONE_STATES = frozenset([messages.MemberState.DEAD, messages.MemberState.LEFT])
NOWHERE = settings.Address("", 0)

_Name = tuple[str, str]


def rank(key: str, target: str) -> int:
    """Return the weight of ``target`` for ``key``; the highest is home."""
    return int(xxhash.xxh64_intdigest(f"{key}\0{target}".encode()))


@attrs.define(eq=False)
class Home:
    """A target whose node may hold records of keys, alive or lost."""

    target: str
    node: str
    incarnation: int
    control: settings.Address
    since: datetime.timedelta
    seen_at: datetime.timedelta
    unready_since: datetime.timedelta | None = None
    lost_at: datetime.timedelta | None = None

    @property
    def name(self) -> str:
        """Return what tells this home from earlier and later ones."""
        return f"{self.target}@{self.node}/{self.incarnation}"


class KeyHomes:
    """What this node remembers of the homes of keys for ``retention``.

    A home is lost when its node died or was restarted, for its records
    went with it. It may then have run a call of which nobody else knows.
    """

    def __init__(self, retention: datetime.timedelta) -> None:
        self._retention = retention
        self._homes: dict[str, dict[_Name, Home]] = {}

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

    def known(self, service: str) -> list[Home]:
        """Return the homes of ``service`` that are not lost."""
        homes = self._homes.get(service, {}).values()
        return [home for home in homes if home.lost_at is None]

    def find(self, service: str, target: str) -> Home | None:
        """Return the home of this name that is not lost."""
        for home in self.known(service):
            if home.target == target:
                return home
        return None

    def lost(self, service: str) -> tuple[messages.LostHome, ...]:
        """Return the lost homes of ``service``."""
        return tuple(
            messages.LostHome(
                target=home.target,
                node=home.node,
                incarnation=home.incarnation,
            )
            for home in self._homes.get(service, {}).values()
            if home.lost_at is not None
        )

    def learn_lost(
        self,
        service: str,
        lost: abc.Iterable[messages.LostHome],
        now: datetime.timedelta,
    ) -> None:
        """Take in the lost homes that another node knows."""
        homes = self._homes.setdefault(service, {})
        for item in lost:
            name = (item.target, f"{item.node}/{item.incarnation}")
            if name in homes:
                continue
            homes[name] = Home(
                item.target,
                item.node,
                item.incarnation,
                NOWHERE,
                now,
                now,
                lost_at=now,
            )

    def outranked_by_lost(self, service: str, key: str, target: str) -> bool:
        """Tell whether a lost home ranks above ``target`` for ``key``."""
        own = rank(key, target)
        for home in self._homes.get(service, {}).values():
            if home.lost_at is not None and rank(key, home.target) >= own:
                return True
        return False

    def in_doubt(
        self,
        service: str,
        key: str,
        target: str,
        cleared: abc.Container[str],
        now: datetime.timedelta,
    ) -> bool:
        """Tell whether a lost home may have run ``key`` before ``target``.

        That is so for a lost home that ranks above the target, or had
        the key before the target came; but not for one in ``cleared``,
        which told the target when it came that it had run no such key.
        """
        if self.outranked_by_lost(service, key, target):
            return True
        found = self.find(service, target)
        if found is not None and now - found.since >= self._retention:
            return False
        for home in self._homes.get(service, {}).values():
            if home.lost_at is not None and home.name not in cleared:
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
            home = Home(
                record.target,
                member.node,
                member.incarnation,
                member.control,
                now,
                now,
            )
            homes[name] = home
        home.control = member.control
        if record.state is messages.TargetState.READY:
            home.unready_since = None
        elif home.unready_since is None:
            home.unready_since = now
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
