"""Readers stopped and killed, the platform down: real processes."""

import asyncio
from collections import abc
import pathlib
import signal
import typing

from balsamramp_testing import fleet as fleet_module

WAIT_S = 30.0
TICK_S = 0.05


class _Watch:
    """Reads the versions of the nodes; fails when one has fallen."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self._fleet = fleet
        self._versions: dict[str, int] = {}
        self.out: set[str] = set()

    async def versions(self) -> dict[str, int]:
        for name, node in self._fleet.nodes.items():
            if name in self.out:
                continue
            version = (await self._fleet.view(node, "status"))["version"]
            assert version >= self._versions.get(name, 0)
            self._versions[name] = version
        return {
            name: version
            for name, version in self._versions.items()
            if name not in self.out
        }

    async def until_all_at(self, version: int) -> None:
        async def reached() -> bool:
            return set((await self.versions()).values()) == {version}

        await _until(reached)


async def _until(
    condition: abc.Callable[[], abc.Awaitable[bool]],
) -> None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + WAIT_S
    while not await condition():
        assert loop.time() < deadline
        await asyncio.sleep(TICK_S)


async def _readers(fleet: fleet_module.Fleet, watch: _Watch) -> list[str]:
    found = []
    for name, node in fleet.nodes.items():
        if name in watch.out:
            continue
        dump = await fleet.view(node, "dump")
        if dump["reader-lease"]["slot"] is not None:
            found.append(name)
    return found


def _change(name: str, change_id: str = "") -> dict[str, typing.Any]:
    put = {"kind": "service", "name": name}
    return {"author": "test", "puts": [put], "change_id": change_id}


async def _faults(
    fleet: fleet_module.Fleet,
    platform: fleet_module.Process,
    **faults: typing.Any,
) -> None:
    url = f"{platform.url('http')}/faults"
    async with fleet.session.put(url, json=faults) as response:
        assert response.status == 200


async def _stop_and_kill_readers(directory: pathlib.Path) -> None:
    async with fleet_module.Fleet(directory) as fleet:
        platform = await fleet.start_platform()
        for number in range(4):
            await fleet.start_node(f"n{number}", "sur-uy-a")
        watch = _Watch(fleet)

        async def two_read() -> bool:
            return len(await _readers(fleet, watch)) == 2

        await _until(two_read)
        paused = (await _readers(fleet, watch))[0]
        watch.out.add(paused)
        fleet.nodes[paused].send_signal(signal.SIGSTOP)
        await _until(two_read)
        others = [name for name in fleet.nodes if name != paused]
        accepted = await fleet.submit(fleet.nodes[others[0]], _change("caja"))
        assert accepted["version"] == 1
        await watch.until_all_at(1)
        fleet.nodes[paused].send_signal(signal.SIGCONT)
        watch.out.discard(paused)
        await watch.until_all_at(1)
        await _faults(fleet, platform, write_faults=["lost-after"])
        for name in (paused, others[0]):
            answer = await fleet.submit(
                fleet.nodes[name], _change("reservas", "once")
            )
            assert answer["version"] == 2
        await watch.until_all_at(2)
        await _kill_and_go_on(fleet, platform, watch)


async def _kill_and_go_on(
    fleet: fleet_module.Fleet, platform: fleet_module.Process, watch: _Watch
) -> None:
    await _faults(fleet, platform, down=True)
    first = next(iter(fleet.nodes.values()))
    refused = await fleet.submit(first, _change("council"))
    assert refused["accepted"] is False
    await _faults(fleet, platform, down=False)
    for name in await _readers(fleet, watch):
        fleet.nodes[name].kill()
        watch.out.add(name)
    alive = [name for name in fleet.nodes if name not in watch.out]

    async def taken_over() -> bool:
        return bool(await _readers(fleet, watch))

    await _until(taken_over)
    accepted = await fleet.submit(fleet.nodes[alive[0]], _change("council"))
    assert accepted["version"] == 3
    await watch.until_all_at(3)


def test_stopped_and_killed_readers(tmp_path: pathlib.Path) -> None:
    asyncio.run(_stop_and_kill_readers(tmp_path))
