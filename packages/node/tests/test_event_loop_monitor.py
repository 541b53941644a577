"""Delay of the event loop: histogram and log line above a threshold."""

import asyncio
import datetime
import typing

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_node.process import decision_log
from balsamramp_node.process import event_loop_monitor
from balsamramp_testing import list_sink
from balsamramp_testing import virtual_time

NAME = "balsamramp_event_loop_delay_seconds"


class _LateClock(virtual_time.VirtualClock):
    """Returns from each sleep ``delay`` too late."""

    def __init__(self, delay: datetime.timedelta) -> None:
        super().__init__()
        self._delay = delay

    async def sleep(self, duration: datetime.timedelta) -> None:
        await super().sleep(duration + self._delay)


async def _monitor(
    time: clock.Clock, seconds: float
) -> tuple[metrics.Metrics, list[dict[str, typing.Any]]]:
    counters = metrics.Metrics()
    sink = list_sink.ListSink()
    monitor = event_loop_monitor.EventLoopMonitor(
        time, counters, decision_log.DecisionLog(sink, time)
    )
    await monitor.start()
    await asyncio.sleep(seconds)
    await monitor.stop()
    return counters, sink.lines


def _samples(counters: metrics.Metrics) -> dict[str, float]:
    text = counters.render()[0].decode()
    samples = {}
    for line in text.splitlines():
        if line.startswith(NAME):
            name, _, value = line.rpartition(" ")
            samples[name.removeprefix(NAME)] = float(value)
    return samples


def test_loop_on_time_is_observed_without_a_log_line() -> None:
    async def main() -> None:
        counters, lines = await _monitor(virtual_time.VirtualClock(), 1.05)
        samples = _samples(counters)
        assert samples["_count"] == 10
        assert samples['_bucket{le="0.001"}'] == 10
        assert lines == []

    virtual_time.run(main())


def test_late_loop_is_observed_and_logged() -> None:
    async def main() -> None:
        time = _LateClock(datetime.timedelta(milliseconds=600))
        counters, lines = await _monitor(time, 0.75)
        samples = _samples(counters)
        assert samples['_bucket{le="0.3"}'] == 0
        assert samples['_bucket{le="1.0"}'] == 1
        (line,) = lines
        assert line["event"] == "event_loop_late"
        assert line["milliseconds"] == 600

    virtual_time.run(main())


def test_slightly_late_loop_is_not_logged() -> None:
    async def main() -> None:
        time = _LateClock(datetime.timedelta(milliseconds=400))
        counters, lines = await _monitor(time, 0.75)
        assert _samples(counters)['_bucket{le="0.3"}'] == 0
        assert lines == []

    virtual_time.run(main())
