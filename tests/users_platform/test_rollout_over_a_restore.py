"""Rollouts beside a store that comes back from a copy, and a kill of all.

A node that starts has what the store holds, and nothing of what the nodes
before it had in memory.
"""

import asyncio
import contextlib
import pathlib
import signal
import typing

import aiohttp
import fake_store
import pytest
import sidecar_fleet

HOST = "caja.example"
HEADER_PREFIX = "X-Balsamramp-"
ZONES = ("z-a", "z-b", "z-c")
OLD, NEW = "v1", "v2"
ORDER_KEY = "rollout/caja"
STATUS_KEY = "rollout/caja"
# Long enough for the calls of a busy machine to prove the version.
ROLLOUT_SECONDS = 30
# Bound of the users for calls to be served again, from when all nodes are
# ready.
RECOVERY_SECONDS = 15.0
# Calls of a rollout that completes in time, at the canary's share.
CALL_INTERVAL_SECONDS = 0.004
CALLS_JUDGED = 50


class _World:
    """Two versions of a service and callers at a node of another one."""

    def __init__(
        self,
        fleet: sidecar_fleet.SidecarFleet,
        session: aiohttp.ClientSession,
    ) -> None:
        self.fleet = fleet
        self._session = session
        self.store = fleet.store
        self.old: list[sidecar_fleet.SidecarProcess] = []
        self.new: list[sidecar_fleet.SidecarProcess] = []
        self._copies: list[fake_store.StoreCopy] = []
        self._number = 0

    async def start(self) -> None:
        """Start the nodes, with targets of both versions in each zone."""
        self.store.era = 1
        self.store.put("op", "config", sidecar_fleet.configuration(3))
        for zone in ZONES:
            await self.fleet.start(f"entry-{zone}", "catalogo", zone)
            self.old.append(
                await self.fleet.start(f"old-{zone}", "caja", zone)
            )
        await self.fleet.wait_until_ready()
        for zone in ZONES:
            sidecar = await self.fleet.start(f"new-{zone}", "caja", zone)
            sidecar.target.version = NEW
            self.new.append(sidecar)
        await self.fleet.wait_until_ready()

    def copy(self) -> None:
        """Keep what the store holds now."""
        self._copies.append(self.store.copy())

    async def restore(self) -> None:
        """Let the store come back from the first copy that was kept."""
        self.store.refuse = 503
        await asyncio.sleep(0.5)
        self.store.restore(self._copies[0])
        self.store.refuse = 0

    def order(self, seconds: float = ROLLOUT_SECONDS) -> None:
        """Write the order, or write it again."""
        document = {"service": "caja", "to": NEW, "durationS": seconds}
        self.store.put("op", ORDER_KEY, document)

    def state(self) -> str:
        """Return what the system says of the order."""
        status = self.store.read("status", STATUS_KEY) or {}
        return str(status.get("state", ""))

    async def press(self, until: str) -> None:
        """Send calls until the system says of the order what is expected."""
        async with asyncio.timeout(60.0), asyncio.TaskGroup() as calls:
            while self.state() != until:
                calls.create_task(self.call())
                await asyncio.sleep(CALL_INTERVAL_SECONDS)

    async def call(self) -> int:
        """Return the status of one call."""
        self._number += 1
        entries = [
            item
            for item in self.fleet.sidecars
            if item.target.service == "catalogo"
        ]
        entry = entries[self._number % len(entries)]
        headers = {
            "Host": HOST,
            HEADER_PREFIX + "Request-Id": f"r-{self._number}",
            HEADER_PREFIX + "Request-Timeout-Ms": "900",
        }
        url = f"http://{entry.address('callers')}/read/1"
        async with self._session.get(url, headers=headers) as answer:
            await answer.read()
            return answer.status

    async def kill_all(self) -> None:
        """Kill all nodes at once and start them again."""
        for sidecar in self.fleet.sidecars:
            sidecar.process.send_signal(signal.SIGKILL)
        for sidecar in self.fleet.sidecars:
            await sidecar.process.wait()
        for sidecar in self.fleet.sidecars:
            await self.fleet.restart(sidecar)
        await self.fleet.wait_until_ready()

    async def stop_old(self) -> None:
        """End the targets of the old version, as the platform does."""
        for sidecar in self.old:
            sidecar.heartbeat_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sidecar.heartbeat_task
            await sidecar.target.stop()

    async def served_after_recovery(self) -> int:
        """Return how many of the judged calls are answered with success."""
        await asyncio.sleep(RECOVERY_SECONDS)
        served = 0
        for _ in range(CALLS_JUDGED):
            served += await self.call() == 200
        return served

    def new_runs(self) -> int:
        """Return how many calls targets of the new version ran."""
        return sum(len(item.target.runs) for item in self.new)


