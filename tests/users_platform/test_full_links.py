"""A node whose link is full of its target's responses.

The responses of one target exceed the rate of its VM's link, while the
configuration of 800 routes changes every 0.57 s.
"""

import asyncio
import collections
import functools
import itertools
import pathlib
import typing

import aiohttp
import fake_target
import loopback_proxy
import narrow_link
import sidecar_fleet

HEADER_PREFIX = "X-Balsamramp-"
LINK_BYTES_PER_SECOND = 625_000
# What one connection has on its way when the link is slow.
CHUNK_BYTES = 256 * 1024
IDLE_ROUTES = 800
BODY_BYTES = 90_000
CALLING_NODES = 5
DOWNLOADS_PER_SECOND = 10
# Time in which the responses fill the link before the first change.
FILL_SECONDS = 3.0
VERSIONS = 12
DOWNLOAD_SECONDS = 8
# Of all downloads, those that a target ran for nothing.
LOST_SHARE_MAX = 0.05
# Of the bytes that the link carries in the time, those of whole responses.
LINK_USE_MIN = 0.75
VERSION_INTERVAL_SECONDS = 0.57
# Time within which a change has to be in force.
APPLY_SECONDS = 2.5


def _configuration(version: int) -> dict[str, typing.Any]:
    document = sidecar_fleet.configuration(version)
    route = {**document["routes"]["read"], "service": "catalogo"}
    for number in range(IDLE_ROUTES):
        name = f"idle-{number}"
        document["routes"][name] = {**route, "prefix": f"/{name}/"}
    for number in range(3, version + 1):
        name = f"new-{number}"
        document["routes"][name] = {**route, "prefix": f"/{name}/"}
    return document


class _Fleet:
    """A node with a narrow link beside ``caja``, others beside ``catalogo``.

    All calls to ``caja`` cross the narrow link.
    """

    def __init__(self, fleet: sidecar_fleet.SidecarFleet) -> None:
        self.fleet = fleet
        self.narrow: sidecar_fleet.SidecarProcess
        self.callers: list[sidecar_fleet.SidecarProcess] = []
        self.statuses: collections.Counter[int] = collections.Counter()
        self._proxies: list[loopback_proxy.LoopbackProxy] = []

    async def start(self) -> None:
        self.fleet.store.put("op", "config", _configuration(3))
        egress = narrow_link.NarrowLink(LINK_BYTES_PER_SECOND)
        ingress = narrow_link.NarrowLink(LINK_BYTES_PER_SECOND)
        target = fake_target.FakeTarget("i-narrow", "caja")
        target.padding = b"x" * BODY_BYTES
        target.delay = 0.05
        await target.start()
        ports = sidecar_fleet.free_ports()
        there, back = loopback_proxy.Direction
        stream_port = await self._proxy(
            ports["stream"], {there: ingress, back: egress}
        )
        store_port = await self._proxy(
            self.fleet.store.port, {there: egress, back: ingress}
        )
        self.narrow = await self.fleet.start_beside(
            target,
            "narrow",
            "z-a",
            ports,
            store_port,
            stream_port,
            LINK_BYTES_PER_SECOND * 8 / 1e6,
        )
        for number in range(CALLING_NODES):
            target = fake_target.FakeTarget(f"i-n{number}", "catalogo")
            await target.start()
            ports = sidecar_fleet.free_ports()
            # What the narrow node sends to this one crosses its link, too.
            stream_port = await self._proxy(
                ports["stream"], {there: egress, back: ingress}
            )
            self.callers.append(
                await self.fleet.start_beside(
                    target,
                    f"n{number}",
                    "z-a",
                    ports,
                    self.fleet.store.port,
                    stream_port,
                )
            )
        await self.fleet.wait_until_ready()
        async with aiohttp.ClientSession() as session:
            for caller in self.callers:
                await self.fleet.wait_until(
                    functools.partial(_is_served, session, caller)
                )

    async def stop(self) -> None:
        for proxy in self._proxies:
            await proxy.stop()

    async def download(
        self, session: aiohttp.ClientSession, number: int
    ) -> None:
        caller = self.callers[number % CALLING_NODES]
        status = await request(session, caller, "/read/1", f"d{number}")
        self.statuses[status] += 1

    async def _proxy(
        self,
        port: int,
        links: dict[loopback_proxy.Direction, narrow_link.NarrowLink],
    ) -> int:
        proxy = loopback_proxy.LoopbackProxy(port, links, CHUNK_BYTES)
        await proxy.start()
        self._proxies.append(proxy)
        return proxy.port


