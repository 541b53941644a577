"""Arrival: first come, first served."""

import datetime

from balsamramp_node.inbound import queue_discipline

__all__ = ["FifoDiscipline"]


class FifoDiscipline(queue_discipline.QueueDiscipline):
    """Serves calls as they came, until their deadline."""

    name = "arrival"
    doc = "first come, first served, until the deadline"

    def rank(
        self, waiter: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> queue_discipline.Rank:
        return (waiter.number,)

    def max_wait(
        self, waiter: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> datetime.timedelta:
        return waiter.deadline - now
