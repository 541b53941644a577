"""Runs and measures the evacuation and return of zones under load."""

import asyncio
from collections import abc
import datetime
import math
import random
import typing

import attrs

from balsamramp_core import clock
from balsamramp_core import verdict
from balsamramp_node.inbound import target_client
from balsamramp_testing import memory_target
from balsamramp_testing import simulation
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

__all__ = ["Call", "Phase", "TrialConfig", "Trial", "run", "summarize"]

SERVICE = "reservas"
ZONES = ("zone-a", "zone-b", "zone-c")
SETTLING = datetime.timedelta(seconds=6)
LATENCY_QUANTILE = 0.99
STATUS_OK = 200
STATUS_SHED = 503
EXTRA = """\
[targets]
lease = 600000
admission = {admission}
initial_limit = {limit}
"""


@attrs.frozen(kw_only=True)
class TrialConfig:
    """Load and targets of one trial.

    A call takes ``delay`` at a warm target, and ``cold_factor`` times as
    long at a cold one. A target is cold for ``cold`` seconds after its
    restart and can then serve only ``cold_slots`` concurrent calls.
    """

    seed: int = 1
    calls_per_second: float = 150.0
    targets_per_zone: int = 2
    slots: int = 20
    cold_slots: int = 3
    cold: float = 8.0
    cold_factor: float = 4.0
    delay: datetime.timedelta = datetime.timedelta(milliseconds=20)
    timeout: datetime.timedelta = datetime.timedelta(seconds=1)
    return_seconds: int = 30
    admission: str = "fixed"
    limit: int = 20


@attrs.frozen(kw_only=True)
class Call:
    """One call of the trial.

    ``sent`` is in seconds from the start of the load; ``took`` is the
    duration in seconds.
    """

    zone: str
    sent: float
    took: float
    answered: bool
    ran: verdict.Verdict


@attrs.frozen(kw_only=True)
class Phase:
    """Results of the calls sent in one interval.

    ``slowest`` is the 99th percentile of the latency in seconds.
    """

    calls: int
    answered: int
    refused: int
    lost: int
    slowest: float


class ZoneTarget(memory_target.MemoryTarget):
    """A target that is cold for some seconds after each restart."""

    def __init__(self, name: str, zone: str, trial: "Trial") -> None:
        super().__init__(name)
        self._zone = zone
        self._trial = trial
        self.restarted = -math.inf

    async def answer(
        self, request: messages.CallRequest, time: clock.Clock
    ) -> target_client.TargetResponse:
        trial = self._trial
        plan = trial.plan
        trial.arrivals.append((trial.elapsed(), self._zone))
        cold = trial.elapsed() < self.restarted + plan.cold
        if self.in_flight >= (plan.cold_slots if cold else plan.slots):
            return self._reply(STATUS_SHED)
        factor = plan.cold_factor if cold else 1.0
        self.in_flight += 1
        try:
            await time.sleep(plan.delay * factor)
        finally:
            self.in_flight -= 1
        return self._reply(STATUS_OK)

    def _reply(self, status: int) -> target_client.TargetResponse:
        return target_client.TargetResponse(
            status=status, headers=(), body=self.name.encode()
        )


