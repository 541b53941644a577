"""Real processes whose lease holders are paused and killed.

Guards against a version that does not reach all nodes, or is accepted
twice, when the nodes that read the log stop, a commit's response is lost
or the platform is down.
"""

import asyncio
from collections import abc
import pathlib
import signal
import typing

from balsamramp_testing import fleet as fleet_module

WAIT_SECONDS = 30.0
POLL_SECONDS = 0.05


class _VersionMonitor:
    """Reads the versions of the nodes; fails if one has decreased."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self._fleet = fleet
        self._versions: dict[str, int] = {}
        self.excluded: set[str] = set()

    async def versions(self) -> dict[str, int]:
        for name, node in self._fleet.nodes.items():
            if name in self.excluded:
                continue
            version = (await self._fleet.view(node, "status"))["version"]
            assert version >= self._versions.get(name, 0)
            self._versions[name] = version
        return {
            name: version
            for name, version in self._versions.items()
            if name not in self.excluded
        }

    async def wait_until_all_at(self, version: int) -> None:
        async def all_at_version() -> bool:
            return set((await self.versions()).values()) == {version}

        await _wait_until(all_at_version)


async def _wait_until(
    condition: abc.Callable[[], abc.Awaitable[bool]],
) -> None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + WAIT_SECONDS
    while not await condition():
        assert loop.time() < deadline
        await asyncio.sleep(POLL_SECONDS)


async def _lease_holders(
    fleet: fleet_module.Fleet, monitor: _VersionMonitor
) -> list[str]:
    holders = []
    for name, node in fleet.nodes.items():
        if name in monitor.excluded:
            continue
        dump = await fleet.view(node, "dump")
        if dump["reader-lease"]["slot"] is not None:
            holders.append(name)
    return holders


def _change(name: str, change_id: str = "") -> dict[str, typing.Any]:
    put = {"kind": "service", "name": name}
    return {"author": "test", "puts": [put], "change_id": change_id}


async def _set_faults(
    fleet: fleet_module.Fleet,
    platform: fleet_module.Process,
    **faults: typing.Any,
) -> None:
    url = f"{platform.url('http')}/faults"
    async with fleet.session.put(url, json=faults) as response:
        assert response.status == 200


async def _pause_and_kill_lease_holders(directory: pathlib.Path) -> None:
    async with fleet_module.Fleet(directory) as fleet:
        platform = await fleet.start_platform()
        for number in range(4):
            await fleet.start_node(f"n{number}", "sur-uy-a")
        monitor = _VersionMonitor(fleet)

        async def two_lease_holders() -> bool:
            return len(await _lease_holders(fleet, monitor)) == 2

        await _wait_until(two_lease_holders)
        paused = (await _lease_holders(fleet, monitor))[0]
        monitor.excluded.add(paused)
        fleet.nodes[paused].send_signal(signal.SIGSTOP)
        await _wait_until(two_lease_holders)
        others = [name for name in fleet.nodes if name != paused]
        accepted = await fleet.submit(fleet.nodes[others[0]], _change("caja"))
        assert accepted["version"] == 1
        await monitor.wait_until_all_at(1)
        fleet.nodes[paused].send_signal(signal.SIGCONT)
        monitor.excluded.discard(paused)
        await monitor.wait_until_all_at(1)
        await _set_faults(fleet, platform, write_faults=["lost-after"])
        for name in (paused, others[0]):
            repeated = await fleet.submit(
                fleet.nodes[name], _change("reservas", "once")
            )
            assert repeated["version"] == 2
        await monitor.wait_until_all_at(2)
        await _kill_lease_holders(fleet, platform, monitor)


async def _kill_lease_holders(
    fleet: fleet_module.Fleet,
    platform: fleet_module.Process,
    monitor: _VersionMonitor,
) -> None:
    await _set_faults(fleet, platform, down=True)
    first_node = next(iter(fleet.nodes.values()))
    rejection = await fleet.submit(first_node, _change("council"))
    assert rejection["accepted"] is False
    await _set_faults(fleet, platform, down=False)
    for name in await _lease_holders(fleet, monitor):
        fleet.nodes[name].kill()
        monitor.excluded.add(name)
    alive = [name for name in fleet.nodes if name not in monitor.excluded]

    async def lease_taken_over() -> bool:
        return bool(await _lease_holders(fleet, monitor))

    await _wait_until(lease_taken_over)
    accepted = await fleet.submit(fleet.nodes[alive[0]], _change("council"))
    assert accepted["version"] == 3
    await monitor.wait_until_all_at(3)


def test_versions_reach_all_nodes_when_readers_stop(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_pause_and_kill_lease_holders(tmp_path))
