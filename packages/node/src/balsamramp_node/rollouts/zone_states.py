"""Decides which availability zones may serve a call."""

import datetime
import typing

import xxhash

from balsamramp_core import clock
from balsamramp_core.resources import zone

__all__ = ["ZoneStates"]

HASH_SPACE = 1 << 64
# Share of calls at the start of the ramp-up.
RETURN_SHARE_MIN = 0.05


class ZoneStates:
    """Zones out of service, and zones that come back gradually.

    A zone that is back in service may serve a share of the calls that
    rises from 5% to all within the zone's ``return_seconds``, counted from
    the declaration, if this node had stored it as out of service.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._out_of_service: frozenset[str] = frozenset()
        self._ramping_up: dict[str, zone.Zone] = {}
        self._declared: dict[str, zone.Zone] = {}

    @property
    def out(self) -> frozenset[str]:
        """Return the zones that operators took out of service."""
        return self._out_of_service

    def put(self, name: str, item: zone.Zone | None) -> None:
        """Store the declaration of zone ``name``; None deletes it."""
        was_out_of_service = (
            name in self._out_of_service or name in self._ramping_up
        )
        self._ramping_up.pop(name, None)
        self._declared.pop(name, None)
        self._out_of_service -= {name}
        if item is None:
            return
        self._declared[name] = item
        if item.out:
            self._out_of_service |= {name}
        elif was_out_of_service:
            self._ramping_up[name] = item

    def share(self, name: str) -> float:
        """Return the share of calls, 0 to 1, that ``name`` may serve."""
        if name in self._out_of_service:
            return 0.0
        item = self._ramping_up.get(name)
        if item is None:
            return 1.0
        elapsed = self._clock.now() - item.since
        planned = datetime.timedelta(seconds=item.return_seconds)
        if elapsed >= planned:
            del self._ramping_up[name]
            return 1.0
        return max(RETURN_SHARE_MIN, elapsed / planned)

    def report(self) -> dict[str, typing.Any]:
        """Return the state and the share of the declared zones."""
        zones = {}
        for name, item in sorted(self._declared.items()):
            share = self.share(name)
            state = "returning" if share < 1.0 else "in"
            zones[name] = {
                "state": "out" if item.out else state,
                "share": share,
                "since": item.since,
                "author": item.author,
            }
        return zones

    def admits(self, name: str, call_id: str) -> bool:
        """Return whether zone ``name`` may serve the call."""
        if name not in self._out_of_service and name not in self._ramping_up:
            return True
        key = f"{name} {call_id}".encode()
        position = xxhash.xxh64_intdigest(key) / HASH_SPACE
        return position < self.share(name)
