"""Queue discipline that serves the earliest deadline first."""

import datetime

from balsamramp_node.inbound import queue_discipline

__all__ = ["EarliestDeadlineDiscipline"]


class EarliestDeadlineDiscipline(queue_discipline.QueueDiscipline):
    """Serves calls by deadline; a call may wait until its deadline."""

    name = "deadline"
    doc = "earliest deadline first"

    def rank(
        self, call: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> queue_discipline.Rank:
        return (call.deadline.total_seconds(), call.number)

    def max_wait(
        self, call: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> datetime.timedelta:
        return call.deadline - now
