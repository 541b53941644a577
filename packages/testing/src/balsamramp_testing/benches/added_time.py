"""Added time: what two nodes on the path add to a direct call.

Starts a platform stand-in, two nodes and a target as processes, and
sends calls at fixed rates whatever comes back (open loop), to the target
itself and through both nodes. Times count from when a call was due, or
sent if that was earlier. ``cpu`` is the processor time of both nodes for
each call, their work between calls included. All in microseconds.
Usage::

    python -m balsamramp_testing.benches.added_time [CALLS_PER_SECOND ...]
"""

import asyncio
from collections import abc
import os
import pathlib
import sys
import tempfile
import time

import aiohttp
import attrs
from hdrh import histogram
import uvloop

from balsamramp_testing import fleet as fleet_module

__all__ = ["main"]

RATES = (50, 226, 450)
SECONDS = 10.0
WARM_UP_SECONDS = 2.0
HIGHEST_MICROSECONDS = 60_000_000
BODY = "x" * 1000
PERCENTILES = (50.0, 99.0, 99.9)
STATUS_OK = 200
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12
SERVICE = {"balsamramp-service": "caja"}
CHANGE = {
    "author": "bench",
    "puts": [
        {"kind": "service", "name": "caja"},
        {"kind": "route", "name": "caja-all", "service": "caja"},
    ],
}


@attrs.define(eq=False)
class _Load:
    """Calls to one URL and the times that they took."""

    session: aiohttp.ClientSession
    url: str
    headers: abc.Mapping[str, str]
    failed: int = 0
    times: histogram.HdrHistogram = attrs.field(
        factory=lambda: histogram.HdrHistogram(1, HIGHEST_MICROSECONDS, 3)
    )

    async def run(self, rate: int, seconds: float) -> None:
        """Send ``rate`` calls a second."""
        start = time.perf_counter()
        tasks = []
        for number in range(int(rate * seconds)):
            due = start + number / rate
            await asyncio.sleep(max(due - time.perf_counter(), 0.0))
            counted = min(due, time.perf_counter())
            tasks.append(asyncio.create_task(self._call(counted)))
        await asyncio.gather(*tasks)

    async def _call(self, start: float) -> None:
        async with self.session.post(
            self.url, data=BODY, headers=self.headers
        ) as response:
            await response.read()
            if response.status != STATUS_OK:
                self.failed += 1
        taken = time.perf_counter() - start
        self.times.record_value(round(taken * 1e6))


async def _start(
    fleet: fleet_module.Fleet,
) -> tuple[fleet_module.NodeProcess, fleet_module.Process]:
    await fleet.start_platform()
    near = await fleet.start_node("n0", "sur-uy-a")
    far = await fleet.start_node("n1", "sur-uy-a")
    target = await fleet.start_target("caja-1", "caja", "v1", far)
    behaviour = {"slots": 100, "delay": "PT0S"}
    async with fleet.session.put(
        f"{target.url('http')}/_behaviour", json=behaviour
    ) as response:
        await response.read()
    await fleet.submit(near, CHANGE)
    await _until_served(fleet, near)
    return near, target


async def _until_served(
    fleet: fleet_module.Fleet, node: fleet_module.NodeProcess
) -> None:
    while True:
        async with fleet.session.get(
            node.url("call"), headers=SERVICE
        ) as response:
            if response.status == STATUS_OK:
                return
        await asyncio.sleep(0.1)


async def _measure(rates: abc.Sequence[int]) -> None:
    print("| calls/s | path | calls | failed | p50 | p99 | p99.9 | cpu |")
    print("|---|---|---|---|---|---|---|---|")
    with tempfile.TemporaryDirectory() as directory:
        async with fleet_module.Fleet(pathlib.Path(directory)) as fleet:
            near, target = await _start(fleet)
            for rate in rates:
                await _compare(fleet, rate, near, target)


async def _compare(
    fleet: fleet_module.Fleet,
    rate: int,
    near: fleet_module.Process,
    target: fleet_module.Process,
) -> None:
    values = {}
    paths = {
        "direct": target.url("http"),
        "two nodes": near.url("call"),
    }
    for path, url in paths.items():
        warm_up = _Load(fleet.session, url, SERVICE)
        await warm_up.run(rate, WARM_UP_SECONDS)
        load = _Load(fleet.session, url, SERVICE)
        before = _processor_seconds(fleet)
        await load.run(rate, SECONDS)
        used = _processor_seconds(fleet) - before
        found = [
            load.times.get_value_at_percentile(item) for item in PERCENTILES
        ]
        values[path] = found
        count = load.times.get_total_count()
        cell = round(used / count * 1e6)
        _print_row(f"{rate} | {path} | {count} | {load.failed}", found, cell)
    added = [
        through - direct
        for through, direct in zip(
            values["two nodes"], values["direct"], strict=True
        )
    ]
    _print_row(f"{rate} | added | |", added, "")


def _processor_seconds(fleet: fleet_module.Fleet) -> float:
    ticks = 0
    for node in fleet.nodes.values():
        path = pathlib.Path(f"/proc/{node.popen.pid}/stat")
        fields = path.read_text().rpartition(")")[2].split()
        ticks += int(fields[USER_TICKS_FIELD])
        ticks += int(fields[SYSTEM_TICKS_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")


def _print_row(
    start: str, values: abc.Sequence[int], processor: int | str
) -> None:
    cells = " | ".join(str(value) for value in [*values, processor])
    print(f"| {start} | {cells} |", flush=True)


def main(arguments: abc.Sequence[str]) -> None:
    """Print the times in microseconds."""
    rates = [int(item) for item in arguments] or RATES
    uvloop.run(_measure(rates))


if __name__ == "__main__":
    main(sys.argv[1:])
