"""Return time: when a refused caller is told to come back."""

import datetime
import random

from balsamramp_core import verdict

__all__ = ["RetryAfterJitter"]

# A caller that returns sooner meets the same queue.
SOONEST = datetime.timedelta(milliseconds=50)
# Where the refusal does not say when there will be room.
DEFAULT = datetime.timedelta(milliseconds=200)
# Callers refused together return over this part more than the least wait.
SPREAD = 1.0


class RetryAfterJitter:
    """Answers bursts: those refused together do not return together.

    The wait ends when the door expects a slot to be free. It is spread
    upwards, since one who returns too soon is refused again.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def delay_for(self, failure: verdict.Failure) -> datetime.timedelta:
        """Return the wait that a refusal asks of its caller."""
        least = failure.retry_after
        if least is None:
            least = DEFAULT
        least = max(least, SOONEST)
        return least * (1 + SPREAD * self._random.random())
