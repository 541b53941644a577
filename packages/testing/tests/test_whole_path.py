"""The whole path as separate processes: platform, nodes, targets."""

import asyncio
import pathlib

from balsamramp_testing import fleet as fleet_module

ZONES = ("sur-uy-a", "sur-uy-b")
CHANGE = {
    "author": "test",
    "puts": [
        {"kind": "service", "name": "caja"},
        {"kind": "route", "name": "caja-all", "service": "caja"},
    ],
}

SECOND_CHANGE = {
    "author": "test",
    "puts": [{"kind": "zone", "name": "sur-uy-b", "out": True}],
}


async def _serve_calls(directory: pathlib.Path) -> None:
    async with fleet_module.Fleet(directory) as fleet:
        await fleet.start_platform()
        nodes = []
        for index, zone in enumerate(ZONES):
            node = await fleet.start_node(f"n{index}", zone)
            nodes.append(node)
        await fleet.start_target("caja-1", "caja", "v1", nodes[0])
        accepted = await fleet.submit(nodes[0], CHANGE)
        assert accepted["version"] == 1
        await _until_listed(fleet, nodes[1])
        for node in nodes:
            await _check_answer(fleet, node)
        await _check_unknown_name(fleet, nodes[1])
        again = await fleet.submit(nodes[1], SECOND_CHANGE)
        assert again["version"] == 2


async def _until_listed(
    fleet: fleet_module.Fleet, node: fleet_module.NodeProcess
) -> None:
    for _ in range(200):
        status = await fleet.view(node, "status")
        listed = [item for item in status["nodes"] if item["targets"]]
        if status["version"] == 1 and listed:
            return
        await asyncio.sleep(0.05)
    raise AssertionError(status)


async def _check_answer(
    fleet: fleet_module.Fleet, node: fleet_module.NodeProcess
) -> None:
    headers = {"balsamramp-service": "caja"}
    url = f"{node.url('call')}/cobros"
    async with fleet.session.post(
        url, headers=headers, data=node.name
    ) as response:
        answer = await response.json()
    assert response.status == 200, answer
    assert response.headers["balsamramp-verdict"] == "ran"
    assert answer["target"] == "caja-1"
    assert answer["path"] == "/cobros"
    assert answer["body"] == node.name


async def _check_unknown_name(
    fleet: fleet_module.Fleet, node: fleet_module.NodeProcess
) -> None:
    headers = {"balsamramp-service": "cajaa"}
    async with fleet.session.get(
        node.url("call"), headers=headers
    ) as response:
        answer = await response.json()
    assert response.status == 404
    assert answer["verdict"] == "not-run"
    assert "nearest known names: caja" in answer["message"]
    names = await fleet.view(node, "names")
    assert names == {"cajaa": 1}


def test_calls_cross_zones_as_separate_processes(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_serve_calls(tmp_path))
