"""Limits the rate of calls to a cold target."""

import collections
import datetime

__all__ = ["WarmUpRateLimiter"]

WINDOW = datetime.timedelta(seconds=1)


class WarmUpRateLimiter:
    """Limits the calls to a cold target in a sliding window of a second.

    The target is cold until the time that it stated last. After an
    indication that it restarted, it is assumed cold until it states a
    time again. Calls are paced over the second, since a burst can
    overload a target that has just started.
    """

    def __init__(self) -> None:
        self._recent_calls: collections.deque[datetime.timedelta] = (
            collections.deque()
        )
        self._cold_until = datetime.timedelta()
        self._assumed_cold = False

    def set_cold_for(
        self, now: datetime.timedelta, cold_for: datetime.timedelta
    ) -> None:
        """Set for how long the target stays cold, as stated by it."""
        self._assumed_cold = False
        self._cold_until = now + cold_for

    def assume_cold(self) -> None:
        """Treat the target as cold until ``set_cold_for`` is called."""
        self._assumed_cold = True

    def is_cold(self, now: datetime.timedelta) -> bool:
        """Return whether the rate is limited now."""
        return self._assumed_cold or now < self._cold_until

    def record_call(self, now: datetime.timedelta) -> None:
        """Count a call that is sent to the target, cold or not.

        Calls sent just before the target becomes cold count as well.
        """
        self._recent_calls.append(now)
        self._drop_expired(now)

    def required_delay(
        self, now: datetime.timedelta, rate: float
    ) -> datetime.timedelta:
        """Return how long the next call must wait, 0 for no wait.

        ``rate`` is in calls per second; 0 or less means no limit.
        """
        if not self.is_cold(now) or rate <= 0:
            return datetime.timedelta()
        self._drop_expired(now)
        max_calls = max(int(rate), 1)
        if len(self._recent_calls) >= max_calls:
            return self._recent_calls[-max_calls] + WINDOW - now
        spacing = WINDOW / rate / 2
        if not self._recent_calls:
            return datetime.timedelta()
        return max(
            self._recent_calls[-1] + spacing - now, datetime.timedelta()
        )

    def _drop_expired(self, now: datetime.timedelta) -> None:
        while self._recent_calls and self._recent_calls[0] <= now - WINDOW:
            self._recent_calls.popleft()
