"""A node whose port is taken waits for it, and neither ends nor acts.

A port may be held by a predecessor that drains or is paused, or by another
program. A process that ended would be started again by its supervisor and
find the same; one that had joined the fleet would be sent calls in vain.
"""

import asyncio
from collections import abc
import pathlib
import signal
import socket
import typing

import aiohttp
import fake_target
import pytest
import sidecar_fleet

ESSENTIAL_PORTS = ("ready", "callers", "control", "stream")
OPTION_BY_PORT = {
    "callers": "callers",
    "control": "announcements",
    "stream": "stream_port",
}
# The interpreter and the imports take a second or two beside other tests.
START_SECONDS = 20.0
# Time in which a start that does not wait would have ended or acted.
WATCH_SECONDS = 1.0
# Time in which a signal arrives.
SIGNAL_SECONDS = 0.1
# Over the time after which the peers of a silent node declare it dead.
PAUSE_SECONDS = 5.0
ROW = "members/z-a/one"

Scenario = abc.Callable[[sidecar_fleet.SidecarFleet], abc.Awaitable[None]]


def _run(folder: pathlib.Path, scenario: Scenario) -> None:
    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(folder) as fleet:
            fleet.store.put("op", "config", sidecar_fleet.configuration(3))
            await scenario(fleet)

    asyncio.run(main())


def _is_registered(fleet: sidecar_fleet.SidecarFleet) -> bool:
    return any(ROW in "/".join(key) for key in fleet.store.rows)


async def _start(
    fleet: sidecar_fleet.SidecarFleet,
    name: str,
    ports: dict[str, int],
) -> sidecar_fleet.SidecarProcess:
    target = fake_target.FakeTarget(f"i-{name}", "caja")
    await target.start()
    return await fleet.start_beside(
        target, name, "z-a", ports, fleet.store.port, ports["stream"]
    )


async def _probe(node: sidecar_fleet.SidecarProcess) -> tuple[int, str]:
    """Return status and text of the readiness call, 0 if it has none."""
    url = f"http://{node.address('ready')}/v1/readiness"
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            return response.status, await response.text()
    except aiohttp.ClientError as error:
        return 0, repr(error)


async def _until(
    node: sidecar_fleet.SidecarProcess,
    condition: abc.Callable[[], abc.Awaitable[bool]],
) -> None:
    """Wait until ``condition`` holds; fail if the process ends before."""
    async with asyncio.timeout(START_SECONDS):
        while not await condition():
            assert node.process.returncode is None, node.log()
            await asyncio.sleep(0.05)


async def _until_ready(node: sidecar_fleet.SidecarProcess) -> None:
    async def ready() -> bool:
        return (await _probe(node))[0] == 200

    await _until(node, ready)


async def _until_waiting(
    node: sidecar_fleet.SidecarProcess, times: int = 1
) -> None:
    async def logged() -> bool:
        return node.log().count('"event":"port_wait"') >= times

    await _until(node, logged)


def _hold(port: int) -> socket.socket:
    return socket.create_server(("127.0.0.1", port))


