"""Requests that run or wait while the configuration drops what they use.

A request keeps the route with which it was resolved, and its connection is
not closed by limits that shrink while it is in progress.
"""

import asyncio
import pathlib
import typing

import aiohttp
import pytest
import sidecar_fleet
import yarl

HEADER_PREFIX = "X-Balsamramp-"
SLOTS = 2
REQUESTS = 6
RUN_SECONDS = 0.5
LIMITS_SHRUNK = {
    "maxHeaderBytes": 512,
    "maxBodyBytes": 16,
    "headerTimeoutMs": 100,
    "idleTimeoutMs": 200,
}


def _without_routes(version: int) -> dict[str, typing.Any]:
    document = sidecar_fleet.configuration(version)
    del document["routes"]["pay"]
    del document["routes"]["read"]
    del document["services"]["caja"]
    document["routes"]["other"] = {
        **sidecar_fleet.configuration(version)["routes"]["read"],
        "prefix": "/other/",
        "service": "catalogo",
    }
    return document


def _with_other_service(version: int) -> dict[str, typing.Any]:
    document = sidecar_fleet.configuration(version)
    for route in document["routes"].values():
        route.update(service="catalogo", timeoutMs=50, maxAttempts=1)
    return document


def _with_limits_shrunk(version: int) -> dict[str, typing.Any]:
    return {**sidecar_fleet.configuration(version), "limits": LIMITS_SHRUNK}


async def _request(
    session: aiohttp.ClientSession,
    sidecar: sidecar_fleet.SidecarProcess,
    request_id: str,
    prefix: str,
) -> int:
    url = yarl.URL(f"http://{sidecar.address('callers')}{prefix}1")
    headers = {
        "Host": "caja.example",
        HEADER_PREFIX + "Request-Id": request_id,
        HEADER_PREFIX + "Request-Timeout-Ms": "2900",
    }
    async with session.post(url, data=b"body", headers=headers) as answer:
        await answer.read()
        return answer.status


@pytest.mark.parametrize("prefix", ["/pay/", "/read/"])
@pytest.mark.parametrize(
    "change", [_without_routes, _with_other_service, _with_limits_shrunk]
)
def test_a_change_cuts_no_request_that_runs_or_waits(
    tmp_path: pathlib.Path,
    change: typing.Callable[[int], dict[str, typing.Any]],
    prefix: str,
) -> None:
    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path) as fleet:
            fleet.store.put("op", "config", sidecar_fleet.configuration(3))
            sidecar = await fleet.start("one")
            await fleet.wait_until_ready()
            async with aiohttp.ClientSession() as session:

                async def serves() -> bool:
                    status = await _request(session, sidecar, "p", prefix)
                    return status == 200

                await fleet.wait_until(serves)
                sidecar.target.slots = SLOTS
                await sidecar.target.send_heartbeat(sidecar.address("control"))
                sidecar.target.delay = RUN_SECONDS
                pending = [
                    asyncio.create_task(
                        _request(session, sidecar, f"r{number}", prefix)
                    )
                    for number in range(REQUESTS)
                ]
                await asyncio.sleep(RUN_SECONDS / 3)
                fleet.store.put("op", "config", change(4))
                statuses = await asyncio.gather(*pending)
            assert statuses == [200] * REQUESTS
            assert '"label":"4"' in sidecar.log()
            runs = [name for name in sidecar.target.runs if name != "p"]
            assert sorted(runs) == [f"r{number}" for number in range(REQUESTS)]

    asyncio.run(main())
