"""Queue discipline that serves the newest call first."""

import datetime

from balsamramp_node.inbound import queue_discipline

__all__ = ["LifoDiscipline"]


class LifoDiscipline(queue_discipline.QueueDiscipline):
    """Serves the newest call first, because it has the most time left."""

    name = "latest"
    doc = "last come, first served, until the deadline"

    def rank(
        self, call: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> queue_discipline.Rank:
        return (-call.number,)

    def max_wait(
        self, call: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> datetime.timedelta:
        return call.deadline - now
