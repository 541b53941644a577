"""Targets that fail for a moment get calls again once they are well.

While its node is away a target can make no calls and says that it fails. All
targets may do so at once when their nodes are started again.
"""

import asyncio
import pathlib
import signal
import typing

import aiohttp
import pytest
import sidecar_fleet

HEADER_PREFIX = "X-Balsamramp-"
UNHEALTHY_SECONDS = 1.0
RECOVERY_SECONDS = 6.0


async def _call(sidecar: sidecar_fleet.SidecarProcess, request: str) -> int:
    headers = {
        "Host": "caja.example",
        HEADER_PREFIX + "Request-Id": request,
        HEADER_PREFIX + "Request-Timeout-Ms": "900",
    }
    url = f"http://{sidecar.address('callers')}/read/{request}"
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers=headers) as answer,
    ):
        await answer.read()
        return answer.status


async def _wait_until_served(
    fleet: sidecar_fleet.SidecarFleet, seconds: float
) -> None:
    async def served() -> bool:
        for index, sidecar in enumerate(fleet.sidecars):
            try:
                if await _call(sidecar, f"wait-{index}") != 200:
                    return False
            except aiohttp.ClientError:
                return False
        return True

    async with asyncio.timeout(seconds):
        await fleet.wait_until(served)


async def _restart_all(fleet: sidecar_fleet.SidecarFleet) -> None:
    """End all nodes at once and start them again."""
    for sidecar in fleet.sidecars:
        sidecar.process.kill()
    for sidecar in fleet.sidecars:
        await sidecar.process.wait()
        await fleet.restart(sidecar)


async def _restart_in_turn(fleet: sidecar_fleet.SidecarFleet) -> None:
    """Ask one node after the other to end, and start it again."""
    for sidecar in fleet.sidecars:
        sidecar.process.send_signal(signal.SIGTERM)
        await sidecar.process.wait()
        await fleet.restart(sidecar)


@pytest.mark.parametrize("restart", [_restart_all, _restart_in_turn])
def test_targets_that_fail_while_their_nodes_are_away_are_used_again(
    tmp_path: pathlib.Path,
    restart: typing.Callable[
        [sidecar_fleet.SidecarFleet], typing.Awaitable[None]
    ],
) -> None:
    """Guards against targets drained for good by one failed health check."""

    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path, 1) as fleet:
            fleet.store.put("op", "config", sidecar_fleet.configuration(3))
            for number in range(3):
                await fleet.start(f"n{number}")
            await fleet.wait_until_ready()
            await _wait_until_served(fleet, RECOVERY_SECONDS)
            for sidecar in fleet.sidecars:
                sidecar.target.health_status = 503
            await restart(fleet)
            await fleet.wait_until_ready()
            await asyncio.sleep(UNHEALTHY_SECONDS)
            for sidecar in fleet.sidecars:
                sidecar.target.health_status = 200
            await _wait_until_served(fleet, RECOVERY_SECONDS)

    asyncio.run(main())