Main = typing.Callable[[_World], typing.Coroutine[None, None, None]]


def _run(tmp_path: pathlib.Path, main: Main) -> None:
    async def start() -> None:
        async with (
            sidecar_fleet.SidecarFleet(tmp_path) as fleet,
            aiohttp.ClientSession() as session,
        ):
            world = _World(fleet, session)
            await world.start()
            await main(world)

    asyncio.run(start())


@pytest.mark.parametrize(
    ("copied", "drills"),
    [("before the order", 1), ("before the order", 2), ("in the rollout", 1)],
)
def test_completed_version_is_served_after_a_kill_of_all(
    tmp_path: pathlib.Path, copied: str, drills: int
) -> None:
    """Guards against an outcome that only nodes of before can find.

    The copy has no outcome. The order is written again if the copy has none.
    """

    async def main(world: _World) -> None:
        if copied == "before the order":
            world.copy()
        # The versions go up, so that the order gets another one next time.
        for _ in range(5):
            world.store.put("status", "other", {})
        world.order()
        await world.press("running")
        if copied == "in the rollout":
            world.copy()
        await world.press("completed")
        await world.stop_old()
        for _ in range(drills):
            await world.restore()
            await asyncio.sleep(1.0)
            if copied == "before the order":
                world.order()
            await world.press("completed")
        await asyncio.sleep(1.0)
        await world.kill_all()
        assert await world.served_after_recovery() == CALLS_JUDGED

    _run(tmp_path, main)


@pytest.mark.parametrize("copied", ["before the order", "in the rollout"])
def test_version_that_was_rolled_back_stays_out_after_a_kill_of_all(
    tmp_path: pathlib.Path, copied: str
) -> None:
    """Guards against a bad version that gets calls once more."""

    async def main(world: _World) -> None:
        for sidecar in world.new:
            sidecar.target.status = 500
        if copied == "before the order":
            world.copy()
        for _ in range(5):
            world.store.put("status", "other", {})
        world.order(seconds=30)
        await world.press("running")
        if copied == "in the rollout":
            world.copy()
        await world.press("rolled_back")
        await world.restore()
        await asyncio.sleep(1.0)
        if copied == "before the order":
            world.order(seconds=30)
        await world.press("rolled_back")
        await asyncio.sleep(1.0)
        before = world.new_runs()
        await world.kill_all()
        assert await world.served_after_recovery() == CALLS_JUDGED
        assert world.new_runs() == before
        assert world.state() == "rolled_back"

    _run(tmp_path, main)


def test_only_version_is_served_though_nothing_is_known_of_its_order(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an order that leaves a service without any target.

    All nodes are killed as the store is back, before the outcome is stored
    once more.
    """

    async def main(world: _World) -> None:
        world.order()
        await world.press("running")
        world.copy()
        await world.press("completed")
        await world.stop_old()
        await asyncio.sleep(1.0)
        for sidecar in world.fleet.sidecars:
            sidecar.process.send_signal(signal.SIGSTOP)
        await world.restore()
        await world.kill_all()
        assert await world.served_after_recovery() == CALLS_JUDGED
        await world.press("completed")

    _run(tmp_path, main)


def test_order_for_the_version_in_service_refuses_no_calls(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a share of calls for which there are no targets."""

    async def main(world: _World) -> None:
        for sidecar in world.new:
            sidecar.target.version = OLD
        await asyncio.sleep(8.0)
        document = {"service": "caja", "to": OLD, "durationS": ROLLOUT_SECONDS}
        world.store.put("op", ORDER_KEY, document)
        refused = 0
        async with asyncio.timeout(60.0):
            while world.state() != "completed":
                refused += await world.call() != 200
        assert refused == 0

    _run(tmp_path, main)
