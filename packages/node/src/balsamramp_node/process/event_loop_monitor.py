"""Measures how late the event loop runs its timers."""

import asyncio
import datetime

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_node.process import decision_log

__all__ = ["EventLoopMonitor"]

CHECK_INTERVAL = datetime.timedelta(milliseconds=100)
# From this delay on, peers may take the node for unresponsive.
LOG_THRESHOLD = datetime.timedelta(milliseconds=500)
NO_DELAY = datetime.timedelta()
MILLISECOND = datetime.timedelta(milliseconds=1)


class EventLoopMonitor(service_manager.Service):
    """Sleeps for a fixed interval and records the delay beyond it."""

    name = "event-loop-monitor"

    def __init__(
        self,
        time: clock.Clock,
        counters: metrics.Metrics,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._clock = time
        self._metrics = counters
        self._decisions = decisions
        self._task: asyncio.Task[None] | None = None
        self._due_at = float("inf")
        self._last_delay_seconds = 0.0

    @property
    def delay_seconds(self) -> float:
        """Return how long data may have waited in the sockets.

        That is the delay of the timer that is due, or of the last one, which
        ran within the check interval. It is asked for with each request.
        """
        overdue = asyncio.get_running_loop().time() - self._due_at
        return max(overdue, self._last_delay_seconds)

    async def start(self) -> None:
        self._task = background_task.start(
            self._run, self._clock, self._metrics
        )

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            started = self._clock.monotonic()
            self._due_at = (
                asyncio.get_running_loop().time()
                + CHECK_INTERVAL.total_seconds()
            )
            await self._clock.sleep(CHECK_INTERVAL)
            delay = self._clock.monotonic() - started - CHECK_INTERVAL
            delay = max(delay, NO_DELAY)
            self._last_delay_seconds = delay.total_seconds()
            self._metrics.observe(
                "event_loop_delay_seconds", delay.total_seconds()
            )
            if delay < LOG_THRESHOLD:
                continue
            self._decisions.write(
                "event_loop_late", milliseconds=round(delay / MILLISECOND, 1)
            )
