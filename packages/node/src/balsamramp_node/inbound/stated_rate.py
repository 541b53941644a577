"""Limits the rate of calls to a target that states how many it takes."""

import datetime

__all__ = ["StatedRateLimiter"]

# Calls that may follow each other at once, as the time in which the stated
# rate allows them.
BURST_TIME = datetime.timedelta(milliseconds=250)
# A target that states a lower rate is still asked now and then, as only a
# response tells that the limit has ended.
RATE_MIN = 0.5
# Until a target has responded to this process, which it is older than, its
# limit is unknown, and a single call is sent for up to this time.
UNKNOWN_TIME = datetime.timedelta(milliseconds=500)


class StatedRateLimiter:
    """A token bucket with the rate that the target stated last."""

    def __init__(self, known: bool = True) -> None:
        self._known = known
        self._rate: float | None = None
        self._stated_at = datetime.timedelta()
        self._tokens = 1.0
        self._filled_at = datetime.timedelta()
        self._first_call_at: datetime.timedelta | None = None

    @property
    def known(self) -> bool:
        """Return whether the target has responded to this process."""
        return self._known

    @property
    def rate(self) -> float | None:
        """Return the calls per second that are sent, or None for any."""
        return self._rate

    def set_rate(
        self,
        now: datetime.timedelta,
        rate: float | None,
        sent_at: datetime.timedelta,
    ) -> None:
        """Set the rate in a response to a call that was ``sent_at``.

        None, no limit, holds only if the call was sent after the limit was
        stated: responses may arrive in another order than they were made.
        """
        self._known = True
        if rate is None:
            if sent_at >= self._stated_at:
                self._rate = None
            return
        self._fill(now)
        self._stated_at = now
        self._rate = max(rate, RATE_MIN)
        self._tokens = min(self._tokens, self._capacity())

    def record_call(self, now: datetime.timedelta) -> None:
        """Count a call that is sent to the target."""
        if not self._known and self._first_call_at is None:
            self._first_call_at = now
        if self._rate is None:
            return
        self._fill(now)
        self._tokens -= 1

    def required_delay(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return how long the next call must wait, 0 for no wait."""
        none = datetime.timedelta()
        if not self._known and self._first_call_at is not None:
            return max(self._first_call_at + UNKNOWN_TIME - now, none)
        if self._rate is None:
            return none
        self._fill(now)
        missing = max(1 - self._tokens, 0.0)
        return datetime.timedelta(seconds=missing / self._rate)

    def _capacity(self) -> float:
        assert self._rate is not None
        return max(1.0, self._rate * BURST_TIME.total_seconds())

    def _fill(self, now: datetime.timedelta) -> None:
        elapsed = (now - self._filled_at).total_seconds()
        self._filled_at = now
        if self._rate is not None:
            self._tokens = min(
                self._tokens + elapsed * self._rate, self._capacity()
            )
