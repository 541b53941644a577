"""Logs how many bytes the node sends to its peers, by kind of message."""

import asyncio
from collections import abc
import datetime

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_node.process import decision_log
from balsamramp_wire import frames

__all__ = ["TrafficMonitor"]

INTERVAL = datetime.timedelta(seconds=1)
SENT_BYTES = "stream_sent_bytes_total"


class TrafficMonitor(service_manager.Service):
    """Writes a line for each interval in which data was sent or waits.

    ``unsent_bytes`` returns how much of what was written to peers the
    sockets have not taken yet; more than a few kilobytes mean that the link
    of this VM or of a peer is full.
    """

    name = "traffic-monitor"

    def __init__(
        self,
        unsent_bytes: abc.Callable[[], int],
        time: clock.Clock,
        counters: metrics.Metrics,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._unsent_bytes = unsent_bytes
        self._clock = time
        self._metrics = counters
        self._decisions = decisions
        self._totals: dict[str, int] = {}
        self._task: asyncio.Task[None] | None = None

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
            await self._clock.sleep(INTERVAL)
            sent = self._sent_since_last_line()
            unsent_bytes = self._unsent_bytes()
            self._metrics.set("stream_unsent_bytes", unsent_bytes)
            if sent or unsent_bytes:
                self._decisions.write_routine(
                    "traffic", sent_bytes=sent, unsent_bytes=unsent_bytes
                )

    def _sent_since_last_line(self) -> dict[str, int]:
        sent = {}
        for message_type in frames.MESSAGE_TYPES.values():
            name = message_type.__name__
            total = int(self._metrics.value(SENT_BYTES, message=name))
            count = total - self._totals.get(name, 0)
            self._totals[name] = total
            if count:
                sent[name] = count
        return sent
