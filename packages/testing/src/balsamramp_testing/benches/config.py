"""Bench of configuration: convergence, control traffic and its cost.

``python -m balsamramp_testing.benches.config`` runs every fleet in every
scenario at several sizes, in one process and in virtual time, and prints
a table and the lines fitted to it. Processor time is real, that of the
whole process, divided by the nodes; it leaves out gRPC, which
``config_costs`` measures between processes.
"""

import argparse
import asyncio
from collections import abc
import datetime
import json
import math
import time
import typing

import attrs
from returns.primitives import exceptions

from balsamramp_testing import virtual_time
from balsamramp_testing.benches import config_fleets
from balsamramp_testing.benches import fits

__all__ = ["SCENARIOS", "Outcome", "main", "run"]

IDLE = datetime.timedelta(seconds=20)
DRAIN = datetime.timedelta(seconds=15)
AWAY = datetime.timedelta(seconds=60)
CUT = datetime.timedelta(seconds=30)
PLATFORM_DELAY = datetime.timedelta(milliseconds=5)
SECOND = datetime.timedelta(seconds=1)
TARGET_NODES = 19_000
CUT_ZONE = "zone-1"


@attrs.define(kw_only=True)
class Outcome:
    """What one run showed; rates are per second of virtual time."""

    fleet: str
    scenario: str
    nodes: int
    zones: int
    changes: int = 0
    seconds: float = 0.0
    p50_s: float = 0.0
    p99_s: float = 0.0
    max_s: float = 0.0
    missed: int = 0
    refused: int = 0
    answer_p99_s: float = 0.0
    messages_per_node_s: float = 0.0
    bytes_per_node_s: float = 0.0
    bytes_busiest_node_s: float = 0.0
    platform_reads_s: float = 0.0
    platform_writes_s: float = 0.0
    core_share: float = 0.0
    idle_core_share: float = 0.0
    cpu_us_per_change_node: float = 0.0


class _Run:
    """One fleet in one scenario, with its records."""

    def __init__(self, fleet: str, size: int, zones: int) -> None:
        fleet_type = config_fleets.find_fleet(fleet)
        self.fleet = fleet_type(size, zones, self._seen)
        self.accepted_at: dict[int, datetime.timedelta] = {}
        self.ready_at: dict[str, datetime.timedelta] = {}
        self.first_seen: dict[str, dict[int, datetime.timedelta]] = {}
        self.refused = 0
        self.answers: list[float] = []
        self.labels = 0

    def now(self) -> datetime.timedelta:
        return self.fleet.world.clock.monotonic()

    async def submit(self) -> None:
        self.labels += 1
        asked_at = self.now()
        try:
            version = await self.fleet.submit(f"t{self.labels}")
        except exceptions.UnwrapFailedError:
            self.refused += 1
            return
        self.accepted_at.setdefault(version, self.now())
        self.answers.append((self.now() - asked_at).total_seconds())

    async def changes(self, count: int, interval: datetime.timedelta) -> None:
        tasks = []
        for _ in range(count):
            tasks.append(asyncio.create_task(self.submit()))
            await self.fleet.world.clock.sleep(interval)
        await asyncio.gather(*tasks)

    def delays(self) -> tuple[list[float], int]:
        """Return the delay of each version at each node, and the missed.

        A node's delay counts from the acceptance, or from when the node
        was started or its zone healed, whichever was later.
        """
        found: list[float] = []
        missed = 0
        for node in self.fleet.zone_of:
            ready_at = self.ready_at.get(node, datetime.timedelta())
            seen = self.first_seen.get(node, {})
            for version, accepted_at in self.accepted_at.items():
                at = _first(seen, version)
                if at is None:
                    missed += 1
                    continue
                since = max(accepted_at, ready_at)
                found.append(max(0.0, (at - since).total_seconds()))
        return sorted(found), missed

    def _seen(self, node: str, version: int) -> None:
        self.first_seen.setdefault(node, {}).setdefault(version, self.now())


