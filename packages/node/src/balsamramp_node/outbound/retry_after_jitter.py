"""Jitter for the retry-after time of refused callers."""

import datetime
import random

from balsamramp_core import verdict

__all__ = ["RetryAfterJitter"]

# A caller that retries sooner finds the same queue.
RETRY_AFTER_MIN = datetime.timedelta(milliseconds=50)
# Used if the refusal does not state when a slot will be free.
RETRY_AFTER_DEFAULT = datetime.timedelta(milliseconds=200)
# Retries of callers refused together spread over this fraction of the wait.
JITTER_RATIO = 1.0


class RetryAfterJitter:
    """Spreads the retries of callers that are refused together.

    The wait ends when the node of the target expects a free slot. The
    jitter only lengthens it, since a caller that retries too soon is
    refused again.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def delay_for(self, failure: verdict.Failure) -> datetime.timedelta:
        """Return the time after which a refused caller may retry."""
        wait = failure.retry_after
        if wait is None:
            wait = RETRY_AFTER_DEFAULT
        wait = max(wait, RETRY_AFTER_MIN)
        return wait * (1 + JITTER_RATIO * self._random.random())
