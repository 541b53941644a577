"""Arrival: first come, first served."""

import datetime

from balsamramp_node.door import queue_order

__all__ = ["ArrivalOrder"]


class ArrivalOrder(queue_order.QueueOrder):
    """Serves calls as they came, until their deadline."""

    name = "arrival"
    doc = "first come, first served, until the deadline"

    def rank(
        self, waiter: queue_order.Waiter, now: datetime.timedelta
    ) -> queue_order.Rank:
        return (waiter.number,)

    def patience(
        self, waiter: queue_order.Waiter, now: datetime.timedelta
    ) -> datetime.timedelta:
        return waiter.deadline - now
