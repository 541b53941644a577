"""Convergence of separate processes on one machine, by the wall clock.

``python -m balsamramp_testing.benches.config_processes`` starts nodes in
three zones, submits changes one after the other, and asks all nodes for
their version until they have it. The questions take time themselves, so
the times are upper bounds.
"""

import asyncio
import pathlib
import tempfile
import time

from balsamramp_testing import fleet as fleet_module

__all__ = ["main"]

NODES = 12
ZONES = 3
CHANGES = 20
PAUSE_S = 0.5
SETTLE_S = 10.0
POLL_S = 0.01


async def _wait_for(
    fleet: fleet_module.Fleet, node: fleet_module.NodeProcess, version: int
) -> float:
    while True:
        status = await fleet.view(node, "status")
        if status["version"] >= version:
            return time.perf_counter()
        await asyncio.sleep(POLL_S)


async def _measure(directory: pathlib.Path) -> list[float]:
    delays: list[float] = []
    async with fleet_module.Fleet(directory) as fleet:
        await fleet.start_platform()
        for number in range(NODES):
            await fleet.start_node(f"n{number}", f"zone-{number % ZONES}")
        await asyncio.sleep(SETTLE_S)
        nodes = list(fleet.nodes.values())
        for number in range(CHANGES):
            put = {"kind": "service", "name": f"service-{number}"}
            change = {"author": "bench", "puts": [put]}
            answer = await fleet.submit(nodes[number % NODES], change)
            answered_at = time.perf_counter()
            waits = [
                _wait_for(fleet, node, answer["version"]) for node in nodes
            ]
            for seen_at in await asyncio.gather(*waits):
                delays.append(seen_at - answered_at)
            await asyncio.sleep(PAUSE_S)
    return sorted(delays)


def main() -> None:
    """Print the quantiles over all changes and nodes."""
    with tempfile.TemporaryDirectory() as directory:
        delays = asyncio.run(_measure(pathlib.Path(directory)))
    middle = delays[len(delays) // 2]
    high = delays[int(len(delays) * 0.99)]
    print(
        f"{NODES} processes in {ZONES} zones, {CHANGES} changes:"
        f" p50 {middle * 1e3:.0f} ms, p99 {high * 1e3:.0f} ms,"
        f" max {delays[-1] * 1e3:.0f} ms"
    )


if __name__ == "__main__":
    main()
