"""Open connections that go silent for good, while new ones work.

No reset tells of it. A node that goes on with such a connection misses
changes of the configuration, and holds requests until their time is over.
"""

import asyncio
import contextlib
import itertools
import pathlib
import typing

import aiohttp
import attrs
import loopback_proxy
import pytest
import sidecar_fleet

HOST = "caja.example"
HEADER_PREFIX = "X-Balsamramp-"
ZONES = {"a": "z-a", "b": "z-a", "c": "z-a", "d": "z-b", "e": "z-b"}
# Bounds of the users: a node counts as undisturbed so long after its
# connections went silent, and has a change in force so long after its
# acknowledgement.
TOUCH_SECONDS = 3.0
APPLY_SECONDS = 2.0
REQUEST_TIMEOUT_MS = 1500
CALL_INTERVAL_SECONDS = 0.05
NOT_RUN = (408, 421, 429, 503)
THERE = loopback_proxy.Direction.THERE
BACK = loopback_proxy.Direction.BACK
WAYS = {"both ways": (THERE, BACK), "there": (THERE,), "back": (BACK,)}


@attrs.frozen
class _Sent:
    """One request and its outcome; the status is 0 without an answer."""

    request_id: str
    sent_at: float
    status: int


class _World:
    """A fleet whose nodes reach each other and the store by proxies."""

    def __init__(self, fleet: sidecar_fleet.SidecarFleet) -> None:
        self.fleet = fleet
        self.sent: list[_Sent] = []
        self._streams: list[loopback_proxy.LoopbackProxy] = []
        self._stores: list[loopback_proxy.LoopbackProxy] = []
        self._numbers = itertools.count()

    async def start(self) -> None:
        """Start the nodes, each behind two proxies."""
        self.fleet.store.put("op", "config", sidecar_fleet.configuration(3))
        for name, zone in ZONES.items():
            await self._start_node(name, zone)
        await self.fleet.wait_until_ready()
        await self.wait_for_route("/read/", 10.0)

    async def _start_node(self, name: str, zone: str) -> None:
        ports = sidecar_fleet.free_ports()
        stream = loopback_proxy.LoopbackProxy(ports["stream"])
        store = loopback_proxy.LoopbackProxy(self.fleet.store.port)
        free = sidecar_fleet.free_ports(("stream", "store"))
        await stream.start(free["stream"])
        await store.start(free["store"])
        self._streams.append(stream)
        self._stores.append(store)
        target = sidecar_fleet.fake_target.FakeTarget(f"i-{name}", "caja")
        await target.start()
        await self.fleet.start_beside(
            target, name, zone, ports, store.port, stream.port
        )

    async def stop(self) -> None:
        """End the proxies."""
        for proxy in (*self._streams, *self._stores):
            await proxy.stop()

    def silence(
        self, *ways: loopback_proxy.Direction, store: bool = False
    ) -> None:
        """Silence the open connections between nodes, or to the store too."""
        proxies = [*self._streams, *(self._stores if store else [])]
        assert sum(proxy.blackhole(*ways) for proxy in proxies) > 0

    def change(self, version: int, name: str) -> None:
        """Have the operators add a route."""
        route = sidecar_fleet.configuration(0)["routes"]["read"]
        document = sidecar_fleet.configuration(
            version, **{name: {**route, "prefix": f"/{name}/"}}
        )
        self.fleet.store.put("op", "config", document)

    async def wait_for_route(self, prefix: str, seconds: float) -> None:
        """Fail if a node answers 404 for a route after some time."""

        async def is_known() -> bool:
            statuses = await asyncio.gather(
                *(
                    self._send(sidecar, prefix, f"p{next(self._numbers)}")
                    for sidecar in self.fleet.sidecars
                )
            )
            return 404 not in statuses

        async with asyncio.timeout(seconds):
            await self.fleet.wait_until(is_known)

    async def press(self) -> None:
        """Send payments at each node in turn, until cancelled."""
        async with asyncio.TaskGroup() as requests:
            for sidecar in itertools.cycle(self.fleet.sidecars):
                requests.create_task(self._pay(sidecar))
                await asyncio.sleep(CALL_INTERVAL_SECONDS)

    async def _pay(self, sidecar: sidecar_fleet.SidecarProcess) -> None:
        request_id = f"r{next(self._numbers)}"
        now = asyncio.get_running_loop().time()
        status = await self._send(sidecar, "/pay/", request_id)
        self.sent.append(_Sent(request_id, now, status))

    async def _send(
        self,
        sidecar: sidecar_fleet.SidecarProcess,
        prefix: str,
        request_id: str,
    ) -> int:
        headers = {
            "Host": HOST,
            HEADER_PREFIX + "Request-Id": request_id,
            HEADER_PREFIX + "Request-Timeout-Ms": str(REQUEST_TIMEOUT_MS),
        }
        url = f"http://{sidecar.address('callers')}{prefix}1"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                asyncio.timeout(2 * REQUEST_TIMEOUT_MS / 1000),
                aiohttp.ClientSession() as session,
                session.post(url, data=b"x", headers=headers) as answer,
            ):
                await answer.read()
                return answer.status
        return 0

    def check(self, calm_from: float) -> None:
        """Compare what was answered with what ran.

        What was sent later than ``calm_from`` has to be served.
        """
        runs = [
            request_id
            for sidecar in self.fleet.sidecars
            for request_id in sidecar.target.runs
        ]
        for item in self.sent:
            count = runs.count(item.request_id)
            assert count <= 1, item
            assert item.status, item
            if item.status in NOT_RUN:
                assert count == 0, item
            if item.status == 200:
                assert count == 1, item
            if item.sent_at > calm_from:
                assert item.status == 200, item


Main = typing.Callable[[_World], typing.Coroutine[None, None, None]]


def _run(tmp_path: pathlib.Path, main: Main) -> None:
    async def start() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path) as fleet:
            world = _World(fleet)
            try:
                await world.start()
                await main(world)
            finally:
                await world.stop()

    asyncio.run(start())


async def _disturb(
    world: _World, ways: tuple[loopback_proxy.Direction, ...], store: bool
) -> None:
    """Silence connections beside traffic, and change what is in force."""
    loop = asyncio.get_running_loop()
    pressing = asyncio.create_task(world.press())
    await asyncio.sleep(1.0)
    world.silence(*ways, store=store)
    calm_from = loop.time() + TOUCH_SECONDS
    await asyncio.sleep(TOUCH_SECONDS)
    world.change(5, "new")
    await world.wait_for_route("/new/", APPLY_SECONDS)
    await asyncio.sleep(1.0)
    pressing.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await pressing
    # Requests on their way when the callers stop have no outcome.
    world.check(calm_from)


@pytest.mark.parametrize("store", [False, True], ids=["nodes", "store too"])
@pytest.mark.parametrize("ways", WAYS)
def test_change_is_in_force_in_time_after_connections_went_silent(
    tmp_path: pathlib.Path, ways: str, store: bool
) -> None:
    async def main(world: _World) -> None:
        await _disturb(world, WAYS[ways], store)

    _run(tmp_path, main)


def test_new_connections_that_go_silent_again_are_found_too(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a connection that is trusted for being new."""

    async def main(world: _World) -> None:
        world.silence(store=True)
        await asyncio.sleep(1.2)
        await _disturb(world, (THERE, BACK), True)

    _run(tmp_path, main)
