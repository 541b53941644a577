"""Soak: plays random faults on real processes and checks the promises.

One seed draws the faults and their times. A play ends with some calm
seconds, in which everything has to work again.
"""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile
import time

import aiohttp
import attrs
import soak_checks
import soak_faults
import soak_harness

__all__ = ["Outcome", "main", "run_soak"]

EXIT_OK = 0
EXIT_BROKEN = 1
NODES = 6
SECONDS = 25.0
REQUESTS_PER_SECOND = 60.0
# Faults begin at random times, on average this far apart.
BETWEEN_FAULTS_SECONDS = 0.8
# Time for nodes to find each other again after the last fault, and then
# the time in which requests have to be served.
SETTLING_SECONDS = 8.0
CALM_SECONDS = 3.0
SHOWN_PROBLEMS = 10


@attrs.frozen(kw_only=True)
class Outcome:
    """What one play showed."""

    seed: int
    problems: list[str]
    exchanges: list[soak_checks.Exchange]
    faults: list[str]

    def __str__(self) -> str:
        statuses: dict[int, int] = {}
        for item in self.exchanges:
            statuses[item.status] = statuses.get(item.status, 0) + 1
        shown = ", ".join(f"{k}: {v}" for k, v in sorted(statuses.items()))
        state = f"{len(self.problems)} problems" if self.problems else "kept"
        lines = [f"seed {self.seed}: {state}; statuses {shown}"]
        lines += self.problems[:SHOWN_PROBLEMS]
        if self.problems:
            lines += self.faults
        return "\n  ".join(lines)


class _Play:
    """One soak on a world that has started."""

    def __init__(
        self, world: soak_harness.SoakHarness, seconds: float
    ) -> None:
        self._world = world
        self._seconds = seconds
        self._started = time.monotonic()
        self._busy: set[str] = set()
        self.log: list[str] = []

    async def run(self) -> None:
        """Play all faults, then the calm end."""
        callers = asyncio.create_task(self._call())
        watching = asyncio.create_task(self._watch_processes())
        async with asyncio.TaskGroup() as group:
            while self._now() < self._seconds:
                wait = self._world.rng.expovariate(1 / BETWEEN_FAULTS_SECONDS)
                await asyncio.sleep(wait)
                kind = self._world.rng.choice(soak_faults.FAULTS)
                group.create_task(self._fault(kind(self._world)))
        await asyncio.sleep(SETTLING_SECONDS)
        self._world.ledger.calm_from = time.monotonic()
        await asyncio.sleep(CALM_SECONDS)
        watching.cancel()
        callers.cancel()
        await asyncio.gather(callers, watching, return_exceptions=True)

    async def _fault(self, fault: soak_faults.Fault) -> None:
        low, high = fault.lasts
        lasts = self._world.rng.uniform(low, high)
        name = f"{type(fault).__name__} {fault.node.name}"
        if name in self._busy:
            return
        self._busy.add(name)
        self.log.append(f"{self._now():.2f} s for {lasts:.2f} s: {name}")
        began = time.monotonic()
        nodes = [node.name for node in fault.affected_nodes()]
        fault_windows = self._world.ledger.fault_windows
        for node in nodes:
            fault_windows.setdefault(node, []).append((began, float("inf")))
        await fault.begin()
        await asyncio.sleep(lasts)
        await fault.end()
        ended = time.monotonic()
        for node in nodes:
            fault_windows[node].remove((began, float("inf")))
            fault_windows[node].append((began, ended))
        self._busy.discard(name)

    async def _call(self) -> None:
        tasks: set[asyncio.Task[None]] = set()
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            try:
                while True:
                    await asyncio.sleep(1 / REQUESTS_PER_SECOND)
                    node = self._world.rng.choice(self._world.nodes)
                    kind = self._world.rng.choice(self._world.kinds())
                    task = asyncio.create_task(
                        self._world.call(session, node, kind)
                    )
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
            finally:
                if tasks:
                    await asyncio.wait(tasks)

    async def _watch_processes(self) -> None:
        """Note processes that fail; the faults restart what they end."""
        seen: set[int] = set()
        while True:
            await asyncio.sleep(0.1)
            for node in self._world.nodes:
                process = node.sidecar.process
                code = process.returncode
                if code is None or code <= 0 or process.pid in seen:
                    continue
                seen.add(process.pid)
                self._world.ledger.ended.append(f"{node.name}: exit {code}")

    def _now(self) -> float:
        return time.monotonic() - self._started


async def run_soak(
    seed: int,
    folder: pathlib.Path,
    seconds: float = SECONDS,
    nodes: int = NODES,
    bounds: bool = True,
) -> Outcome:
    """Play one seed; ``bounds`` also checks the promises in time."""
    rng = random.Random(seed)
    async with soak_harness.SoakHarness(folder, nodes, rng) as world:
        made = _Play(world, seconds)
        await made.run()
    return Outcome(
        seed=seed,
        problems=world.ledger.problems(bounds),
        exchanges=world.ledger.exchanges,
        faults=made.log,
    )


def main(arguments: list[str] | None = None) -> int:
    """Play some seeds one after another; return the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="seeds to play")
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--nodes", type=int, default=NODES)
    given = parser.parse_args(arguments)
    code = EXIT_OK
    for seed in range(given.seed, given.seed + given.count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        outcome = asyncio.run(
            run_soak(seed, folder, given.seconds, given.nodes)
        )
        print(outcome, flush=True)
        if outcome.problems:
            print(f"  logs in {folder}", flush=True)
            code = EXIT_BROKEN
    return code


if __name__ == "__main__":
    sys.exit(main())
