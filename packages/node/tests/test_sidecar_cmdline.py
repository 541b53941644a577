"""A process whose event loop is blocked ends before its grace is over."""

import contextlib
import json
import os
import subprocess
import sys

import pytest

from balsamramp_node.process import process_record

NO_THREADS = """
import threading

def fail(thread):
    raise RuntimeError("can't start new thread")

threading.Thread.start = fail
"""
BLOCKED_PROCESS = """
import time
from balsamramp_core import clock
from balsamramp_node.process import decision_log
from balsamramp_node.process import process_record
from balsamramp_node.process import sidecar_cmdline
sink = decision_log.FileSink(1)
sink.write(b"last line")
now = clock.SystemClock()
record = process_record.ProcessRecord(
    decision_log.DecisionLog(sink, now), now
)
sidecar_cmdline.start_exit_timer(0.2, sink, record)
time.sleep(60)
"""


@pytest.mark.parametrize("before", ["", NO_THREADS], ids=["", "no-threads"])
def test_exit_timer_ends_a_blocked_process_and_writes_its_log(
    before: str,
) -> None:
    ended = subprocess.run(
        [sys.executable, "-c", before + BLOCKED_PROCESS],
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert ended.returncode == process_record.ExitCode.FORCED
    first, last = ended.stdout.splitlines()
    assert first == b"last line"
    record = json.loads(last)
    assert record["event"] == "process_end"
    assert record["exit_code"] == process_record.ExitCode.FORCED
    assert b"still running" in ended.stderr


@pytest.mark.parametrize("reader", ["gone", "stands still"])
def test_exit_timer_ends_a_process_whose_standard_error_is_not_read(
    reader: str,
) -> None:
    read_end, write_end = os.pipe()
    if reader == "gone":
        os.close(read_end)
    else:
        os.set_blocking(write_end, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(write_end, bytes(4096))
        os.set_blocking(write_end, True)
    ended = subprocess.run(
        [sys.executable, "-c", BLOCKED_PROCESS],
        stdout=subprocess.DEVNULL,
        stderr=write_end,
        timeout=30,
        check=False,
    )
    assert ended.returncode == process_record.ExitCode.FORCED
