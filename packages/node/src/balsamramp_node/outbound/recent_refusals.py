"""Recent refusals: doors that have just said that they are full."""

import datetime

import attrs

__all__ = ["RecentRefusals"]

# For so long a door that refused is not asked again for the same entry. A
# door refuses what would wait for several tenths of a second, so that little
# changes in one; and a door that has room again is found within it.
REFUSAL_TTL = datetime.timedelta(milliseconds=100)
# Doors and entries that are remembered at most; older ones are asked again.
CACHED_REFUSALS_MAX = 10_000

_Place = tuple[str, str]


@attrs.frozen
class _Refusal:
    at: datetime.timedelta
    left: datetime.timedelta
    wait: datetime.timedelta


class RecentRefusals:
    """Answers a load beyond what all targets of a service bear.

    Each request would ask door after door and be refused by all, which
    takes the processor time of both nodes from those that could be
    served, and the caller hears later that it has to come back.

    A door keeps a request waiting for a part of the time that is left of
    it, so one with no more left than another has that was refused there
    would be refused too.

    Example::

        refusals.record_refusal("caja-1", "pay", now, left, wait)
        refusals.retry_delay("caja-1", "pay", now, left)  # how long, or None
    """

    def __init__(self) -> None:
        self._refusals: dict[_Place, _Refusal] = {}

    def record_refusal(
        self,
        target: str,
        entry: str,
        now: datetime.timedelta,
        left: datetime.timedelta,
        wait: datetime.timedelta,
    ) -> None:
        """Remember that a request with ``left`` to go was refused.

        ``wait`` is when the door expects to have room.
        """
        place = (target, entry)
        known = self._refusals.pop(place, None)
        if known is not None and now - known.at < REFUSAL_TTL:
            left = max(left, known.left)
        while len(self._refusals) >= CACHED_REFUSALS_MAX:
            del self._refusals[next(iter(self._refusals))]
        self._refusals[place] = _Refusal(now, left, wait)

    def clear_refusal(self, target: str, entry: str) -> None:
        """Take back what was noted: the door had room."""
        self._refusals.pop((target, entry), None)

    def retry_delay(
        self,
        target: str,
        entry: str,
        now: datetime.timedelta,
        left: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Return when a full door will have room, or None to ask it."""
        known = self._refusals.get((target, entry))
        if known is None or now - known.at >= REFUSAL_TTL or left > known.left:
            return None
        return max(known.wait - (now - known.at), datetime.timedelta())
