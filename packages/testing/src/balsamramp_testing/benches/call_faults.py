"""Call faults: calls answered, refused, doubled and lost under faults.

Whole nodes run on fakes in virtual time, so each run with the same seed
gives the same figures. Usage::

    python -m balsamramp_testing.benches.call_faults [FAULT ...]
"""

import asyncio
from collections import abc
import datetime
import math
import sys
import typing
from unittest import mock

import attrs

from balsamramp_core import verdict
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import peer_stream
from balsamramp_testing import memory_target
from balsamramp_testing import simulation
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

__all__ = ["FAULTS", "VARIANTS", "Outcomes", "Variant", "main", "run"]

SEED = 7
ZONES = ("zone-a", "zone-b", "zone-c")
NODES = 6
DELAY = datetime.timedelta(milliseconds=100)
SLOW_DELAY = datetime.timedelta(milliseconds=1000)
FAILING_DELAY = datetime.timedelta(milliseconds=1)
DEADLINE = datetime.timedelta(milliseconds=500)
CALLS_PER_SECOND = 600
WARM_UP = datetime.timedelta(seconds=10)
DURATION = datetime.timedelta(seconds=6)
SILENT_SHARE = 0.1
NEVER = datetime.timedelta(days=1)
STATUS_OK = 200

Act = abc.Callable[["Run"], None]


@attrs.frozen
class Variant:
    """A way to route and to admit calls, with or without pings."""

    name: str
    picker: str
    admission: str
    initial_limit: int
    pings: bool = True


VARIANTS = (
    Variant("round robin, no limit", "round-robin", "fixed", 1000, False),
    Variant("round robin, limit 20", "round-robin", "fixed", 20, False),
    Variant("least of two, no limit", "least-of-two", "fixed", 1000, False),
    Variant("least of two, limit 20", "least-of-two", "fixed", 20, False),
    Variant("balsamramp", "zone-first", "adaptive", 4),
)


@attrs.define
class Outcomes:
    """How the calls of one run ended.

    ``false_verdicts`` are calls told "not run" that ran, ``doubled``
    non-idempotent calls that ran twice, ``lost`` calls that never came
    back, ``excess`` calls that a cold target got beyond what it bears.
    """

    sent: int = 0
    in_time: int = 0
    refused: int = 0
    in_doubt: int = 0
    failed: int = 0
    false_verdicts: int = 0
    doubled: int = 0
    lost: int = 0
    excess: int = 0
    falls: int = 0


class Run:
    """One run of one variant under one fault."""

    def __init__(self, variant: Variant, act: Act) -> None:
        self._variant = variant
        self._act = act
        self._tasks: set[asyncio.Task[None]] = set()
        self._ended: dict[bytes, call_transport.Reply | None] = {}
        self.world = simulation.Simulation(SEED)
        self.targets: list[memory_target.MemoryTarget] = []
        self.entries: list[str] = []

    async def measure(self) -> Outcomes:
        """Warm up, bring about the fault and count how calls end."""
        await self._start()
        await self._load(WARM_UP, "w")
        before = [(item.excess, item.crash_count) for item in self.targets]
        self._act(self)
        await self._load(DURATION, "m")
        await self.world.clock.sleep(2 * DEADLINE)
        outcomes = self._count()
        for item, (excess, falls) in zip(self.targets, before, strict=True):
            outcomes.excess += item.excess - excess
            outcomes.falls += item.crash_count - falls
        return outcomes

    def restart(self, index: int) -> None:
        """Announce target ``index`` as freshly started, and cold."""
        target = self.targets[index]
        target.turn_cold(self.world.clock.monotonic())
        self.world.announce(f"n{index}", target.name, "caja", instance="2")

    async def _start(self) -> None:
        variant = self._variant
        extra = (
            "[targets]\nlease = 600000\n"
            f"admission = {variant.admission}\n"
            f"initial_limit = {variant.initial_limit}\n"
            f"[calls]\npicker = {variant.picker}\n"
        )
        for index in range(NODES):
            name = f"n{index}"
            await self.world.start_node(name, ZONES[index % 3], extra)
            target = self.world.announce(name, f"caja-{index}", "caja")
            target.delay = DELAY
            self.targets.append(target)
            self.entries.append(name)
        await self.world.apply(
            "n0",
            {"kind": "service", "name": "caja"},
            {"kind": "route", "name": "caja-all", "service": "caja"},
        )
        await self.world.clock.sleep(datetime.timedelta(seconds=3))

    async def _load(self, duration: datetime.timedelta, prefix: str) -> None:
        count = math.floor(CALLS_PER_SECOND * duration.total_seconds())
        for number in range(count):
            entry = self.entries[number % len(self.entries)]
            body = f"{prefix}{number}".encode()
            method = ("GET", "POST")[number // len(self.entries) % 2]
            if prefix == "m":
                self._ended[body] = None
            task = asyncio.create_task(self._call(entry, method, body))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / CALLS_PER_SECOND)

    async def _call(self, entry: str, method: str, body: bytes) -> None:
        reply = await self.world.call(
            entry, "caja", method, f"/{method}", body, DEADLINE
        )
        if body in self._ended:
            self._ended[body] = reply

    def _count(self) -> Outcomes:
        outcomes = Outcomes(sent=len(self._ended))
        for number, (body, reply) in enumerate(self._ended.items()):
            runs = sum(item.runs.get(body, 0) for item in self.targets)
            idempotent = number // len(self.entries) % 2 == 0
            if runs > 1 and not idempotent:
                outcomes.doubled += 1
            _count_reply(outcomes, reply, runs)
        return outcomes