async def _refuses(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionRefusedError:
        return True
    writer.close()
    return False


@pytest.mark.parametrize("taken", ESSENTIAL_PORTS)
def test_start_waits_for_a_port_that_is_taken(
    tmp_path: pathlib.Path, taken: str
) -> None:
    async def main(fleet: sidecar_fleet.SidecarFleet) -> None:
        ports = sidecar_fleet.free_ports()
        with _hold(ports[taken]):
            node = await _start(fleet, "one", ports)
            await _until_waiting(node)
            await asyncio.sleep(WATCH_SECONDS)
            assert node.process.returncode is None
            assert not _is_registered(fleet)
            for other in set(ESSENTIAL_PORTS) - {taken, "ready"}:
                assert await _refuses(ports[other])
            if taken != "ready":
                assert await _probe(node) == (
                    503,
                    f"waiting for {OPTION_BY_PORT[taken]} at"
                    f" 127.0.0.1:{ports[taken]}: Address already in use",
                )
        await _until_ready(node)
        assert _is_registered(fleet)
        sidecar_fleet.terminate(node)
        assert await node.process.wait() == 0

    _run(tmp_path, main)


def test_stop_signal_ends_a_start_that_waits_for_a_port(
    tmp_path: pathlib.Path,
) -> None:
    async def main(fleet: sidecar_fleet.SidecarFleet) -> None:
        ports = sidecar_fleet.free_ports()
        with _hold(ports["callers"]):
            node = await _start(fleet, "one", ports)
            await _until_waiting(node)
            sidecar_fleet.terminate(node)
            async with asyncio.timeout(sidecar_fleet.GRACE_SECONDS):
                assert await node.process.wait() == 0
            assert not _is_registered(fleet)

    _run(tmp_path, main)


def test_node_without_its_metrics_port_serves_and_takes_it_later(
    tmp_path: pathlib.Path,
) -> None:
    async def main(fleet: sidecar_fleet.SidecarFleet) -> None:
        ports = sidecar_fleet.free_ports()
        with _hold(ports["metrics"]):
            node = await _start(fleet, "one", ports)
            await _until_ready(node)
            await _until_waiting(node)

        async def has_metrics() -> bool:
            return not await _refuses(ports["metrics"])

        await _until(node, has_metrics)

    _run(tmp_path, main)


def test_nodes_on_one_address_serve_without_a_metrics_port_in_settings(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    line = "metrics_port = {metrics}\n"
    assert line in sidecar_fleet.SETTINGS
    monkeypatch.setattr(
        sidecar_fleet,
        "SETTINGS",
        sidecar_fleet.SETTINGS.replace(line, ""),
    )

    async def main(fleet: sidecar_fleet.SidecarFleet) -> None:
        nodes = [
            await _start(fleet, name, sidecar_fleet.free_ports())
            for name in ("one", "two", "three")
        ]
        for node in nodes:
            await _until_ready(node)
        await asyncio.sleep(WATCH_SECONDS)
        assert [node.process.returncode for node in nodes] == [None] * 3

    _run(tmp_path, main)


async def _restart_beside(
    fleet: sidecar_fleet.SidecarFleet,
    node: sidecar_fleet.SidecarProcess,
    number: signal.Signals,
) -> typing.Any:
    """Send a signal, and start a successor while the process lives."""
    predecessor = node.process
    predecessor.send_signal(number)
    await fleet.restart(node)
    return predecessor


def test_successor_waits_until_its_predecessor_has_stopped(
    tmp_path: pathlib.Path,
) -> None:
    async def main(fleet: sidecar_fleet.SidecarFleet) -> None:
        node = await _start(fleet, "one", sidecar_fleet.free_ports())
        await _until_ready(node)
        predecessor = await _restart_beside(fleet, node, signal.SIGTERM)
        assert await predecessor.wait() == 0
        await _until_ready(node)
        assert _is_registered(fleet)

    _run(tmp_path, main)


def test_successor_waits_while_its_predecessor_is_paused(
    tmp_path: pathlib.Path,
) -> None:
    async def main(fleet: sidecar_fleet.SidecarFleet) -> None:
        node = await _start(fleet, "one", sidecar_fleet.free_ports())
        await _until_ready(node)
        predecessor = await _restart_beside(fleet, node, signal.SIGSTOP)
        try:
            await _until_waiting(node)
            await asyncio.sleep(WATCH_SECONDS)
            assert node.process.returncode is None
        finally:
            predecessor.send_signal(signal.SIGCONT)
        predecessor.terminate()
        assert await predecessor.wait() == 0
        await _until_ready(node)
        assert _is_registered(fleet)

    _run(tmp_path, main)


def test_stop_says_503_until_it_releases_the_readiness_port_as_the_last(
    tmp_path: pathlib.Path,
) -> None:
    async def main(fleet: sidecar_fleet.SidecarFleet) -> None:
        node = await _start(fleet, "one", sidecar_fleet.free_ports())
        await _until_ready(node)
        sidecar_fleet.terminate(node)
        await asyncio.sleep(SIGNAL_SECONDS)
        answers = 0
        while (await _probe(node))[0]:
            assert (await _probe(node))[0] in (503, 0)
            answers += 1
        assert answers > 1
        for port in ("callers", "control", "stream", "metrics"):
            assert await _refuses(node.ports[port]), port
        assert await node.process.wait() == 0

    _run(tmp_path, main)


def test_late_stop_of_a_paused_predecessor_leaves_its_successor_in_the_fleet(
    tmp_path: pathlib.Path,
) -> None:
    async def main(fleet: sidecar_fleet.SidecarFleet) -> None:
        peer = await _start(fleet, "peer", sidecar_fleet.free_ports())
        first = await _start(fleet, "one", sidecar_fleet.free_ports())
        await _until_ready(peer)
        await _until_ready(first)
        first.process.send_signal(signal.SIGSTOP)
        try:
            second = await _start(fleet, "one", sidecar_fleet.free_ports())
            await _until_ready(second)
            await asyncio.sleep(PAUSE_SECONDS)
        finally:
            first.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(WATCH_SECONDS)
        assert first.process.returncode is None
        assert second.process.returncode is None
        first.process.terminate()
        assert await first.process.wait() == 0
        await asyncio.sleep(WATCH_SECONDS)
        assert _is_registered(fleet)
        assert second.process.returncode is None
        second.target.runs.clear()

        async def is_called_by_its_peer() -> bool:
            await _send_request(peer)
            return bool(second.target.runs)

        await _until(second, is_called_by_its_peer)

    _run(tmp_path, main)


async def _send_request(node: sidecar_fleet.SidecarProcess) -> None:
    url = f"http://{node.address('callers')}/read/1"
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers={"host": "caja.example"}) as response,
    ):
        await response.read()
