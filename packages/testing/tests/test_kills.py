"""Kills among separate processes while callers send calls of all kinds."""

import asyncio
import pathlib
import typing

from balsamramp_testing import fleet as fleet_module
from balsamramp_testing import load_generator

ZONES = ("sur-uy-a", "sur-uy-b", "sur-uy-c", "sur-uy-a")
CALLS_PER_SECOND = 80.0
SEED = 7
CALLS_BEFORE = 40
CALLS_AFTER = 160

# Slow enough that calls are in flight at the moment of a kill.
SLOW = {"delay": "PT0.1S"}

# What is killed while calls go on; killed nodes stay dead.
CASES = ("node n0", "node n3", "platform")

GOING_ON = (
    load_generator.CallKind.IDEMPOTENT,
    load_generator.CallKind.PLAIN,
)

CHANGE: dict[str, typing.Any] = {
    "author": "test",
    "puts": [
        {"kind": "service", "name": "caja"},
        {"kind": "route", "name": "caja-all", "service": "caja"},
    ],
}


async def _start(fleet: fleet_module.Fleet) -> fleet_module.Process:
    platform = await fleet.start_platform()
    for index, zone in enumerate(ZONES):
        node = await fleet.start_node(f"n{index}", zone)
        target = await fleet.start_target(f"caja-{index}", "caja", "v1", node)
        url = f"{target.url('http')}/_behaviour"
        async with fleet.session.put(url, json=SLOW) as response:
            assert response.status == 200
    assert (await fleet.submit(node, CHANGE))["version"] == 1
    for _ in range(400):
        if await _is_ready(fleet):
            return platform
        await asyncio.sleep(0.05)
    raise AssertionError("the fleet did not become ready")


async def _is_ready(fleet: fleet_module.Fleet) -> bool:
    for node in fleet.nodes.values():
        status = await fleet.view(node, "status")
        listed = [item for item in status["nodes"] if item["targets"]]
        if status["version"] < 1 or len(listed) < len(ZONES):
            return False
    return True


async def _kill_under_load(directory: pathlib.Path) -> None:
    async with fleet_module.Fleet(directory) as fleet:
        platform = await _start(fleet)
        for case in CASES:
            callers = load_generator.LoadGenerator(
                fleet, {"caja": 1}, CALLS_PER_SECOND, SEED, 2, case
            )
            callers.start()
            await callers.wait_for_calls(CALLS_BEFORE)
            if case == "platform":
                platform.kill()
            else:
                fleet.nodes.pop(case.partition(" ")[2]).kill()
            await callers.wait_for_calls(CALLS_BEFORE + CALLS_AFTER)
            await callers.stop()
            assert callers.lost() == [], case
            assert await callers.duplicate_runs() == [], case
            for kind in GOING_ON:
                _check_that_most_ran(callers, kind, case)


def _check_that_most_ran(
    callers: load_generator.LoadGenerator,
    kind: load_generator.CallKind,
    case: str,
) -> None:
    records = [item for item in callers.records if item.kind is kind]
    ran = [item for item in records if item.verdict == "ran"]
    assert len(ran) > len(records) / 2, (case, kind)


async def _kill_under_keyed_calls(directory: pathlib.Path) -> None:
    async with fleet_module.Fleet(directory) as fleet:
        await _start(fleet)
        callers = load_generator.LoadGenerator(
            fleet, {"caja": 1}, CALLS_PER_SECOND, SEED, 2
        )
        callers.start()
        await callers.wait_for_calls(CALLS_BEFORE)
        fleet.nodes.pop("n0").kill()
        await callers.wait_for_calls(CALLS_BEFORE + CALLS_AFTER)
        await callers.stop()
        assert await callers.duplicate_runs() == []
        _check_that_most_ran(callers, load_generator.CallKind.KEYED, "n0")


def test_kill_of_a_node_or_the_platform_loses_no_idempotent_call(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_kill_under_load(tmp_path))


def test_keyed_calls_go_on_after_the_kill_of_a_node(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_kill_under_keyed_calls(tmp_path))
