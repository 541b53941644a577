"""Routes that were added are served while the nodes that read are slow.

Guards against 404 for a route that was acknowledged long before: what a slow
reader told the others counted from its arrival.
"""

import asyncio
import contextlib
import pathlib
import signal
import typing

import aiohttp
import loopback_proxy
import pytest
import sidecar_fleet
import yarl

HEADER_PREFIX = "X-Balsamramp-"
# Bound of the users for a change to be in force, from its acknowledgement.
APPLY_SECONDS = 2.0
CHANGE_SECONDS = 0.57
CHANGES = 14
NODES = 5
ASK_SECONDS = 0.05
PAUSES = 3
PAUSE_SECONDS = 3.0


class _Routes:
    """Adds routes one by one, and asks nodes for those that they lack."""

    def __init__(self, fleet: sidecar_fleet.SidecarFleet) -> None:
        self._fleet = fleet
        self._added = [asyncio.Event() for _ in range(CHANGES)]
        self._added_at: list[float] = []
        # Of the latest request that was refused with 404, since the ack.
        self.latest_404 = 0.0
        self.served = 0

    async def play(self, asked: list[sidecar_fleet.SidecarProcess]) -> None:
        loop = asyncio.get_running_loop()
        tasks = [asyncio.create_task(self._ask(item)) for item in asked]
        document = sidecar_fleet.configuration(3)
        for number in range(CHANGES):
            _add_route(self._fleet, document, number)
            self._added_at.append(loop.time())
            self._added[number].set()
            await asyncio.sleep(CHANGE_SECONDS)
        await asyncio.gather(*tasks)

    async def _ask(self, sidecar: sidecar_fleet.SidecarProcess) -> None:
        loop = asyncio.get_running_loop()
        async with aiohttp.ClientSession() as session:
            for number in range(CHANGES):
                await self._added[number].wait()
                while True:
                    sent_at = loop.time()
                    status = await _request(session, sidecar, number)
                    if status == 404:
                        elapsed = sent_at - self._added_at[number]
                        self.latest_404 = max(self.latest_404, elapsed)
                    if status == 200:
                        break
                    await asyncio.sleep(ASK_SECONDS)
                self.served += 1


def _add_route(
    fleet: sidecar_fleet.SidecarFleet,
    document: dict[str, typing.Any],
    number: int,
) -> None:
    route = {**document["routes"]["read"], "prefix": f"/r{number}/"}
    document["version"] += 1
    document["routes"][f"r{number}"] = route
    fleet.store.put("op", "config", document)


async def _request(
    session: aiohttp.ClientSession,
    sidecar: sidecar_fleet.SidecarProcess,
    number: int,
) -> int:
    url = yarl.URL(f"http://{sidecar.address('callers')}/r{number}/1")
    headers = {
        "Host": "caja.example",
        HEADER_PREFIX + "Request-Id": f"{id(session)}-{number}",
        HEADER_PREFIX + "Request-Timeout-Ms": "2900",
    }
    with contextlib.suppress(aiohttp.ClientError):
        async with session.get(url, headers=headers) as answer:
            await answer.read()
            return answer.status
    return 0


@pytest.mark.parametrize("slow", [1, 2])
def test_added_route_is_not_refused_while_readers_are_slow(
    tmp_path: pathlib.Path, slow: int
) -> None:
    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path) as fleet:
            fleet.store.put("op", "config", sidecar_fleet.configuration(3))
            proxies = []
            for number in range(NODES):
                port = fleet.store.port
                if number < slow:
                    proxy = loopback_proxy.LoopbackProxy(port)
                    await proxy.start()
                    proxies.append(proxy)
                    port = proxy.port
                await _start(fleet, f"n{number}", port)
            await fleet.wait_until_ready()
            await asyncio.sleep(3)
            for proxy in proxies:
                # Both ways, so a read takes a second.
                proxy.delay = 0.5
            routes = _Routes(fleet)
            async with asyncio.timeout(60):
                await routes.play(fleet.sidecars[slow:])
            for proxy in proxies:
                await proxy.stop()
            assert routes.served == CHANGES * (NODES - slow)
            assert routes.latest_404 < APPLY_SECONDS

    asyncio.run(main())


async def _start(
    fleet: sidecar_fleet.SidecarFleet, name: str, store_port: int
) -> None:
    target = sidecar_fleet.fake_target.FakeTarget(f"i-{name}", "caja")
    await target.start()
    ports = sidecar_fleet.free_ports()
    await fleet.start_beside(
        target, name, "z-a", ports, store_port, ports["stream"]
    )


def test_added_route_is_not_refused_by_messages_that_waited(
    tmp_path: pathlib.Path,
) -> None:
    """A node that stood still reads what it had been told before."""

    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path) as fleet:
            document = sidecar_fleet.configuration(3)
            fleet.store.put("op", "config", document)
            for number in range(3):
                await _start(fleet, f"n{number}", fleet.store.port)
            await fleet.wait_until_ready()
            await asyncio.sleep(3)
            stopped = fleet.sidecars[-1]
            statuses = []
            async with aiohttp.ClientSession() as session:
                for number in range(PAUSES):
                    stopped.process.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(PAUSE_SECONDS - APPLY_SECONDS)
                    _add_route(fleet, document, number)
                    await asyncio.sleep(APPLY_SECONDS)
                    asked = asyncio.create_task(
                        _request(session, stopped, number)
                    )
                    await asyncio.sleep(0.05)
                    stopped.process.send_signal(signal.SIGCONT)
                    statuses.append(await asked)
                    await asyncio.sleep(3)
            assert 404 not in statuses

    asyncio.run(main())
