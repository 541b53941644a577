"""Latest: the newest call goes first."""

import datetime

from balsamramp_node.door import queue_order

__all__ = ["LatestOrder"]


class LatestOrder(queue_order.QueueOrder):
    """Serves the newest call, which has most of its time left."""

    name = "latest"
    doc = "last come, first served, until the deadline"

    def rank(
        self, waiter: queue_order.Waiter, now: datetime.timedelta
    ) -> queue_order.Rank:
        return (-waiter.number,)

    def patience(
        self, waiter: queue_order.Waiter, now: datetime.timedelta
    ) -> datetime.timedelta:
        return waiter.deadline - now
