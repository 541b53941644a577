"""Deadline: the call that expires first goes first."""

import datetime

from balsamramp_node.door import queue_order

__all__ = ["DeadlineOrder"]


class DeadlineOrder(queue_order.QueueOrder):
    """Serves calls by their deadline, until it comes."""

    name = "deadline"
    doc = "nearest deadline first"

    def rank(
        self, waiter: queue_order.Waiter, now: datetime.timedelta
    ) -> queue_order.Rank:
        return (waiter.deadline.total_seconds(), waiter.number)

    def patience(
        self, waiter: queue_order.Waiter, now: datetime.timedelta
    ) -> datetime.timedelta:
        return waiter.deadline - now
