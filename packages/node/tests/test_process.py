"""A node as a process: log lines, ports in use, draining and signals."""

import asyncio
from collections import abc
import contextlib
import errno
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing

import aiohttp
import pytest

from balsamramp_node.process import cmdline
from balsamramp_testing import fleet as fleet_module

SLOW_BEHAVIOUR = {"delay": "PT1S"}
CALL_COUNT = 30
CHANGE_BODY = {
    "author": "test",
    "puts": [
        {"kind": "service", "name": "caja"},
        {"kind": "route", "name": "caja-all", "service": "caja"},
    ],
}
SETTINGS_TEMPLATE = """\
[node]
id = n0
zone = zone-a
region = region-1
[listen]
host = 127.0.0.1
{option} = {port}
[platform]
url = http://127.0.0.1:1
"""
PORT_OPTIONS = (
    "admin_port",
    "call_port",
    "control_port",
    "metrics_port",
    "stream_port",
)
REFUSED_PORT = 80
START_TIMEOUT_SECONDS = 20.0
# Time in which a start that does not wait would have ended or served.
WATCH_SECONDS = 0.5
CALL_HEADERS = {"balsamramp-service": "caja"}


async def _send_call(
    fleet: fleet_module.Fleet, node: fleet_module.Process
) -> int:
    async with fleet.session.get(
        node.url("call"), headers=CALL_HEADERS
    ) as response:
        await response.read()
        assert len(response.headers.getall("server", [])) <= 1
        return response.status


async def _wait_until_served(
    fleet: fleet_module.Fleet, node: fleet_module.Process
) -> None:
    for _ in range(400):
        if await _send_call(fleet, node) == 200:
            return
        await asyncio.sleep(0.02)
    raise AssertionError("no call got status 200 within 400 attempts")


async def _wait_for_exit(process: fleet_module.Process) -> int:
    return await asyncio.to_thread(process.popen.wait, 20)


async def _log_and_drain(directory: pathlib.Path) -> None:
    async with fleet_module.Fleet(directory) as fleet:
        await fleet.start_platform()
        node = await fleet.start_node("n0", "zone-a")
        other_node = await fleet.start_node("n1", "zone-a")
        target = await fleet.start_target("caja-0", "caja", "v1", node)
        await fleet.submit(node, CHANGE_BODY)
        await _wait_until_served(fleet, node)
        await _wait_until_served(fleet, other_node)
        for _ in range(CALL_COUNT):
            assert await _send_call(fleet, other_node) == 200
        await _check_log(fleet, directory, node)
        async with fleet.session.put(
            f"{target.url('http')}/_behaviour", json=SLOW_BEHAVIOUR
        ) as response:
            assert response.status == 200
        await _stop_with_calls_in_flight(fleet, node, other_node)


async def _check_log(
    fleet: fleet_module.Fleet,
    directory: pathlib.Path,
    node: fleet_module.Process,
) -> None:
    lines = (directory / "n0.log").read_text("utf-8").splitlines()
    assert any("] n0 zone-a: in service" in line for line in lines)
    assert any(
        "] n0 zone-a: target caja-0 announced" in log_line
        for log_line in lines
    )
    assert len(lines) < CALL_COUNT
    url = f"{node.url('metrics')}/metrics"
    async with fleet.session.get(url) as response:
        text = await response.text()
    assert 'balsamramp_target_calls_total{outcome="answered"}' in text
    dump = await fleet.view(node, "dump")
    assert dump["configuration"]["version"] == 1


async def _stop_with_calls_in_flight(
    fleet: fleet_module.Fleet,
    node: fleet_module.Process,
    other_node: fleet_module.Process,
) -> None:
    calls = [
        asyncio.create_task(_send_call(fleet, ingress))
        for ingress in (node, other_node)
    ]
    await _wait_until_in_flight(fleet, len(calls))
    node.send_signal(signal.SIGTERM)
    assert await asyncio.gather(*calls) == [200, 200]
    assert await _wait_for_exit(node) == cmdline.EXIT_OK


async def _wait_until_in_flight(fleet: fleet_module.Fleet, count: int) -> None:
    url = f"{fleet.targets['caja-0'].url('http')}/load"
    for _ in range(200):
        async with fleet.session.get(url) as response:
            if (await response.json())["in_flight"] == count:
                return
        await asyncio.sleep(0.005)
    raise AssertionError(f"the target does not have {count} calls in flight")


async def _exit_on_second_signal(directory: pathlib.Path) -> None:
    async with fleet_module.Fleet(directory) as fleet:
        await fleet.start_platform()
        node = await fleet.start_node("n0", "zone-a")
        target = await fleet.start_target("caja-0", "caja", "v1", node)
        await fleet.submit(node, CHANGE_BODY)
        await _wait_until_served(fleet, node)
        async with fleet.session.put(
            f"{target.url('http')}/_behaviour", json={"delay": "PT8S"}
        ) as response:
            assert response.status == 200
        call = asyncio.create_task(_send_call(fleet, node))
        await _wait_until_in_flight(fleet, 1)
        node.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert node.popen.poll() is None
        node.send_signal(signal.SIGTERM)
        assert await _wait_for_exit(node) == cmdline.EXIT_FORCED
        outcome = await asyncio.gather(call, return_exceptions=True)
        assert isinstance(outcome[0], aiohttp.ClientError)