def _first(
    seen: abc.Mapping[int, datetime.timedelta], version: int
) -> datetime.timedelta | None:
    at = seen.get(version)
    if at is not None:
        return at
    later = [item for held, item in seen.items() if held > version]
    return min(later) if later else None


async def _steady(run: _Run) -> None:
    await run.changes(30, SECOND)


async def _few(run: _Run) -> None:
    await run.changes(5, SECOND)


async def _burst(run: _Run) -> None:
    await run.changes(500, SECOND / 100)


async def _herd(run: _Run) -> None:
    zone = [
        name for name, where in run.fleet.zone_of.items() if where == CUT_ZONE
    ]
    herd = zone[: max(1, len(zone) // 3)]
    for name in herd:
        await run.fleet.kill(name)
        run.first_seen.pop(name, None)
    await run.changes(30, SECOND)
    for name in herd:
        run.ready_at[name] = run.now()
    for name in herd:
        await run.fleet.start_again(name)
    await run.changes(10, SECOND)


async def _away(run: _Run) -> None:
    run.fleet.world.faults.down = True
    await run.fleet.world.clock.sleep(AWAY)
    run.fleet.world.faults.down = False
    await run.changes(10, SECOND)


async def _cut(run: _Run) -> None:
    others = {*run.fleet.zone_of.values(), "platform"} - {CUT_ZONE}
    for other in sorted(others):
        run.fleet.world.network.partition(CUT_ZONE, other)
    outside = asyncio.create_task(run.changes(30, SECOND))
    await run.fleet.world.clock.sleep(CUT)
    for other in sorted(others):
        run.fleet.world.network.heal(CUT_ZONE, other)
    for name, zone in run.fleet.zone_of.items():
        if zone == CUT_ZONE:
            run.ready_at[name] = run.now()
    await outside


Scenario = abc.Callable[[_Run], abc.Awaitable[None]]

SCENARIOS: dict[str, Scenario] = {
    "steady": _steady,
    "burst": _burst,
    "herd": _herd,
    "away": _away,
    "cut": _cut,
    "few": _few,
}
PLAN: dict[str, tuple[str, ...]] = {
    "tree": ("steady", "burst", "herd", "away", "cut"),
    "poll": ("steady", "burst", "herd", "away", "cut"),
    "flood": ("few",),
}


async def run(fleet: str, scenario: str, size: int, zones: int) -> Outcome:
    """Run one scenario and return what it showed."""
    made = _Run(fleet, size, zones)
    world = made.fleet.world
    world.faults.delay = PLATFORM_DELAY
    await made.fleet.start()
    idle_from = time.process_time()
    await world.clock.sleep(IDLE)
    idle_s = time.process_time() - idle_from
    idle_share = idle_s / IDLE.total_seconds() / size
    world.network.traffic.clear()
    before = (world.table.reads, world.table.writes)
    started_at = made.now()
    cpu_from = time.process_time()
    await SCENARIOS[scenario](made)
    await world.clock.sleep(DRAIN)
    cpu_s = time.process_time() - cpu_from
    seconds = (made.now() - started_at).total_seconds()
    outcome = Outcome(
        fleet=fleet,
        scenario=scenario,
        nodes=size,
        zones=zones,
        seconds=seconds,
    )
    _fill_convergence(outcome, made)
    _fill_traffic(outcome, made)
    outcome.platform_reads_s = (world.table.reads - before[0]) / seconds
    outcome.platform_writes_s = (world.table.writes - before[1]) / seconds
    outcome.core_share = cpu_s / seconds / size
    outcome.idle_core_share = idle_share
    above_idle_s = cpu_s - idle_share * size * seconds
    outcome.cpu_us_per_change_node = (
        above_idle_s * 1e6 / size / max(1, outcome.changes)
    )
    await made.fleet.stop()
    return outcome


def _fill_convergence(outcome: Outcome, made: _Run) -> None:
    outcome.changes = len(made.accepted_at)
    outcome.refused = made.refused
    delays, outcome.missed = made.delays()
    outcome.p50_s = _quantile(delays, 0.5)
    outcome.p99_s = _quantile(delays, 0.99)
    outcome.max_s = _quantile(delays, 1.0)
    outcome.answer_p99_s = _quantile(sorted(made.answers), 0.99)


def _quantile(ordered: abc.Sequence[float], share: float) -> float:
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(len(ordered) * share) - 1)]


