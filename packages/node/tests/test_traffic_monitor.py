"""Bytes sent to peers: one line an interval, by kind of message."""

import asyncio

from balsamramp_core import metrics
from balsamramp_node.process import decision_log
from balsamramp_node.process import traffic_monitor
from balsamramp_testing import list_sink
from balsamramp_testing import virtual_time


def test_bytes_are_logged_by_kind_while_there_are_any() -> None:
    async def main() -> None:
        time = virtual_time.VirtualClock()
        counters = metrics.Metrics()
        sink = list_sink.ListSink()
        unsent = [0, 70_000, 0]
        monitor = traffic_monitor.TrafficMonitor(
            lambda: unsent.pop(0),
            time,
            counters,
            decision_log.DecisionLog(sink, time),
        )
        await monitor.start()
        for size in (90_000, 500):
            counters.count(
                "stream_sent_bytes_total", size, message="CallAnswer"
            )
        await asyncio.sleep(1.5)
        counters.count("stream_sent_bytes_total", 40, message="Ping")
        await asyncio.sleep(2)
        await monitor.stop()
        found = [
            (line["event"], line["sent_bytes"], line["unsent_bytes"])
            for line in sink.lines
        ]
        assert found == [
            ("traffic", {"CallAnswer": 90_500}, 0),
            ("traffic", {"Ping": 40}, 70_000),
        ]

    virtual_time.run(main())
