"""Deadline: the call that expires first goes first."""

import datetime

from balsamramp_node.inbound import queue_discipline

__all__ = ["EarliestDeadlineDiscipline"]


class EarliestDeadlineDiscipline(queue_discipline.QueueDiscipline):
    """Serves calls by their deadline, until it comes."""

    name = "deadline"
    doc = "nearest deadline first"

    def rank(
        self, waiter: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> queue_discipline.Rank:
        return (waiter.deadline.total_seconds(), waiter.number)

    def max_wait(
        self, waiter: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> datetime.timedelta:
        return waiter.deadline - now
