"""Warm-up: the rate of calls that a cold target bears."""

import collections
import datetime

__all__ = ["WarmUpRateLimiter"]

WINDOW = datetime.timedelta(seconds=1)


class WarmUpRateLimiter:
    """Counts calls to a cold target in a sliding second.

    The target is cold until the time that it stated last. It is assumed
    cold after a sign that it has started again, until it states a time
    anew. Calls are spread over the second, since a target that has just
    started falls over under a burst.
    """

    def __init__(self) -> None:
        self._sent: collections.deque[datetime.timedelta] = collections.deque()
        self._cold_until = datetime.timedelta()
        self._assumed = False

    def set_cold_for(
        self, now: datetime.timedelta, cold_for: datetime.timedelta
    ) -> None:
        """Take in for how long the target says it stays cold."""
        self._assumed = False
        self._cold_until = now + cold_for

    def assume_cold(self) -> None:
        """Treat the target as cold until it says otherwise."""
        self._assumed = True

    def is_cold(self, now: datetime.timedelta) -> bool:
        """Tell whether the rate is bounded now."""
        return self._assumed or now < self._cold_until

    def record_call(self, now: datetime.timedelta) -> None:
        """Count a call that reaches the target, cold or not.

        The calls just before a target turns cold count too.
        """
        self._sent.append(now)
        self._forget(now)

    def required_delay(
        self, now: datetime.timedelta, rate: float
    ) -> datetime.timedelta:
        """Return how long the next call has to wait; 0 if not at all.

        ``rate`` is in calls a second.
        """
        if not self.is_cold(now) or rate <= 0:
            return datetime.timedelta()
        self._forget(now)
        most = max(int(rate), 1)
        if len(self._sent) >= most:
            return self._sent[-most] + WINDOW - now
        spacing = WINDOW / rate / 2
        if not self._sent:
            return datetime.timedelta()
        return max(self._sent[-1] + spacing - now, datetime.timedelta())

    def _forget(self, now: datetime.timedelta) -> None:
        while self._sent and self._sent[0] <= now - WINDOW:
            self._sent.popleft()
