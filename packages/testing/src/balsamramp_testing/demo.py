"""Demo: a small deployment on loopback, driven through its operations."""

import asyncio
import collections
import datetime
import functools
import pathlib
import sys
import tempfile
import typing

from balsamramp_testing import fleet as fleet_module

__all__ = ["main"]

ZONES = ("sur-uy-a", "sur-uy-b", "sur-uy-c")
TARGET_COUNTS = {"catalogo": 6, "caja": 4, "reservas": 3}
CALLS = 60
WAIT_SECONDS = 20.0


class _Report:
    def __init__(self) -> None:
        self.failed = False

    def line(self, ok: bool, text: str) -> None:
        self.failed = self.failed or not ok
        print(f"{'ok  ' if ok else 'FAIL'} {text}", flush=True)


async def _wait_until(
    check: typing.Callable[[], typing.Awaitable[bool]],
) -> bool:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + WAIT_SECONDS
    while loop.time() < deadline:
        if await check():
            return True
        await asyncio.sleep(0.1)
    return False


async def _call(
    fleet: fleet_module.Fleet,
    node: fleet_module.Process,
    service: str,
    method: str = "GET",
    body: str = "",
) -> dict[str, typing.Any]:
    headers = {"balsamramp-service": service}
    async with fleet.session.request(
        method, f"{node.url('call')}/paseos", headers=headers, data=body
    ) as response:
        answer = await response.json()
        return {"status": response.status, **answer}


async def _run(directory: pathlib.Path) -> bool:
    report = _Report()
    async with fleet_module.Fleet(directory) as fleet:
        await fleet.start_platform()
        await _start_targets(fleet)
        nodes = list(fleet.nodes.values())
        await _configure(fleet, nodes, report)
        await _send_calls(fleet, nodes, report)
        await _move_zone(fleet, nodes, report)
        await _roll_out(fleet, nodes, report)
    return not report.failed


async def _start_targets(fleet: fleet_module.Fleet) -> None:
    number = 0
    for service, count in TARGET_COUNTS.items():
        for index in range(count):
            zone = ZONES[number % len(ZONES)]
            name = f"{service}-{index + 1}"
            node = await fleet.start_node(f"node-{name}", zone)
            version = "v2" if name == "catalogo-6" else "v1"
            await fleet.start_target(name, service, version, node)
            number += 1


async def _configure(
    fleet: fleet_module.Fleet,
    nodes: list[fleet_module.NodeProcess],
    report: _Report,
) -> None:
    puts: list[dict[str, typing.Any]] = []
    for service in TARGET_COUNTS:
        puts.append({"kind": "service", "name": service})
        selector = {} if service == "catalogo" else {"version": "v1"}
        puts.append(
            {
                "kind": "route",
                "name": f"{service}-all",
                "service": service,
                "selector": selector,
            }
        )
    accepted = await fleet.submit(nodes[0], {"author": "demo", "puts": puts})
    report.line(accepted.get("version") == 1, f"accepted: {accepted}")

    async def in_force() -> bool:
        for node in nodes:
            status = await fleet.view(node, "status")
            ready = [item for item in status["nodes"] if item["targets"]]
            if status["version"] < 1 or len(ready) < len(nodes):
                return False
        return True

    report.line(await _wait_until(in_force), f"in force on {len(nodes)} nodes")


async def _send_calls(
    fleet: fleet_module.Fleet,
    nodes: list[fleet_module.NodeProcess],
    report: _Report,
) -> None:
    statuses: collections.Counter[int] = collections.Counter()
    for number in range(CALLS):
        node = nodes[number % len(nodes)]
        service = list(TARGET_COUNTS)[number % len(TARGET_COUNTS)]
        method = "POST" if number % 2 else "GET"
        answer = await _call(fleet, node, service, method, f"call {number}")
        statuses[answer["status"]] += 1
    report.line(statuses[200] == CALLS, f"answers by status: {statuses}")
    wrong = await _call(fleet, nodes[0], "catalogoo")
    report.line(wrong["verdict"] == "not-run", wrong["message"])


async def _move_zone(
    fleet: fleet_module.Fleet,
    nodes: list[fleet_module.NodeProcess],
    report: _Report,
) -> None:
    zone = ZONES[0]
    for out in (True, False):
        item = {"kind": "zone", "name": zone, "out": out}
        await fleet.submit(nodes[1], {"author": "demo", "puts": [item]})
        ok = await _wait_until(
            functools.partial(_zone_is, fleet, nodes, zone, out)
        )
        word = "out" if out else "in"
        report.line(ok, f"zone {zone} is {word}")


async def _zone_is(
    fleet: fleet_module.Fleet,
    nodes: list[fleet_module.NodeProcess],
    zone: str,
    out: bool,
) -> bool:
    used: set[str] = set()
    for number in range(CALLS):
        node = nodes[number % len(nodes)]
        answer = await _call(fleet, node, "catalogo")
        if answer["status"] == 200:
            used.add(fleet.nodes[f"node-{answer['target']}"].zone)
    return (zone not in used) is out


async def _roll_out(
    fleet: fleet_module.Fleet,
    nodes: list[fleet_module.NodeProcess],
    report: _Report,
) -> None:
    start = datetime.datetime.now(datetime.UTC)
    deadline = start + datetime.timedelta(seconds=3)
    item = {
        "kind": "rollout",
        "name": "catalogo-v2",
        "service": "catalogo",
        "old": "v1",
        "new": "v2",
        "start": start.isoformat(),
        "deadline": deadline.isoformat(),
    }
    await fleet.submit(nodes[0], {"author": "demo", "puts": [item]})

    async def moved() -> bool:
        for number in range(CALLS):
            node = nodes[number % len(nodes)]
            answer = await _call(fleet, node, "catalogo")
            if answer.get("version") != "v2":
                return False
        return True

    report.line(await _wait_until(moved), "catalogo moved to v2")


def main() -> int:
    """Run the demo; return 0 only if every step met its promise."""
    with tempfile.TemporaryDirectory() as directory:
        return 0 if asyncio.run(_run(pathlib.Path(directory))) else 1


if __name__ == "__main__":
    sys.exit(main())