async def _is_served(
    session: aiohttp.ClientSession, caller: sidecar_fleet.SidecarProcess
) -> bool:
    return await request(session, caller, "/read/1", "first") == 200


async def request(
    session: aiohttp.ClientSession,
    sidecar: sidecar_fleet.SidecarProcess,
    path: str,
    request_id: str,
) -> int:
    """Send one request and return the status of the whole response, or 0."""
    headers = {
        "Host": "caja.example",
        HEADER_PREFIX + "Request-Id": request_id,
        HEADER_PREFIX + "Request-Timeout-Ms": "3000",
    }
    url = f"http://{sidecar.address('callers')}{path}"
    try:
        async with session.get(url, headers=headers) as answer:
            await answer.read()
            return answer.status
    except aiohttp.ClientError:
        return 0


async def _download_periodically(
    setup: _Fleet, session: aiohttp.ClientSession
) -> None:
    async with asyncio.TaskGroup() as downloads:
        for number in itertools.count():
            downloads.create_task(setup.download(session, number))
            await asyncio.sleep(1 / DOWNLOADS_PER_SECOND)


async def _change_beside_downloads(setup: _Fleet) -> list[int]:
    """Return the versions that were not in force in time."""
    late: list[int] = []

    async def check(version: int) -> None:
        await asyncio.sleep(APPLY_SECONDS)
        path = f"/new-{version}/1"
        status = await request(session, setup.narrow, path, f"c{version}")
        if status == 404:
            late.append(version)

    async with aiohttp.ClientSession() as session:
        downloading = asyncio.create_task(
            _download_periodically(setup, session)
        )
        await asyncio.sleep(FILL_SECONDS)
        async with asyncio.TaskGroup() as checks:
            for version in range(4, 4 + VERSIONS):
                document = _configuration(version)
                setup.fleet.store.put("op", "config", document)
                checks.create_task(check(version))
                await asyncio.sleep(VERSION_INTERVAL_SECONDS)
        downloading.cancel()
        await asyncio.gather(downloading, return_exceptions=True)
    return late


def test_changes_are_in_force_in_time_beside_a_full_link(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path) as fleet:
            setup = _Fleet(fleet)
            await setup.start()
            try:
                late = await _change_beside_downloads(setup)
            finally:
                await setup.stop()
            assert setup.statuses[200]
            assert not late, f"{late}; downloads: {setup.statuses}"

    asyncio.run(main())


def test_responses_beyond_the_link_are_refused_before_they_run(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path) as fleet:
            setup = _Fleet(fleet)
            await setup.start()
            try:
                async with aiohttp.ClientSession() as session:
                    await _download(setup, session)
            finally:
                await setup.stop()
            statuses = setup.statuses
            lost = statuses.total() - statuses[200] - statuses[503]
            link_bytes = LINK_BYTES_PER_SECOND * DOWNLOAD_SECONDS
            assert lost <= statuses.total() * LOST_SHARE_MAX, statuses
            served_bytes = statuses[200] * BODY_BYTES
            assert served_bytes >= link_bytes * LINK_USE_MIN, statuses

    asyncio.run(main())


async def _download(setup: _Fleet, session: aiohttp.ClientSession) -> None:
    async with asyncio.TaskGroup() as downloads:
        for number in range(DOWNLOADS_PER_SECOND * DOWNLOAD_SECONDS):
            downloads.create_task(setup.download(session, number))
            await asyncio.sleep(1 / DOWNLOADS_PER_SECOND)
