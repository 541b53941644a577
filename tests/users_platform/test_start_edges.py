"""A process that starts among conditions that no test bench has.

A supervisor may hand over closed streams, a signal mask, no right to create
threads or a settings file that is being written, and may send signals at any
moment. A process that ends for one of these is started again, meets the same
and ends again, until nothing serves.
"""

import asyncio
from collections import abc
import ctypes
import os
import pathlib
import resource
import signal
import subprocess
import sys
import time
import typing

import pytest
import sidecar_fleet

ROOT = pathlib.Path(__file__).resolve().parents[2]
END_TIMEOUT_SECONDS = 20.0
ANOTHER_USER = 54_321
PR_CAPBSET_DROP = 24
CAP_SYS_ADMIN = 21
CAP_SYS_RESOURCE = 24
# Sends SIGHUP at each import that the program makes from a file.
SIGNAL_AT_IMPORTS = """
import os, sys
import _signal

program_runs = False


def on_event(event, arguments):
    global program_runs
    if event == "exec" and arguments[0].co_filename.endswith("sidecar.py"):
        program_runs = True
    if event != "import" or not program_runs:
        return
    if arguments[0] not in sys.builtin_module_names:
        os.kill(os.getpid(), _signal.SIGHUP)


sys.addaudithook(on_event)
"""
STOP_AT_IMPORT = """
import os, sys
import _signal


def on_event(event, arguments):
    if event == "import" and arguments[0] == "{module}":
        os.kill(os.getpid(), _signal.SIGTERM)


sys.addaudithook(on_event)
"""
TRY_THREAD = """
import threading
try:
    threading.Thread(target=print).start()
except RuntimeError:
    print("no thread", end="")
"""
HANGING_START = """
import asyncio, pathlib, sys
import store_platform_adapter
from balsamramp_node.process import sidecar
from balsamramp_node.process import sidecar_cmdline

async def start(node):
    print("starting", flush=True)
    await asyncio.sleep(60)

sidecar.Sidecar.start = start
sys.exit(sidecar_cmdline.run(
    pathlib.Path(sys.argv[1]), store_platform_adapter.StorePlatformAdapter
))
"""


class _Fleet(sidecar_fleet.SidecarFleet):
    """Starts processes with options of its own."""

    def __init__(
        self,
        folder: pathlib.Path,
        prepare: abc.Callable[[], object] | None = None,
        path: pathlib.Path | None = None,
        spoil: abc.Callable[[pathlib.Path], object] | None = None,
    ) -> None:
        super().__init__(folder)
        self._spoil = spoil
        self._options: dict[str, typing.Any] = {"preexec_fn": prepare}
        self._path = [path] if path else []

    async def _launch(
        self, settings: pathlib.Path
    ) -> asyncio.subprocess.Process:
        if self._spoil is not None:
            self._spoil(settings)
        environment = _environment(settings, *self._path)
        with settings.with_suffix(".log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform" / "sidecar.py"),
                env=environment,
                stdout=log,
                stderr=log,
                **self._options,
            )


async def _end(sidecar: sidecar_fleet.SidecarProcess) -> int:
    sidecar_fleet.terminate(sidecar)
    async with asyncio.timeout(END_TIMEOUT_SECONDS):
        return await sidecar.process.wait()


async def _become_ready(
    fleet: sidecar_fleet.SidecarFleet, sidecar: sidecar_fleet.SidecarProcess
) -> None:
    async def ready_or_ended() -> bool:
        if sidecar.process.returncode is not None:
            return True
        try:
            return await sidecar.ready() == 200
        except OSError:
            return False

    await fleet.wait_until(ready_or_ended)
    assert sidecar.process.returncode is None, sidecar.log()[-2000:]


async def _start_and_stop(fleet: _Fleet) -> sidecar_fleet.SidecarProcess:
    """Start a node, wait until it is ready, stop it; it must end with 0."""
    async with fleet:
        fleet.store.put("op", "config", sidecar_fleet.configuration(3))
        sidecar = await fleet.start("one")
        await _become_ready(fleet, sidecar)
        assert await _end(sidecar) == 0, sidecar.log()[-2000:]
        return sidecar