def _fill_traffic(outcome: Outcome, made: _Run) -> None:
    traffic = list(made.fleet.world.network.traffic.values())
    per_node_s = outcome.nodes * outcome.seconds
    sent = sum(item.messages for item in traffic)
    size = sum(item.bytes for item in traffic)
    outcome.messages_per_node_s = sent / per_node_s
    outcome.bytes_per_node_s = size / per_node_s
    busiest = max((item.bytes for item in traffic), default=0)
    outcome.bytes_busiest_node_s = busiest / outcome.seconds


FITTED = (
    "p99_s",
    "messages_per_node_s",
    "bytes_per_node_s",
    "bytes_busiest_node_s",
    "platform_reads_s",
    "core_share",
    "cpu_us_per_change_node",
)


def print_fits(outcomes: abc.Sequence[Outcome]) -> None:
    """Print lines through the sizes and what they give at the target."""
    print("\nfits: value = a + b * n, and a + b * log2(n), at 19,000 nodes")
    groups: dict[tuple[str, str], list[Outcome]] = {}
    for item in outcomes:
        groups.setdefault((item.fleet, item.scenario), []).append(item)
    for (fleet, scenario), items in groups.items():
        if len(items) < fits.POINTS_MIN:
            continue
        for field in FITTED:
            points = [(item.nodes, getattr(item, field)) for item in items]
            linear = fits.fit(points)
            logarithmic = fits.fit([(math.log2(x), y) for x, y in points])
            print(
                f"{fleet:6} {scenario:7} {field:23}"
                f" {linear.at(TARGET_NODES):12.4g}"
                f" (error {linear.error:.2g})"
                f" {logarithmic.at(math.log2(TARGET_NODES)):12.4g}"
                f" (error {logarithmic.error:.2g})"
            )


def print_outcome(outcome: Outcome) -> None:
    """Print one row of the table."""
    row = attrs.asdict(outcome)
    cells = []
    for name, value in row.items():
        text = f"{value:.4g}" if isinstance(value, float) else str(value)
        cells.append(f"{name}={text}")
    print(" ".join(cells), flush=True)


def main(arguments: typing.Sequence[str] | None = None) -> None:
    """Run the plan at the sizes asked for and print what it showed."""
    parser = argparse.ArgumentParser(description="Bench of configuration.")
    parser.add_argument("--sizes", default="20,60,150")
    parser.add_argument("--zones", type=int, default=4)
    parser.add_argument("--fleets", default=",".join(PLAN))
    parser.add_argument("--scenarios", default=",".join(SCENARIOS))
    parser.add_argument("--json", default="", help="write the rows here")
    parsed = parser.parse_args(arguments)
    outcomes = []
    for fleet in parsed.fleets.split(","):
        for scenario in PLAN[fleet]:
            if scenario not in parsed.scenarios.split(","):
                continue
            for size in parsed.sizes.split(","):
                outcome = virtual_time.run(
                    run(fleet, scenario, int(size), parsed.zones)
                )
                print_outcome(outcome)
                outcomes.append(outcome)
    print_fits(outcomes)
    if parsed.json:
        with open(parsed.json, "w", encoding="utf-8") as output:
            json.dump([attrs.asdict(item) for item in outcomes], output)


if __name__ == "__main__":
    main()
