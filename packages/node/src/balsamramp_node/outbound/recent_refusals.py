"""Cache of targets that recently refused requests for lack of slots."""

import datetime

import attrs

__all__ = ["RecentRefusals"]

# Time during which a target that refused is skipped for the same entry. A node
# refuses requests that would wait for several tenths of a second, so little
# changes within one tenth; a target with free slots is found again after it.
REFUSAL_TTL = datetime.timedelta(milliseconds=100)
# Pairs of target and entry in the cache; the oldest are evicted and their
# targets tried again.
CACHED_REFUSALS_MAX = 10_000
# Factor of the time left up to which a request has no better chance. The
# requests of one entry differ by the microseconds until a target is picked.
TIME_LEFT_TOLERANCE = 1.02

_RefusalKey = tuple[str, str]


@attrs.frozen
class _Refusal:
    refused_at: datetime.timedelta
    time_left: datetime.timedelta
    retry_after: datetime.timedelta


class RecentRefusals:
    """Limits the cost of load beyond the capacity of all targets.

    Without it each request would try node after node and be refused by
    all. That takes processor time of both nodes from requests that could
    be served, and the caller receives its refusal later.

    A node queues a request for a fraction of the request's remaining time.
    A request with no more time left than one that was refused there would
    be refused too.

    Example::

        refusals.record_refusal("caja-1", "pay", now, time_left, retry_after)
        refusals.retry_delay("caja-1", "pay", now, time_left)  # wait, or None
    """

    def __init__(self) -> None:
        self._refusals: dict[_RefusalKey, _Refusal] = {}
        self._latest_at: datetime.timedelta | None = None

    def any_recent(self, now: datetime.timedelta) -> bool:
        """Return whether any target is skipped at ``now``."""
        latest = self._latest_at
        return latest is not None and now - latest < REFUSAL_TTL

    def record_refusal(
        self,
        target: str,
        entry: str,
        now: datetime.timedelta,
        time_left: datetime.timedelta,
        retry_after: datetime.timedelta,
    ) -> None:
        """Record that a request with ``time_left`` was refused.

        ``retry_after`` is the time after which the node expects a free
        slot.
        """
        key = (target, entry)
        self._latest_at = now
        refusal = self._refusals.pop(key, None)
        if refusal is not None and now - refusal.refused_at < REFUSAL_TTL:
            time_left = max(time_left, refusal.time_left)
        while len(self._refusals) >= CACHED_REFUSALS_MAX:
            del self._refusals[next(iter(self._refusals))]
        self._refusals[key] = _Refusal(now, time_left, retry_after)

    def clear_refusal(self, target: str, entry: str) -> None:
        """Remove the record of a refusal: the target accepted a request."""
        self._refusals.pop((target, entry), None)

    def retry_delay(
        self,
        target: str,
        entry: str,
        now: datetime.timedelta,
        time_left: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Return the wait until a free slot, or None to try the target."""
        refusal = self._refusals.get((target, entry))
        if (
            refusal is None
            or now - refusal.refused_at >= REFUSAL_TTL
            or time_left > refusal.time_left * TIME_LEFT_TOLERANCE
        ):
            return None
        return max(
            refusal.retry_after - (now - refusal.refused_at),
            datetime.timedelta(),
        )
