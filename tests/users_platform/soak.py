"""Soak: plays random faults on real processes and checks the promises.

One seed draws the faults and their times. A play ends with some calm
seconds, in which everything has to work again.
"""

import argparse
import asyncio
import collections
import contextlib
import pathlib
import sys
import tempfile
import time

import aiohttp
import attrs
import soak_configuration
import soak_departures
import soak_faults
import soak_harness
import soak_records
import soak_starts

__all__ = ["Outcome", "main", "run_soak"]

EXIT_OK = 0
EXIT_BROKEN = 1
NODES = 6
SECONDS = 25.0
# Faults begin at random times, on average this far apart.
BETWEEN_FAULTS_SECONDS = 0.8
# Time for nodes to find each other again after the last fault, and then
# the time in which requests have to be served.
SETTLING_SECONDS = 8.0
# The same where all nodes may have lost what they knew of an order.
RECOVERY_SECONDS = 15.0
CALM_SECONDS = 3.0
COUNTERS_TIMEOUT_SECONDS = 2.0
STATUS_READY = "200"
WATCH_SECONDS = 0.1
SHOWN_PROBLEMS = 10
# What happens in a play.
PROFILES: dict[str, tuple[type[soak_faults.Fault], ...]] = {
    "calm": (),
    "configuration": soak_configuration.CONFIGURATION,
    "demand": soak_faults.DEMAND,
    "departures": soak_departures.DEPARTURES,
    "mixed": soak_faults.FAULTS + soak_faults.PLANNED_WORK,
    "planned": soak_faults.PLANNED_WORK,
    "restores": soak_faults.RESTORES,
    "rollouts": soak_faults.ROLLOUTS,
    "start": soak_starts.STARTS,
}


@attrs.frozen(kw_only=True)
class Outcome:
    """What one play showed.

    ``late_seconds`` is how late the soak's own event loop was at most: what
    callers and targets see is late by as much.
    """

    seed: int
    late_seconds: float
    problems: list[str]
    exchanges: list[soak_records.Exchange]
    faults: list[str]
    unanswered: list[dict[str, int]]

    def __str__(self) -> str:
        statuses: dict[int, int] = {}
        for item in self.exchanges:
            statuses[item.status] = statuses.get(item.status, 0) + 1
        shown = ", ".join(f"{k}: {v}" for k, v in sorted(statuses.items()))
        state = f"{len(self.problems)} problems" if self.problems else "kept"
        lines = [f"seed {self.seed}: {state}; statuses {shown}"]
        lines += [
            f"{ending.value}: {count}"
            for ending, count in collections.Counter(
                item.ending for item in self.exchanges
            ).items()
        ]
        counted: collections.Counter[str] = collections.Counter()
        for item in self.unanswered:
            counted.update(item)
        lines.append(f"counted as unanswered: {dict(counted)}")
        lines.append(f"the soak was late by at most {self.late_seconds:.2f} s")
        lines += self.problems[:SHOWN_PROBLEMS]
        if self.problems:
            lines += self.faults
        return "\n  ".join(lines)


