"""Queue discipline that serves calls by priority and objective."""

import datetime

from balsamramp_node.inbound import queue_discipline

__all__ = ["PriorityDiscipline"]

# Share of its remaining time that a call may wait when it can't meet its
# objective. After that a retry is better for the caller than waiting for a
# slot that may not become free.
LATE_WAIT_SHARE = 0.5
# Share of its remaining time by which a call has to start, less the service
# time. The rest is for the way to the target and back.
START_SHARE = 0.9
# Service times vary by about half of their mean. Half of the calls that start
# with only the mean left until their objective would be late.
SERVICE_MARGIN = 1.5


class PriorityDiscipline(queue_discipline.QueueDiscipline):
    """Orders calls for a load above capacity, when some are refused.

    Calls made by targets are first: each serves another call, which
    occupies a slot elsewhere and whose work is lost if this one fails.
    The priority is compared next. Calls that can still meet their
    objective then precede late ones, so that a burst makes some calls
    late instead of all. Among equals the earliest objective is first.

    A call may wait as long as it can meet its objective. A call that will
    be late waits for a share of its time left and is then refused, to be
    retried.
    """

    name = "worth"
    doc = "calls by targets, priority, on time before late, objective"

    def rank(
        self, call: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> queue_discipline.Rank:
        return (
            not call.from_target,
            call.priority,
            now > self._latest_start(call),
            call.objective_at.total_seconds(),
            call.number,
        )

    def max_wait(
        self, call: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> datetime.timedelta:
        remaining = (call.deadline - now) * START_SHARE - call.service_time
        punctual = min(self._latest_start(call) - now, remaining)
        return max(punctual, remaining * LATE_WAIT_SHARE)

    def _latest_start(
        self, call: queue_discipline.QueuedCall
    ) -> datetime.timedelta:
        """Return the latest start that is likely to meet the objective."""
        return call.objective_at - call.service_time * SERVICE_MARGIN