def _count_reply(
    outcomes: Outcomes, reply: call_transport.Reply | None, runs: int
) -> None:
    if reply is None:
        outcomes.lost += 1
        return
    if isinstance(reply, messages.CallAnswer):
        if reply.status == STATUS_OK:
            outcomes.in_time += 1
            return
        outcomes.failed += 1
        return
    if reply.failure.verdict is not verdict.Verdict.NOT_RUN:
        outcomes.in_doubt += 1
        return
    outcomes.refused += 1
    if runs:
        outcomes.false_verdicts += 1


def _nothing(measured: Run) -> None:
    measured.world.network.loss_share = 0.0


def _cold_start(measured: Run) -> None:
    measured.restart(0)


def _herd_restart(measured: Run) -> None:
    for index in (0, 1, 2):
        measured.restart(index)


def _turning_cold(measured: Run) -> None:
    measured.targets[0].turn_cold(measured.world.clock.monotonic())


def _silent_connections(measured: Run) -> None:
    choice = measured.world.random
    for node in measured.world.nodes.values():
        streams = node.connector.opened
        for writer in choice.sample(streams, math.ceil(len(streams) / 5)):
            writer.go_silent()
        node.connector.blackhole_after = lambda: (
            choice.random() if choice.random() < SILENT_SHARE else None
        )


def _slow_target(measured: Run) -> None:
    measured.targets[0].delay = SLOW_DELAY


def _lying_health(measured: Run) -> None:
    measured.targets[0].delay = FAILING_DELAY
    measured.targets[0].failing_paths = ("/",)


def _zone_gone(measured: Run) -> None:
    for index in (2, 5):
        measured.world.network.down.add(f"n{index}")
    measured.entries = [
        name for name in measured.entries if name not in ("n2", "n5")
    ]


FAULTS: dict[str, Act] = {
    "no fault": _nothing,
    "cold start under full load": _cold_start,
    "half of the targets restart": _herd_restart,
    "target turning cold": _turning_cold,
    "silent connections": _silent_connections,
    "one slow target": _slow_target,
    "lying health endpoint": _lying_health,
    "zone gone": _zone_gone,
}


def run(variant: Variant, fault: str) -> Outcomes:
    """Return how the calls of ``variant`` end under ``fault``."""
    act = FAULTS[fault]
    if variant.pings:
        return virtual_time.run(_measure(variant, act))
    patient = attrs.evolve(peer_stream.DEFAULT_KEEPALIVE, ping_after=NEVER)
    with mock.patch.object(peer_stream, "DEFAULT_KEEPALIVE", patient):
        return virtual_time.run(_measure(variant, act))


async def _measure(variant: Variant, act: Act) -> Outcomes:
    return await Run(variant, act).measure()


def main(arguments: abc.Sequence[str]) -> None:
    """Print one table for each fault."""
    columns = [field.name for field in attrs.fields(Outcomes)]
    for fault in arguments or FAULTS:
        print(f"\n{fault}\n")
        print("| variant | " + " | ".join(columns) + " |")
        print("|---|" + "---|" * len(columns))
        for variant in VARIANTS:
            found: dict[str, typing.Any] = attrs.asdict(run(variant, fault))
            cells = " | ".join(str(found[name]) for name in columns)
            print(f"| {variant.name} | {cells} |", flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