class Trial:
    """A running trial; ``arrivals`` lists time and zone of target calls."""

    def __init__(self, plan: TrialConfig) -> None:
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.world = simulation.Simulation(seed=plan.seed)
        self.nodes: dict[str, list[str]] = {zone: [] for zone in ZONES}
        self.targets: dict[str, ZoneTarget] = {}
        self.arrivals: list[tuple[float, str]] = []
        self.calls: list[Call] = []
        self._started_at = datetime.timedelta()
        self._call_task: asyncio.Task[None] | None = None
        self._in_flight: set[asyncio.Task[None]] = set()

    def elapsed(self) -> float:
        """Return the seconds since the start of the load."""
        passed = self.world.clock.monotonic() - self._started_at
        return passed.total_seconds()

    async def start(self) -> None:
        """Start nodes and targets, submit the route and start the load."""
        for number in range(self.plan.targets_per_zone):
            for zone in ZONES:
                await self._start_node(f"{zone}-{number}", zone)
        await self.world.clock.sleep(SETTLING)
        await self.world.apply(
            "zone-a-0",
            {"kind": "service", "name": SERVICE},
            {"kind": "route", "name": "all", "service": SERVICE},
        )
        await self.world.clock.sleep(SETTLING)
        self._started_at = self.world.clock.monotonic()
        self._call_task = asyncio.create_task(self._send_calls())

    async def declare(self, zone: str, out: bool, node: str = "") -> int:
        """Declare ``zone`` out of service or back in service.

        Submits the change through ``node`` and returns its version.
        """
        document = {
            "kind": "zone",
            "name": zone,
            "out": out,
            "since": self.world.clock.now().isoformat(),
            "return_seconds": self.plan.return_seconds,
        }
        return await self.world.apply(node or "zone-a-0", document)

    def restart_targets(self, zone: str) -> None:
        """Restart the targets of ``zone``, so that they are cold."""
        for node in self.nodes[zone]:
            target = self.targets[node]
            target.restarted = self.elapsed()
            self.world.announce(
                node, target.name, SERVICE, instance=f"{self.elapsed()}"
            )

    def arrived(self, zone: str, begin: float, end: float) -> int:
        """Return how many calls arrived at ``zone`` in the interval."""
        return sum(
            begin <= at < end
            for at, arrival_zone in self.arrivals
            if arrival_zone == zone
        )

    async def wait_until(self, elapsed: float) -> None:
        """Wait until ``elapsed`` seconds after the start of the load."""
        left = max(0.0, elapsed - self.elapsed())
        await self.world.clock.sleep(datetime.timedelta(seconds=left))

    async def call(self, node: str) -> None:
        """Send one call through ``node`` and record its result."""
        sent = self.elapsed()
        reply = await self.world.call(
            node, SERVICE, timeout=self.plan.timeout, body=f"{sent}".encode()
        )
        answered = isinstance(reply, messages.CallAnswer)
        ran = verdict.Verdict.RAN
        if isinstance(reply, messages.CallFailure):
            ran = reply.failure.verdict
        self.calls.append(
            Call(
                zone=node.rpartition("-")[0],
                sent=sent,
                took=self.elapsed() - sent,
                answered=answered,
                ran=ran,
            )
        )

    async def stop(self) -> None:
        """Stop the load, wait for calls in flight and stop the nodes."""
        assert self._call_task is not None
        self._call_task.cancel()
        await asyncio.gather(
            self._call_task, *self._in_flight, return_exceptions=True
        )
        await self.world.stop()

    async def _start_node(self, name: str, zone: str) -> None:
        extra = EXTRA.format(
            admission=self.plan.admission, limit=self.plan.limit
        )
        node = await self.world.start_node(name, zone, extra)
        target = ZoneTarget(f"{name}-target", zone, self)
        node.targets.targets[target.name] = target
        self.world.announce(name, target.name, SERVICE)
        self.targets[name] = target
        self.nodes[zone].append(name)

    async def _send_calls(self) -> None:
        while True:
            gap = self.random.expovariate(self.plan.calls_per_second)
            await asyncio.sleep(gap)
            node = self.random.choice(sorted(self.world.nodes))
            task = asyncio.create_task(self.call(node))
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)


Script = abc.Callable[[Trial], abc.Coroutine[typing.Any, typing.Any, None]]


def run(plan: TrialConfig, script: Script) -> Trial:
    """Run ``script`` on a started trial and return the trial."""

    async def _main() -> Trial:
        trial = Trial(plan)
        await trial.start()
        await script(trial)
        await trial.stop()
        return trial

    return virtual_time.run(_main())


def summarize(trial: Trial, begin: float, end: float) -> Phase:
    """Return the results of the calls sent in the interval."""
    calls = [call for call in trial.calls if begin <= call.sent < end]
    times = sorted(call.took for call in calls if call.answered)
    index = min(len(times) - 1, int(LATENCY_QUANTILE * len(times)))
    return Phase(
        calls=len(calls),
        answered=len(times),
        refused=sum(
            call.ran is verdict.Verdict.NOT_RUN
            for call in calls
            if not call.answered
        ),
        lost=sum(call.ran is verdict.Verdict.MAY_HAVE_RUN for call in calls),
        slowest=times[index] if times else math.nan,
    )