async def _request_reload(directory: pathlib.Path) -> None:
    async with fleet_module.Fleet(directory) as fleet:
        await fleet.start_platform()
        node = await fleet.start_node("n0", "zone-a")
        await fleet.start_target("caja-0", "caja", "v1", node)
        await fleet.submit(node, CHANGE_BODY)
        await _wait_until_served(fleet, node)
        call = asyncio.create_task(_send_call(fleet, node))
        for _ in range(CALL_COUNT):
            node.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.005)
        assert await call == 200
        assert await _send_call(fleet, node) == 200
        assert node.popen.poll() is None


def test_request_to_reload_does_not_end_the_process(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_request_reload(tmp_path))


def test_node_logs_only_state_changes_and_drains_on_stop(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_log_and_drain(tmp_path))


def test_second_signal_exits_immediately(tmp_path: pathlib.Path) -> None:
    asyncio.run(_exit_on_second_signal(tmp_path))


class _Starting:
    """A process of a node, one of whose ports is given."""

    def __init__(self, folder: pathlib.Path, option: str, port: int) -> None:
        path = folder / "node.ini"
        path.write_text(SETTINGS_TEMPLATE.format(option=option, port=port))
        self.log = folder / "node.log"
        self.addresses = folder / "addresses.json"
        command = [sys.executable, "-m", "balsamramp_node.process.cmdline"]
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                [*command, str(path), "--addresses", str(self.addresses)],
                stderr=log,
            )

    def wait_until(self, condition: abc.Callable[[], bool]) -> None:
        """Wait until ``condition`` holds; fail if the process ends first."""
        give_up_at = time.monotonic() + START_TIMEOUT_SECONDS
        while not condition():
            assert self.popen.poll() is None, self.log.read_text()
            assert time.monotonic() < give_up_at, self.log.read_text()
            time.sleep(0.02)

    def wait_until_port_is_awaited(self, option: str, port: int) -> None:
        """Wait for the log line that names the port and its address."""
        words = ("port_wait", option, f"127.0.0.1:{port}")

        def logged() -> bool:
            lines = self.log.read_text().splitlines()
            return any(all(word in line for word in words) for line in lines)

        self.wait_until(logged)


@contextlib.contextmanager
def _start_beside_holder(
    folder: pathlib.Path, option: str
) -> abc.Iterator[tuple[_Starting, socket.socket]]:
    """Start a node one of whose ports is held, and wait until it says so."""
    with socket.create_server(("127.0.0.1", 0)) as holder:
        port = holder.getsockname()[1]
        starting = _Starting(folder, option, port)
        try:
            starting.wait_until_port_is_awaited(option, port)
            time.sleep(WATCH_SECONDS)
            assert starting.popen.poll() is None
            assert not starting.addresses.exists()
            yield starting, holder
        finally:
            starting.popen.kill()
            starting.popen.wait()


@pytest.mark.parametrize("option", PORT_OPTIONS)
def test_port_in_use_is_awaited_and_its_address_named(
    tmp_path: pathlib.Path, option: str
) -> None:
    with _start_beside_holder(tmp_path, option) as (starting, holder):
        holder.close()
        starting.wait_until(starting.addresses.exists)
        starting.popen.terminate()
        assert starting.popen.wait(START_TIMEOUT_SECONDS) == cmdline.EXIT_OK


def test_signal_ends_a_start_that_waits_for_a_port(
    tmp_path: pathlib.Path,
) -> None:
    with _start_beside_holder(tmp_path, "call_port") as (starting, _):
        starting.popen.terminate()
        assert starting.popen.wait(START_TIMEOUT_SECONDS) == cmdline.EXIT_OK


def test_port_that_is_not_permitted_fails_the_start_and_is_named(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bind = socket.socket.bind

    def refuse(listener: socket.socket, address: typing.Any) -> None:
        if address == ("127.0.0.1", REFUSED_PORT):
            raise PermissionError(errno.EACCES, "Permission denied")
        bind(listener, address)

    monkeypatch.setattr(socket.socket, "bind", refuse)
    for option in PORT_OPTIONS:
        path = tmp_path / "node.ini"
        path.write_text(
            SETTINGS_TEMPLATE.format(option=option, port=REFUSED_PORT)
        )
        assert cmdline.main([str(path)]) == cmdline.EXIT_START
        printed = capsys.readouterr().err
        assert (
            f"balsamrampd: cannot start: ports: cannot listen for {option} at"
            f" 127.0.0.1:{REFUSED_PORT}: Permission denied"
        ) in printed
