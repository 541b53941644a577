"""balsamrampd among what a supervisor may hand over to a process."""

from collections import abc
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

START_TIMEOUT_SECONDS = 30.0
SETTINGS = """\
[node]
id = n0
zone = zone-a
region = region-1
[listen]
host = 127.0.0.1
[platform]
url = http://127.0.0.1:1
"""


def _start_and_stop(
    folder: pathlib.Path, prepare: abc.Callable[[], object]
) -> int:
    settings = folder / "node.ini"
    settings.write_text(SETTINGS)
    addresses = folder / "addresses.json"
    with subprocess.Popen(
        [
            sys.executable,
            "-m",
            "balsamramp_node.process.cmdline",
            str(settings),
            "--addresses",
            str(addresses),
        ],
        preexec_fn=prepare,
    ) as process:
        until = time.monotonic() + START_TIMEOUT_SECONDS
        while not addresses.exists() and process.poll() is None:
            assert time.monotonic() < until
            time.sleep(0.05)
        try:
            process.send_signal(signal.SIGTERM)
            return process.wait(START_TIMEOUT_SECONDS)
        finally:
            process.kill()


@pytest.mark.parametrize("closed", [(0,), (2,), (0, 1, 2)], ids=repr)
def test_balsamrampd_serves_and_stops_without_standard_streams(
    tmp_path: pathlib.Path, closed: tuple[int, ...]
) -> None:
    def close() -> None:
        for descriptor in closed:
            os.close(descriptor)

    assert _start_and_stop(tmp_path, close) == 0


def test_balsamrampd_hears_signals_that_were_blocked(
    tmp_path: pathlib.Path,
) -> None:
    def block() -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGTERM])

    assert _start_and_stop(tmp_path, block) == 0