class _Play:
    """One soak on a world that has started."""

    def __init__(
        self,
        world: soak_harness.SoakHarness,
        seconds: float,
        kinds: tuple[type[soak_faults.Fault], ...],
    ) -> None:
        self._world = world
        self._seconds = seconds
        self._kinds = kinds
        self._started = time.monotonic()
        self._busy: set[str] = set()
        self.log: list[str] = []

    async def run(self) -> None:
        """Play all faults, then the calm end."""
        if soak_faults.RestoreStore in self._kinds:
            self._world.store.era = 1
        callers = [
            asyncio.create_task(self._world.call(node, number))
            for node in self._world.nodes
            for number in range(soak_harness.CALLERS_PER_NODE)
        ]
        watching = asyncio.create_task(self._watch_processes())
        async with asyncio.TaskGroup() as group:
            while self._kinds and self._now() < self._seconds:
                wait = self._world.rng.expovariate(1 / BETWEEN_FAULTS_SECONDS)
                await asyncio.sleep(wait)
                kind = self._world.rng.choice(self._kinds)
                group.create_task(self._fault(kind(self._world)))
        forgets_orders = soak_faults.KillAll in self._kinds
        await asyncio.sleep(
            RECOVERY_SECONDS if forgets_orders else SETTLING_SECONDS
        )
        self._world.ledger.calm_from = time.monotonic()
        await asyncio.sleep(CALM_SECONDS)
        # Requests that are on their way get their answers.
        self._world.callers_done = True
        await asyncio.gather(*callers)
        await self._check_readiness()
        await self._read_counters()
        watching.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watching

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
        ledger = self._world.ledger
        windows = (
            ledger.work_windows if fault.planned else (ledger.fault_windows)
        )
        for node in nodes:
            windows.setdefault(node, []).append((began, float("inf")))
        await fault.begin()
        await asyncio.sleep(lasts)
        await fault.end()
        ended = time.monotonic()
        for node in nodes:
            windows[node].remove((began, float("inf")))
            windows[node].append((began, ended))
        self._busy.discard(name)

    async def _check_readiness(self) -> None:
        for node in self._world.nodes:
            try:
                async with asyncio.timeout(COUNTERS_TIMEOUT_SECONDS):
                    shown = str(await node.sidecar.ready())
            except (aiohttp.ClientError, TimeoutError) as error:
                shown = repr(error)
            if shown != STATUS_READY:
                self._world.ledger.not_ready.append(
                    f"{node.name}: {shown}; {node.last_log_lines()}"
                )

    async def _read_counters(self) -> None:
        for node in self._world.nodes:
            try:
                async with asyncio.timeout(COUNTERS_TIMEOUT_SECONDS):
                    await node.read_unanswered()
            except (aiohttp.ClientError, TimeoutError) as error:
                self.log.append(f"no counters of {node.name}: {error!r}")

    async def _watch_processes(self) -> None:
        """Note processes that end by themselves, and start others."""
        ledger = self._world.ledger
        seen: set[asyncio.subprocess.Process] = set()
        while True:
            due = time.monotonic() + WATCH_SECONDS
            await asyncio.sleep(WATCH_SECONDS)
            ledger.late_windows.append((due, time.monotonic()))
            for node in self._world.nodes:
                for process in node.processes:
                    if process in seen:
                        continue
                    if process.returncode is None:
                        node.read_status(process)
                        continue
                    seen.add(process)
                    if not node.explains_end(process):
                        self._note_end(node, process)
                    # A fault restarts what it ends.
                    if not node.was_asked(process):
                        await node.restart()

    def _note_end(
        self, node: soak_harness.Node, process: asyncio.subprocess.Process
    ) -> None:
        self._world.ledger.ended.append(
            f"{node.name}: exit code {process.returncode}"
            f" {node.age(process):.1f} s after its start;"
            f" {node.last_log_lines()}"
        )

    def _now(self) -> float:
        return time.monotonic() - self._started


async def run_soak(
    seed: int,
    folder: pathlib.Path,
    seconds: float = SECONDS,
    nodes: int = NODES,
    bounds: bool = True,
    profile: str = "mixed",
) -> Outcome:
    """Play one seed; ``bounds`` also checks the promises in time."""
    async with soak_harness.SoakHarness(folder, nodes, seed) as world:
        made = _Play(world, seconds, PROFILES[profile])
        await made.run()
    return Outcome(
        seed=seed,
        late_seconds=max(
            until - since for since, until in world.ledger.late_windows
        ),
        problems=world.ledger.problems(bounds),
        exchanges=world.ledger.exchanges,
        faults=made.log,
        unanswered=[item.counted for item in world.ledger.unanswered],
    )


def main(arguments: list[str] | None = None) -> int:
    """Play some seeds one after another; return the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="seeds to play")
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--nodes", type=int, default=NODES)
    parser.add_argument("--profile", choices=sorted(PROFILES), default="mixed")
    given = parser.parse_args(arguments)
    code = EXIT_OK
    for seed in range(given.seed, given.seed + given.count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        outcome = asyncio.run(
            run_soak(
                seed,
                folder,
                given.seconds,
                given.nodes,
                profile=given.profile,
            )
        )
        print(outcome, flush=True)
        if outcome.problems:
            text = "\n".join([*outcome.problems, *outcome.faults, ""])
            (folder / "problems.txt").write_text(text)
            print(f"  logs and all problems in {folder}", flush=True)
            code = EXIT_BROKEN
    return code


if __name__ == "__main__":
    sys.exit(main())
