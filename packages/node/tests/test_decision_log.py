"""Decision log: bounded, never blocking, and it counts what it leaves out."""

import datetime
import json
import os

from balsamramp_node.process import decision_log
from balsamramp_testing import virtual_time


class _Sink(decision_log.LineSink):
    def __init__(self) -> None:
        self.lines: list[dict[str, object]] = []

    def write(self, line: bytes) -> bool:
        self.lines.append(json.loads(line))
        return True


def test_a_line_names_place_event_and_inputs() -> None:
    async def main() -> None:
        sink = _Sink()
        log = decision_log.DecisionLog(
            sink, virtual_time.VirtualClock(), node="n1"
        )
        log.write("refused", request_id="r", age=datetime.timedelta(seconds=1))
        (line,) = sink.lines
        assert line["node"] == "n1"
        assert line["event"] == "refused"
        assert line["request_id"] == "r"

    virtual_time.run(main())


def test_a_flood_is_bounded_and_counted() -> None:
    async def main() -> None:
        sink = _Sink()
        clock = virtual_time.VirtualClock()
        log = decision_log.DecisionLog(sink, clock)
        written = 10_000
        for _ in range(written):
            log.routine("request")
        log.write("refused")
        kept = len(sink.lines)
        most = (
            decision_log.ROUTINE_LINES_PER_SECOND * decision_log.BURST_SECONDS
            + 1
        )
        assert kept <= most
        assert sink.lines[-1]["event"] == "refused"
        await clock.sleep(2 * decision_log.OMITTED_REPORT_INTERVAL)
        log.routine("request")
        (omitted,) = [
            line for line in sink.lines if line["event"] == "lines_omitted"
        ]
        assert omitted["count"] == written + 1 - kept

    virtual_time.run(main())


def test_a_reader_that_stops_costs_lines_and_no_time() -> None:
    reading, writing = os.pipe()
    try:
        sink = decision_log.FileSink(writing)
        line = b"x" * 1000
        taken = 0
        while sink.write(line):
            taken += 1
            assert taken < 10_000
        assert taken * 1000 <= decision_log.BUFFER_MAX_BYTES + 2**20
        os.read(reading, 2**20)
        assert sink.write(line)
    finally:
        os.close(reading)
        os.close(writing)
