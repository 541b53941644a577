"""Worth: calls whose answers are worth most go first."""

import datetime

from balsamramp_node.inbound import queue_discipline

__all__ = ["PriorityDiscipline"]

# Part of the time left for which a call that will be late waits. Beyond it
# the caller does better to come back than to wait for a slot that may not
# come free.
LATE_PATIENCE = 0.5
# Service times vary by about a half of their mean; a start that leaves just
# the mean until the objective makes every second answer late.
SERVICE_MARGIN = 1.5


class PriorityDiscipline(queue_discipline.QueueDiscipline):
    """Answers a load above capacity, in which not every call is served.

    Calls that targets make go first: the call that made them holds a slot
    elsewhere, and its work is lost if they fail. Then by priority, then
    those that can still meet their objective before those that can't, so
    that a burst makes some calls late instead of all. Among equals the
    nearest objective goes first.

    A call waits while its objective can be met. One that will be late
    waits for a part of its time and then is told to come back.
    """

    name = "worth"
    doc = "calls by targets, priority, on time before late, objective"

    def rank(
        self, waiter: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> queue_discipline.Rank:
        return (
            not waiter.from_target,
            waiter.priority,
            now > self._latest_start(waiter),
            waiter.objective_at.total_seconds(),
            waiter.number,
        )

    def max_wait(
        self, waiter: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> datetime.timedelta:
        left = waiter.deadline - waiter.service_time - now
        return max(self._latest_start(waiter) - now, left * LATE_PATIENCE)

    def _latest_start(
        self, waiter: queue_discipline.QueuedCall
    ) -> datetime.timedelta:
        """Return when a start still probably meets the objective."""
        return waiter.objective_at - waiter.service_time * SERVICE_MARGIN
