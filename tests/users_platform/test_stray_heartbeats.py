"""Heartbeats of another writer at the address of a target.

They are well-formed, with identifiers of their own, and name a service that
no configuration names, one that a later configuration names, or that of other
targets. Guards against a target that is shut out by them, for good or while
they last: neither the order in which the heartbeats come nor a restart of the
node or of its target may matter.
"""

import asyncio
import contextlib
import pathlib
import time
import typing

import aiohttp
import fake_target
import pytest
import sidecar_fleet

HEADER_PREFIX = "X-Balsamramp-"
INTERVAL_SECONDS = 0.2
# Time after which requests are to be served again, by the users' bounds.
SERVED_WITHIN_SECONDS = 15.0
UNNAMED = "legado"
NAMED_LATER = "nuevo"
OTHER = "catalogo"


async def _call(sidecar: sidecar_fleet.SidecarProcess) -> int:
    headers = {
        "Host": "caja.example",
        HEADER_PREFIX + "Request-Id": "r",
        HEADER_PREFIX + "Request-Timeout-Ms": "900",
    }
    url = f"http://{sidecar.address('callers')}/read/1"
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers=headers) as answer,
    ):
        await answer.read()
        return answer.status


async def _wait_until_served(sidecar: sidecar_fleet.SidecarProcess) -> None:
    """Fail if not three calls in a row are served in time."""
    served = 0
    async with asyncio.timeout(SERVED_WITHIN_SECONDS):
        while served < 3:
            status = 0
            with contextlib.suppress(aiohttp.ClientError):
                status = await _call(sidecar)
            served = served + 1 if status == 200 else 0
            await asyncio.sleep(0.05)


class _StrayWriter:
    """Announces what is not there, again and again."""

    def __init__(
        self, name: str, service: str, sidecar: sidecar_fleet.SidecarProcess
    ) -> None:
        self._sidecar = sidecar
        self._announced = fake_target.FakeTarget(name, service)
        self._announced.port = sidecar.target.port
        self.statuses: list[int] = []

    async def run(self, reborn: bool) -> None:
        """Send heartbeats, each of a new start if ``reborn``."""
        control = f"127.0.0.1:{self._sidecar.ports['control']}"
        while True:
            if reborn:
                self._announced.born = int(time.time() * 1000) + 60_000
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with asyncio.timeout(1.0):
                    self.statuses.append(
                        await self._announced.send_heartbeat(control)
                    )
            await asyncio.sleep(INTERVAL_SECONDS)


async def _have_written(writers: list[_StrayWriter]) -> bool:
    return all(writer.statuses for writer in writers)


def _configuration(
    version: int, has_health_path: bool, *services: str
) -> dict[str, typing.Any]:
    document = sidecar_fleet.configuration(version)
    kept = document["services"]["caja"]
    if not has_health_path:
        del kept["healthPath"]
    for service in services:
        document["services"][service] = kept
    return document


async def _start_node(
    fleet: sidecar_fleet.SidecarFleet,
) -> sidecar_fleet.SidecarProcess:
    """Start a node whose target does not announce itself yet."""
    target = fake_target.FakeTarget("i-a", "caja")
    await target.start()
    ports = sidecar_fleet.free_ports()
    sidecar = await fleet.start_beside(
        target, "a", "z-a", ports, fleet.store.port, ports["stream"]
    )
    sidecar.heartbeat_task.cancel()
    return sidecar


def _announce(sidecar: sidecar_fleet.SidecarProcess) -> None:
    """Start the heartbeats of the target."""
    sidecar.heartbeat_task = asyncio.create_task(
        sidecar_fleet.send_heartbeats(sidecar.target, sidecar.ports["control"])
    )


async def _restart_node(sidecar: sidecar_fleet.SidecarProcess) -> None:
    sidecar.process.kill()
    await sidecar.process.wait()


async def _restart_target(sidecar: sidecar_fleet.SidecarProcess) -> None:
    """Start the target again under its identifier."""
    sidecar.heartbeat_task.cancel()
    await sidecar.target.stop()
    sidecar.target.born = int(time.time() * 1000)
    sidecar.target.sequence = 0
    await sidecar.target.start(sidecar.target.port)
    _announce(sidecar)


@pytest.mark.parametrize(
    ("services", "has_health_path", "reborn"),
    [
        ((UNNAMED,), True, False),
        ((UNNAMED, NAMED_LATER, OTHER), True, False),
        ((UNNAMED, NAMED_LATER, OTHER), True, True),
        ((UNNAMED, NAMED_LATER), False, True),
    ],
)
@pytest.mark.parametrize("moment", ["before", "after"])
def test_target_is_used_beside_heartbeats_of_another_writer(
    tmp_path: pathlib.Path,
    moment: str,
    services: tuple[str, ...],
    has_health_path: bool,
    reborn: bool,
) -> None:
    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path, 1) as fleet:
            fleet.store.put("op", "config", _configuration(3, has_health_path))
            for service in services:
                row = {"service": service, "address": "127.0.0.1:1"}
                fleet.store.put("servers", f"stray-{service}", row)
            sidecar = await _start_node(fleet)
            writers = [
                _StrayWriter(f"stray-{service}", service, sidecar)
                for service in services
            ]
            await fleet.wait_until_ready()
            if moment == "after":
                _announce(sidecar)
                await _wait_until_served(sidecar)
            writing = [
                asyncio.create_task(writer.run(reborn)) for writer in writers
            ]
            await fleet.wait_until(lambda: _have_written(writers))
            if moment == "before":
                _announce(sidecar)
            await _wait_until_served(sidecar)
            fleet.store.put(
                "op",
                "config",
                _configuration(4, has_health_path, NAMED_LATER),
            )
            await asyncio.sleep(1.0)
            await _wait_until_served(sidecar)
            await _restart_node(sidecar)
            await fleet.restart(sidecar)
            await fleet.wait_until_ready()
            await _wait_until_served(sidecar)
            await _restart_target(sidecar)
            await _wait_until_served(sidecar)
            await _restart_node(sidecar)
            await _restart_target(sidecar)
            await fleet.restart(sidecar)
            await fleet.wait_until_ready()
            await _wait_until_served(sidecar)
            for task in writing:
                task.cancel()
            assert {200} >= set().union(*(item.statuses for item in writers))

    asyncio.run(main())


@pytest.mark.parametrize("states_start", [False, True])
def test_deregistration_that_is_handled_late_spares_the_next_start(
    tmp_path: pathlib.Path, states_start: bool
) -> None:
    """Guards against a start that is shut out by the end of the one before.

    The node is paused while its target leaves and starts again under its
    identifier, so that it handles the deregistration after the new start.
    """

    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path, 1) as fleet:
            fleet.store.put("op", "config", _configuration(3, True))
            sidecar = await _start_node(fleet)
            await fleet.wait_until_ready()
            _announce(sidecar)
            await _wait_until_served(sidecar)
            sidecar.heartbeat_task.cancel()
            before = sidecar.target.born
            control = f"127.0.0.1:{sidecar.ports['control']}"
            await _restart_target(sidecar)
            sidecar.heartbeat_task.cancel()
            await asyncio.sleep(0.01)
            document = {"born": before} if states_start else {}
            await sidecar.target.post(control, "deregister", document)
            _announce(sidecar)
            await _wait_until_served(sidecar)

    asyncio.run(main())
