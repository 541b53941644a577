"""Decision log: rate limit, count of dropped lines, no blocking writes."""

import datetime
import errno
import json
import logging
import os
import threading
from unittest import mock

import pytest

from balsamramp_core import clock
from balsamramp_node.process import decision_log
from balsamramp_testing import virtual_time


class _ListSink(decision_log.LineSink):
    def __init__(self) -> None:
        self.lines: list[dict[str, object]] = []

    def write(self, line: bytes) -> bool:
        self.lines.append(json.loads(line))
        return True


def test_line_contains_context_event_and_fields() -> None:
    async def main() -> None:
        sink = _ListSink()
        log = decision_log.DecisionLog(
            sink, virtual_time.VirtualClock(), node="n1"
        )
        log.write("refused", request_id="r", age=datetime.timedelta(seconds=1))
        (line,) = sink.lines
        assert line["node"] == "n1"
        assert line["event"] == "refused"
        assert line["request_id"] == "r"

    virtual_time.run(main())


def test_lines_beyond_the_rate_are_dropped_and_counted() -> None:
    async def main() -> None:
        sink = _ListSink()
        clock = virtual_time.VirtualClock()
        log = decision_log.DecisionLog(sink, clock)
        attempted_lines = 10_000
        for _ in range(attempted_lines):
            log.write_routine("request")
        log.write("refused")
        written_lines = len(sink.lines)
        lines_max = (
            decision_log.ROUTINE_LINES_PER_SECOND * decision_log.BURST_SECONDS
            + 1
        )
        assert written_lines <= lines_max
        assert sink.lines[-1]["event"] == "refused"
        await clock.sleep(2 * decision_log.OMITTED_REPORT_INTERVAL)
        log.write_routine("request")
        (omitted,) = [
            line for line in sink.lines if line["event"] == "lines_omitted"
        ]
        assert omitted["count"] == attempted_lines + 1 - written_lines

    virtual_time.run(main())


def test_stalled_reader_drops_lines_without_blocking() -> None:
    reading, writing = os.pipe()
    try:
        sink = decision_log.FileSink(writing)
        line = b"x" * 1000
        accepted_lines = 0
        while sink.write(line):
            accepted_lines += 1
            assert accepted_lines < 10_000
        assert accepted_lines * 1000 <= decision_log.BUFFER_MAX_BYTES + 2**20
        os.read(reading, 2**20)
        assert sink.write(line)
    finally:
        os.close(reading)
        os.close(writing)


def test_rare_event_is_written_amid_a_flood_of_another() -> None:
    async def main() -> None:
        sink = _ListSink()
        clock = virtual_time.VirtualClock()
        log = decision_log.DecisionLog(sink, clock)
        for _ in range(5):
            for _ in range(int(4 * decision_log.OTHER_LINES_PER_SECOND)):
                log.write("refused")
            log.write("event_loop_late", milliseconds=800)
            await clock.sleep(datetime.timedelta(seconds=1))
        late = [
            line for line in sink.lines if line["event"] == "event_loop_late"
        ]
        assert len(late) == 5

    virtual_time.run(main())


@pytest.mark.parametrize(
    "value",
    ["\udcff", object(), {("a",): 1}],
    ids=["surrogate", "object", "key"],
)
def test_value_that_cannot_be_encoded_does_not_end_its_writer(
    value: object,
) -> None:
    async def main() -> None:
        sink = _ListSink()
        log = decision_log.DecisionLog(sink, virtual_time.VirtualClock())
        log.write("refused", reason=value, target="t")
        (line,) = sink.lines
        assert line["event"] == "refused"
        assert line["reason"] == repr(value)

    virtual_time.run(main())


def test_message_with_wrong_arguments_does_not_end_its_writer() -> None:
    async def main() -> None:
        sink = _ListSink()
        log = decision_log.DecisionLog(sink, virtual_time.VirtualClock())
        handler = decision_log.DecisionHandler(log)
        handler.emit(
            logging.makeLogRecord({"msg": "%d lines", "args": ("none",)})
        )
        (line,) = sink.lines
        assert "%d lines" in str(line["text"])

    virtual_time.run(main())


def test_lines_outlast_a_full_disk() -> None:
    """Guards against a log that has gaps and half lines afterwards."""
    reader, writer = os.pipe()
    sink = decision_log.FileSink(writer)
    sink.write(b"before")
    error = OSError(errno.ENOSPC, "No space left on device")
    with mock.patch.object(os, "write", side_effect=error):
        sink.flush()
        for _ in range(decision_log.BUFFER_MAX_BYTES // 4096):
            sink.write(bytes(4096))
    sink.flush()
    assert os.read(reader, 4096).startswith(b"before\n")
    os.close(reader)
    os.close(writer)


def test_last_line_reaches_a_reader_that_is_behind() -> None:
    reading, writing = os.pipe()
    sink = decision_log.FileSink(writing)
    for _ in range(200):
        sink.write(b"x" * 1000)
    sink.write(b"last")
    received = bytearray()

    def read() -> None:
        while not received.endswith(b"last\n"):
            received.extend(os.read(reading, 4096))

    reader = threading.Thread(target=read)
    reader.start()
    sink.drain(clock.SystemClock(), datetime.timedelta(seconds=30))
    os.close(writing)
    reader.join()
    os.close(reading)
    assert received.endswith(b"last\n")


def test_reader_that_stands_still_is_awaited_for_a_bounded_time() -> None:
    reading, writing = os.pipe()
    sink = decision_log.FileSink(writing)
    for _ in range(200):
        sink.write(b"x" * 1000)
    sink.drain(clock.SystemClock(), datetime.timedelta(milliseconds=10))
    os.close(writing)
    os.close(reading)
