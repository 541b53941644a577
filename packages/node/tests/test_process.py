"""A node as a process: log lines, ports in use, and how it stops."""

import asyncio
import pathlib
import signal
import socket

import aiohttp
import pytest

from balsamramp_node.process import cmdline
from balsamramp_testing import fleet as fleet_module

SLOW = {"delay": "PT1S"}
CALLS = 30
CHANGE = {
    "author": "test",
    "puts": [
        {"kind": "service", "name": "caja"},
        {"kind": "route", "name": "caja-all", "service": "caja"},
    ],
}
SETTINGS = """\
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
PORTS = {
    "admin_port": "admin",
    "call_port": "ingress",
    "control_port": "transport",
    "metrics_port": "metrics",
    "stream_port": "stream-server",
}
HEADERS = {"balsamramp-service": "caja"}


async def _call(fleet: fleet_module.Fleet, node: fleet_module.Process) -> int:
    async with fleet.session.get(
        node.url("call"), headers=HEADERS
    ) as response:
        await response.read()
        assert len(response.headers.getall("server", [])) <= 1
        return response.status


async def _until_answered(
    fleet: fleet_module.Fleet, node: fleet_module.Process
) -> None:
    for _ in range(400):
        if await _call(fleet, node) == 200:
            return
        await asyncio.sleep(0.02)
    raise AssertionError("no call was answered")


async def _wait(process: fleet_module.Process) -> int:
    return await asyncio.to_thread(process.popen.wait, 20)


async def _stop_nodes(directory: pathlib.Path) -> None:
    async with fleet_module.Fleet(directory) as fleet:
        await fleet.start_platform()
        node = await fleet.start_node("n0", "zone-a")
        other = await fleet.start_node("n1", "zone-a")
        target = await fleet.start_target("caja-0", "caja", "v1", node)
        await fleet.submit(node, CHANGE)
        await _until_answered(fleet, node)
        await _until_answered(fleet, other)
        for _ in range(CALLS):
            assert await _call(fleet, other) == 200
        await _check_log(fleet, directory, node)
        async with fleet.session.put(
            f"{target.url('http')}/_behaviour", json=SLOW
        ) as response:
            assert response.status == 200
        await _stop_with_calls_in_flight(fleet, node, other)


async def _check_log(
    fleet: fleet_module.Fleet,
    directory: pathlib.Path,
    node: fleet_module.Process,
) -> None:
    lines = (directory / "n0.log").read_text("utf-8").splitlines()
    assert any("] n0 zone-a: in service" in line for line in lines)
    assert any("] n0 zone-a: target caja-0 announced" in li for li in lines)
    assert len(lines) < CALLS
    url = f"{node.url('metrics')}/metrics"
    async with fleet.session.get(url) as response:
        text = await response.text()
    assert 'balsamramp_target_calls_total{outcome="answered"}' in text
    dumped = await fleet.view(node, "dump")
    assert dumped["configuration"]["version"] == 1


async def _stop_with_calls_in_flight(
    fleet: fleet_module.Fleet,
    node: fleet_module.Process,
    other: fleet_module.Process,
) -> None:
    calls = [
        asyncio.create_task(_call(fleet, entry)) for entry in (node, other)
    ]
    await _until_in_flight(fleet, len(calls))
    node.send_signal(signal.SIGTERM)
    assert await asyncio.gather(*calls) == [200, 200]
    assert await _wait(node) == cmdline.EXIT_OK


async def _until_in_flight(fleet: fleet_module.Fleet, count: int) -> None:
    url = f"{fleet.targets['caja-0'].url('http')}/load"
    for _ in range(200):
        async with fleet.session.get(url) as response:
            if (await response.json())["in_flight"] == count:
                return
        await asyncio.sleep(0.005)
    raise AssertionError("the calls did not arrive")


async def _end_by_second_signal(directory: pathlib.Path) -> None:
    async with fleet_module.Fleet(directory) as fleet:
        await fleet.start_platform()
        node = await fleet.start_node("n0", "zone-a")
        target = await fleet.start_target("caja-0", "caja", "v1", node)
        await fleet.submit(node, CHANGE)
        await _until_answered(fleet, node)
        async with fleet.session.put(
            f"{target.url('http')}/_behaviour", json={"delay": "PT8S"}
        ) as response:
            assert response.status == 200
        call = asyncio.create_task(_call(fleet, node))
        await _until_in_flight(fleet, 1)
        node.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert node.popen.poll() is None
        node.send_signal(signal.SIGTERM)
        assert await _wait(node) == cmdline.EXIT_FORCED
        ended = await asyncio.gather(call, return_exceptions=True)
        assert isinstance(ended[0], aiohttp.ClientError)


def test_node_logs_state_changes_alone_and_drains(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_stop_nodes(tmp_path))


def test_second_signal_ends_at_once(tmp_path: pathlib.Path) -> None:
    asyncio.run(_end_by_second_signal(tmp_path))


def test_port_in_use_ends_the_start_with_its_address(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        for option, name in PORTS.items():
            path = tmp_path / "node.ini"
            path.write_text(
                SETTINGS.format(option=option, port=port), encoding="utf-8"
            )
            assert cmdline.main([str(path)]) == cmdline.EXIT_START
            printed = capsys.readouterr().err
            assert f"balsamrampd: cannot start: {name}: " in printed
            assert "127.0.0.1" in printed
            assert str(port) in printed
