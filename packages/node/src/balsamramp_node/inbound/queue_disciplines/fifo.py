"""Queue discipline that serves calls in order of arrival."""

import datetime

from balsamramp_node.inbound import queue_discipline

__all__ = ["FifoDiscipline"]


class FifoDiscipline(queue_discipline.QueueDiscipline):
    """Serves calls by arrival; a call may wait until its deadline."""

    name = "arrival"
    doc = "first come, first served, until the deadline"

    def rank(
        self, call: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> queue_discipline.Rank:
        return (call.number,)

    def max_wait(
        self, call: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> datetime.timedelta:
        return call.deadline - now