def _write_settings(path: pathlib.Path) -> str:
    text = sidecar_fleet.SETTINGS.format(
        name="one",
        zone="z-a",
        service="caja",
        target=9,
        store=9,
        advertised="127.0.0.1:9",
        grace=3,
        link_rate=0.0,
        memory=300,
        descriptors=0,
        **sidecar_fleet.free_ports(),
    )
    path.write_text(text)
    return text


def _environment(
    settings: pathlib.Path, *path: pathlib.Path
) -> dict[str, str]:
    parts = [*map(str, path), os.environ.get("PYTHONPATH", "")]
    return {
        **os.environ,
        "BALSAMRAMP_BOOT": str(settings) if settings.name else "",
        "PYTHONPATH": os.pathsep.join(filter(None, parts)),
    }


def _run_program(
    settings: pathlib.Path, *path: pathlib.Path
) -> "subprocess.Popen[bytes]":
    return subprocess.Popen(
        [sys.executable, str(ROOT / "platform" / "sidecar.py")],
        env=_environment(settings, *path),
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def test_reload_at_any_import_of_the_program_does_not_end_it(
    tmp_path: pathlib.Path,
) -> None:
    (tmp_path / "sitecustomize.py").write_text(SIGNAL_AT_IMPORTS)
    asyncio.run(_start_and_stop(_Fleet(tmp_path, path=tmp_path)))


@pytest.mark.parametrize("closed", [(0,), (1,), (2,), (0, 1, 2)], ids=repr)
def test_process_serves_and_stops_without_standard_streams(
    tmp_path: pathlib.Path, closed: tuple[int, ...]
) -> None:
    def close() -> None:
        for descriptor in closed:
            os.close(descriptor)

    asyncio.run(_start_and_stop(_Fleet(tmp_path, close)))


def _forbid_threads() -> None:
    """Limit the processes of the user to those that run."""
    if os.getuid() == 0:
        # Root is exempt: count for another user, without the capabilities
        # that lift the limit, and keep the access to files.
        libc = ctypes.CDLL(None)
        for capability in (CAP_SYS_ADMIN, CAP_SYS_RESOURCE):
            libc.prctl(PR_CAPBSET_DROP, capability, 0, 0, 0)
        os.setresuid(ANOTHER_USER, 0, 0)
    resource.setrlimit(resource.RLIMIT_NPROC, (1, 1))


def test_process_serves_and_stops_without_threads(
    tmp_path: pathlib.Path,
) -> None:
    tried = subprocess.run(
        [sys.executable, "-c", TRY_THREAD],
        preexec_fn=_forbid_threads,
        capture_output=True,
        check=True,
    )
    assert tried.stdout == b"no thread"
    sidecar = asyncio.run(_start_and_stop(_Fleet(tmp_path, _forbid_threads)))
    assert "no thread for the exit timer" in sidecar.log()


@pytest.mark.parametrize(
    "content",
    [
        pytest.param("", id="empty"),
        pytest.param("[node]\nid = one\n[lis", id="half-written"),
        pytest.param(None, id="missing"),
    ],
)
def test_process_waits_for_settings_that_are_being_written(
    tmp_path: pathlib.Path, content: str | None
) -> None:
    whole = tmp_path / "whole.ini"

    def spoil(settings: pathlib.Path) -> None:
        settings.rename(whole)
        if content is not None:
            settings.write_text(content)

    async def main() -> None:
        async with _Fleet(tmp_path, spoil=spoil) as fleet:
            fleet.store.put("op", "config", sidecar_fleet.configuration(3))
            sidecar = await fleet.start("one")

            async def complained() -> bool:
                return str(sidecar.settings) in sidecar.log()

            await fleet.wait_until(complained)
            whole.replace(sidecar.settings)
            await _become_ready(fleet, sidecar)
            assert await _end(sidecar) == 0

    asyncio.run(main())


def test_stop_signal_ends_the_wait_for_settings(
    tmp_path: pathlib.Path,
) -> None:
    with _run_program(tmp_path / "missing.ini") as process:
        assert process.stderr is not None
        assert b"missing.ini" in process.stderr.readline()
        process.terminate()
        output, _ = process.communicate(timeout=END_TIMEOUT_SECONDS)
    assert process.returncode == 0
    assert b'"event":"process_end","exit_code":0' in output


def test_invalid_settings_end_the_process_after_the_wait(
    tmp_path: pathlib.Path,
) -> None:
    settings = tmp_path / "node.ini"
    text = _write_settings(settings)
    settings.write_text(text.replace("zone = z-a", "zone = ?"))
    with _run_program(settings) as process:
        output, errors = process.communicate(timeout=END_TIMEOUT_SECONDS)
    assert process.returncode == 2
    assert b"[node] zone: '?' given" in errors
    assert b'"event":"process_end"' in output


def test_stop_signal_ends_a_start_that_waits(tmp_path: pathlib.Path) -> None:
    settings = tmp_path / "node.ini"
    _write_settings(settings)
    with subprocess.Popen(
        [sys.executable, "-c", HANGING_START, str(settings)],
        env=_environment(settings, ROOT / "platform"),
        stdout=subprocess.PIPE,
    ) as process:
        assert process.stdout is not None
        for line in process.stdout:
            if line == b"starting\n":
                break
        process.terminate()
        try:
            output, _ = process.communicate(
                timeout=sidecar_fleet.GRACE_SECONDS
            )
        finally:
            process.kill()
    assert process.returncode == 0
    assert b'"event":"process_end","exit_code":0' in output


def test_missing_variable_of_the_settings_is_named() -> None:
    with _run_program(pathlib.Path()) as process:
        _, errors = process.communicate(timeout=END_TIMEOUT_SECONDS)
    assert process.returncode == 2
    (line,) = errors.splitlines()
    assert b"BALSAMRAMP_BOOT" in line


def test_blocked_and_ignored_signals_are_heard(
    tmp_path: pathlib.Path,
) -> None:
    def block() -> None:
        numbers = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
        for number in numbers:
            signal.signal(number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_BLOCK, numbers)

    asyncio.run(_start_and_stop(_Fleet(tmp_path, block)))


@pytest.mark.parametrize("module", ["balsamramp_node", "uvloop"])
def test_stop_signal_during_the_imports_ends_with_a_line(
    tmp_path: pathlib.Path, module: str
) -> None:
    program = STOP_AT_IMPORT.format(module=module)
    (tmp_path / "sitecustomize.py").write_text(program)
    settings = tmp_path / "node.ini"
    _write_settings(settings)
    with _run_program(settings, tmp_path) as process:
        _, errors = process.communicate(timeout=END_TIMEOUT_SECONDS)
    assert process.returncode == 0
    assert b"stop signal" in errors


def test_repeated_stop_signals_cut_no_stop_short(
    tmp_path: pathlib.Path,
) -> None:
    settings = tmp_path / "node.ini"
    _write_settings(settings)
    with _run_program(settings) as process:
        assert process.stdout is not None
        assert b'"event":"process_start"' in process.stdout.readline()
        while process.poll() is None:
            process.terminate()
            time.sleep(0.001)
        output = process.stdout.read()
    assert process.returncode == 0
    assert b'"event":"process_end","exit_code":0' in output


def test_libraries_of_another_kind_are_named_in_one_line(
    tmp_path: pathlib.Path,
) -> None:
    (tmp_path / "msgspec").mkdir()
    (tmp_path / "msgspec" / "__init__.py").write_text("from . import _core\n")
    (tmp_path / "balsamramp-build.json").write_text(
        '{"python": "cpython-39", "machine": "mips", "requirements": "f00"}'
    )
    with _run_program(tmp_path / "node.ini", tmp_path) as process:
        _, errors = process.communicate(timeout=END_TIMEOUT_SECONDS)
    assert process.returncode == 5
    (line,) = errors.decode().splitlines()
    for word in ("_core", sys.implementation.cache_tag, "cpython-39", "mips"):
        assert word in line
