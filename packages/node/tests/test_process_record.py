"""Log lines that tell ways in which a process ends apart."""

import hashlib
import json
import pathlib
import subprocess
import sys

import pytest

from balsamramp_core import clock
from balsamramp_node.process import decision_log
from balsamramp_node.process import process_record

RUN = """
import pathlib, sys
from balsamramp_node.process import sidecar_cmdline

def fail(checked):
    raise RuntimeError("no adapter")

sys.exit(sidecar_cmdline.run(pathlib.Path(sys.argv[1]), fail))
"""
SETTINGS = """\
[node]
id = one
zone = z
region = r
service = caja
target = 127.0.0.1:9
[listen]
host = 127.0.0.1
callers = 127.0.0.1:7011
ready = 127.0.0.1:7012
announcements = 127.0.0.1:7013
stream_port = 7014
[platform]
address = 127.0.0.1:9
"""


class ListSink(decision_log.LineSink):
    """Keeps the lines."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []

    def write(self, line: bytes) -> bool:
        self.lines.append(line)
        return True


def _run(path: pathlib.Path) -> tuple[int, list[dict[str, object]]]:
    ended = subprocess.run(
        [sys.executable, "-c", RUN, str(path)],
        capture_output=True,
        timeout=60,
        check=False,
    )
    lines = [json.loads(line) for line in ended.stdout.splitlines()]
    return ended.returncode, lines


def test_start_line_has_the_inputs_of_the_process(
    tmp_path: pathlib.Path,
) -> None:
    settings = tmp_path / "node.ini"
    settings.write_text(SETTINGS)
    exit_code, lines = _run(settings)
    start = lines[0]
    assert start["event"] == "process_start"
    digest = hashlib.sha256(SETTINGS.encode()).hexdigest()
    assert digest.startswith(str(start["settings_digest"]))
    assert start["python"] == sys.implementation.cache_tag
    assert start["addresses"] == {
        "callers": "127.0.0.1:7011",
        "ready": "127.0.0.1:7012",
        "announcements": "127.0.0.1:7013",
        "stream_port": "127.0.0.1:7014",
        "metrics_port": "127.0.0.1:9464",
    }
    end = lines[-1]
    assert end["event"] == "process_end"
    assert exit_code == process_record.ExitCode.UNEXPECTED_ERROR
    assert end["exit_code"] == exit_code
    assert "no adapter" in str(end["reason"])


def test_advertised_address_that_is_none_is_named_as_a_setting(
    tmp_path: pathlib.Path,
) -> None:
    settings = tmp_path / "node.ini"
    settings.write_text(
        SETTINGS.replace("[platform]", "stream_advertised = 41904\n[platform]")
    )
    exit_code, lines = _run(settings)
    assert exit_code == process_record.ExitCode.INVALID_SETTINGS
    assert "[listen] stream_advertised" in str(lines[-1]["reason"])


def test_build_that_cannot_be_read_is_described(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    package = tmp_path / "balsamramp_node" / "__init__.py"
    monkeypatch.setattr(
        process_record.balsamramp_node, "__file__", str(package)
    )
    assert process_record.describe_build() is None
    build = tmp_path / process_record.BUILD_FILE
    build.write_text('{"python": "cpython-311"}')
    assert process_record.describe_build() == {"python": "cpython-311"}
    build.write_text("{")
    assert "error" in process_record.describe_build()


def test_each_way_to_end_has_a_code_of_its_own() -> None:
    sink = ListSink()
    now = clock.SystemClock()
    record = process_record.ProcessRecord(
        decision_log.DecisionLog(sink, now), now
    )
    for code in process_record.ExitCode:
        record.write_end(code, code.name)
    written = [json.loads(line)["exit_code"] for line in sink.lines]
    assert written == sorted(set(written))
