"""Concurrency limit that never changes."""

import datetime

from balsamramp_node.inbound import concurrency_limit

__all__ = ["FixedLimit"]


class FixedLimit(concurrency_limit.ConcurrencyLimit):
    """Keeps the initial limit; a baseline to compare others with."""

    name = "fixed"
    doc = "keeps the initial limit"

    @property
    def limit(self) -> int:
        return self._initial

    def finish(
        self,
        now: datetime.timedelta,
        latency: datetime.timedelta,
        outcome: concurrency_limit.CallOutcome,
        in_flight: int,
    ) -> None:
        return None

    def reset(self) -> None:
        return None
