"""Latest: the newest call goes first."""

import datetime

from balsamramp_node.inbound import queue_discipline

__all__ = ["LifoDiscipline"]


class LifoDiscipline(queue_discipline.QueueDiscipline):
    """Serves the newest call, which has most of its time left."""

    name = "latest"
    doc = "last come, first served, until the deadline"

    def rank(
        self, waiter: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> queue_discipline.Rank:
        return (-waiter.number,)

    def max_wait(
        self, waiter: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> datetime.timedelta:
        return waiter.deadline - now
