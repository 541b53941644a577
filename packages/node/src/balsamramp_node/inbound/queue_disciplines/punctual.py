"""Queue discipline that does not hold calls without a punctual chance."""

import datetime

from balsamramp_node.inbound import queue_discipline
from balsamramp_node.inbound.queue_disciplines import priority

__all__ = ["PunctualDiscipline"]


class PunctualDiscipline(priority.PriorityDiscipline):
    """Orders calls by priority and refuses those that would wait in vain.

    It answers a load that stays above capacity, where calls of better rank
    take all slots: calls by targets, those of a better priority, or those
    that can still be punctual. A queued call is overtaken by each of them,
    so that it is held for half of its time and then refused. Here it is
    refused as soon as that is expected, at arrival or when it becomes late.
    While slots are left over for it, it waits as in the priority discipline.

    The cost is that fewer late calls are served at the end of a short burst.
    It is for callers to whom an early refusal is worth more than that.
    """

    name = "punctual"
    doc = "as worth, without holding calls that would wait in vain"

    def level(
        self,
        call: queue_discipline.QueuedCall,
        now: datetime.timedelta,
        late: bool = False,
    ) -> queue_discipline.Rank:
        return (
            not call.from_target,
            call.priority,
            late or now > self._latest_start(call),
        )

    def punctual_wait(
        self, call: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> datetime.timedelta:
        return min(self._latest_start(call) - now, self.max_wait(call, now))
