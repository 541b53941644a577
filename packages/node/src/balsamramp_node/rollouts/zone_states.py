"""Zone states: which availability zones may take a call."""

import datetime
import typing

import xxhash

from balsamramp_core import clock
from balsamramp_core.resources import zone

__all__ = ["ZoneStates"]

HASH_SPACE = 1 << 64
RETURN_SHARE_MIN = 0.05


class ZoneStates:
    """Zones that are out, and zones that return gradually.

    A zone that this node saw out and that comes in again may take a part
    of the calls that rises from 5% to all within the zone's
    ``return_seconds``, counted from the declaration.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._out: frozenset[str] = frozenset()
        self._returning: dict[str, zone.Zone] = {}
        self._declared: dict[str, zone.Zone] = {}

    @property
    def out(self) -> frozenset[str]:
        """Return the zones that operators have taken out of service."""
        return self._out

    def put(self, name: str, item: zone.Zone | None) -> None:
        """Take over the declaration of zone ``name``, None if deleted."""
        was_out = name in self._out or name in self._returning
        self._returning.pop(name, None)
        self._declared.pop(name, None)
        self._out -= {name}
        if item is None:
            return
        self._declared[name] = item
        if item.out:
            self._out |= {name}
        elif was_out:
            self._returning[name] = item

    def share(self, name: str) -> float:
        """Return the part of the calls that zone ``name`` may take."""
        if name in self._out:
            return 0.0
        item = self._returning.get(name)
        if item is None:
            return 1.0
        passed = self._clock.now() - item.since
        planned = datetime.timedelta(seconds=item.return_seconds)
        if passed >= planned:
            del self._returning[name]
            return 1.0
        return max(RETURN_SHARE_MIN, passed / planned)

    def report(self) -> dict[str, typing.Any]:
        """Return the declared zones, their state and their share."""
        shown = {}
        for name, item in sorted(self._declared.items()):
            share = self.share(name)
            state = "returning" if share < 1.0 else "in"
            shown[name] = {
                "state": "out" if item.out else state,
                "share": share,
                "since": item.since,
                "author": item.author,
            }
        return shown

    def admits(self, name: str, call_id: str) -> bool:
        """Tell whether zone ``name`` may take the call."""
        if name not in self._out and name not in self._returning:
            return True
        key = f"{name} {call_id}".encode()
        position = xxhash.xxh64_intdigest(key) / HASH_SPACE
        return position < self.share(name)
