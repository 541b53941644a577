"""Token bucket that limits the retries of a node."""

import datetime

import attrs

__all__ = ["RetryBudget"]

# Fraction of the fleet's retry limit that nodes spend on their own retries. As
# much is left for the calls that retried requests make in turn, which count as
# retries at the called service.
OWN_RETRY_SHARE = 0.45


@attrs.define
class _TokenBucket:
    tokens: float
    updated_at: datetime.timedelta


class RetryBudget:
    """Adds a fraction of a token for each request to a service.

    In any ``window``, all nodes together may retry at most ``ratio`` of a
    service's requests plus ``slack``. Each node counts its own requests and
    its share of the slack, so the limit holds for the fleet without
    coordination.
    """

    def __init__(
        self, ratio: float, window: datetime.timedelta, slack: float
    ) -> None:
        self._ratio = ratio
        self._window = window
        self._slack = slack
        self._nodes = 1
        self._buckets: dict[str, _TokenBucket] = {}

    def set_fleet_size(self, nodes: int) -> None:
        """Set the number of nodes that share the slack."""
        self._nodes = max(nodes, 1)

    def deposit(self, service: str, now: datetime.timedelta) -> None:
        """Add the tokens for one request to ``service``."""
        bucket = self._refill_bucket(service, now)
        bucket.tokens = min(
            self._capacity(), bucket.tokens + self._ratio * OWN_RETRY_SHARE
        )

    def try_withdraw(self, service: str, now: datetime.timedelta) -> bool:
        """Take the token for one retry; return False if there is none."""
        bucket = self._refill_bucket(service, now)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _refill_bucket(
        self, service: str, now: datetime.timedelta
    ) -> _TokenBucket:
        capacity = self._capacity()
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = _TokenBucket(capacity, now)
            self._buckets[service] = bucket
        earned = self._half_slack_share() * (
            (now - bucket.updated_at) / self._window
        )
        bucket.updated_at = now
        bucket.tokens = min(capacity, bucket.tokens + earned)
        return bucket

    def _half_slack_share(self) -> float:
        """Return half of this node's share of the slack.

        One half is the burst size, the other is refilled over the window.
        """
        return self._slack * OWN_RETRY_SHARE / self._nodes / 2

    def _capacity(self) -> float:
        """Return the maximum number of saved tokens."""
        return max(self._half_slack_share(), 1.0)
