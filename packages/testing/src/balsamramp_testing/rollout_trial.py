"""Runs and measures a rollout on complete nodes in virtual time."""

import asyncio
from collections import abc
import datetime
import random
import typing

import attrs

from balsamramp_core import clock
from balsamramp_node.inbound import target_client
from balsamramp_node.rollouts import policies
from balsamramp_node.rollouts import rollout_report
from balsamramp_node.rollouts import rollout_state
from balsamramp_testing import memory_target
from balsamramp_testing import simulation
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

__all__ = ["Fault", "TrialConfig", "Trial", "TrialResult", "run"]

SERVICE = "caja"
ROUTES = {"caja-rest": "/", "caja-pagos": "/pagos"}
PAGOS_SHARE = 0.2
ZONES = ("zone-a", "zone-b", "zone-c")
OLD = "v1"
NEW = "v2"
SETTLING = datetime.timedelta(seconds=3)
END_DELAY = datetime.timedelta(seconds=4)
CHECK_INTERVAL = datetime.timedelta(milliseconds=500)
STATUS_OK = 200
STATUS_FAILED = 500
STATUS_SHED = 503
DELAY_FACTOR_RANGE = (0.8, 1.5)
LOAD_WINDOW = datetime.timedelta(seconds=1)
EXTRA = """\
[targets]
lease = 600000
initial_limit = {limit}
[rollouts]
policy = {policy}
"""


@attrs.frozen(kw_only=True)
class Fault:
    """A fault of targets: failing or slow calls.

    ``versions`` and ``zones`` select the targets; empty means all.
    ``begins`` and ``ends`` are in seconds from the start of the rollout.
    The fault applies only to a target with at least
    ``above_calls_per_second`` calls in the last second, and to calls whose
    path starts with ``path``: they fail with the probability ``failing``
    and take ``slower`` times as long.
    """

    versions: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    begins: float = 0.0
    ends: float = float("inf")
    path: str = "/"
    above_calls_per_second: float = 0.0
    failing: float = 0.0
    slower: float = 1.0


@attrs.frozen(kw_only=True)
class TrialConfig:
    """Parameters of one trial; times are in seconds of virtual time.

    ``platform_down`` is the begin and end of an outage of the platform,
    from the start of the rollout. A new target can serve ``cold_slots``
    concurrent calls in the first ``cold`` seconds of the rollout. The
    trial ends after ``horizon`` at the latest; 0 means 5 seconds after
    the old targets are no longer kept.
    """

    policy: str = "evidence"
    seed: int = 1
    faults: tuple[Fault, ...] = ()
    calls_per_second: float = 40.0
    duration: float = 60.0
    keep_old: int = 15
    platform_down: tuple[float, float] | None = None
    targets_per_zone: int = 1
    new_zones: tuple[str, ...] = ZONES
    slots: int = 20
    cold_slots: int = 20
    cold: float = 0.0
    limit: int = 20
    late: str = "take-back"
    horizon: float = 0.0


@attrs.define(eq=False)
class TrialResult:
    """Results of the rollout and of the calls during it.

    ``share`` is the share of all calls between start and end that new
    targets ran. Times are in seconds from the start of the rollout.
    ``forecast`` is the completion reported after half of the duration,
    ``extrapolated`` the policy's extrapolation at that time.
    """

    report: rollout_report.RolloutReport
    cause: str
    calls: int
    answered: int
    failed: int
    refused: int
    new_calls: int
    new_bad: int
    first_sign: float | None
    last_new_call: float | None
    ended: float
    forecast: datetime.datetime | None
    extrapolated: datetime.datetime | None

    @property
    def decision_to_last(self) -> float | None:
        """Return the seconds from the rollback decision to the last new call.

        Returns None without a rollback or without a call at a new target.
        """
        back = {phase.value for phase in rollout_state.ROLLED_BACK_PHASES}
        if self.report.phase not in back or self.last_new_call is None:
            return None
        assert self.report.decided_at is not None
        decided = self.report.decided_at - self.report.start
        return self.last_new_call - decided.total_seconds()

    @property
    def forecast_error(self) -> float | None:
        """Return the absolute error of the forecast in seconds."""
        return self._completion_error(self.forecast)

    @property
    def extrapolation_error(self) -> float | None:
        """Return the absolute error of the extrapolation in seconds."""
        return self._completion_error(self.extrapolated)

    def _completion_error(
        self, expected: datetime.datetime | None
    ) -> float | None:
        ends = [
            event.at
            for event in self.report.history
            if event.event == rollout_state.RolloutPhase.COMPLETED.value
        ]
        if not ends or expected is None:
            return None
        return abs((expected - ends[0]).total_seconds())

    @property
    def share(self) -> float:
        """Return the share of the calls that new targets ran."""
        return self.new_calls / max(1, self.calls)

    @property
    def sign_to_last(self) -> float | None:
        """Return the seconds from the first bad call to the last new call."""
        if self.first_sign is None or self.last_new_call is None:
            return None
        return self.last_new_call - self.first_sign


class TrialTarget(memory_target.MemoryTarget):
    """A target with the faults of the trial's configuration."""

    def __init__(self, name: str, version: str, zone: str, trial: "Trial"):
        super().__init__(name, slots=trial.plan.slots)
        self._version = version
        self._zone = zone
        self._trial = trial
        self._recent: list[datetime.timedelta] = []

    async def answer(
        self, request: messages.CallRequest, time: clock.Clock
    ) -> target_client.TargetResponse:
        trial = self._trial
        now = time.monotonic()
        self._recent = [at for at in self._recent if now - at < LOAD_WINDOW]
        self._recent.append(now)
        if self.in_flight >= trial.slots(self._version):
            return self._reply(STATUS_SHED)
        failing, slower = self._active_effect(request.path)
        bad = trial.random.random() < failing
        trial.record_run(self._version, bad or slower > 1.0)
        self.in_flight += 1
        try:
            spread = trial.random.uniform(*DELAY_FACTOR_RANGE)
            await time.sleep(self.delay * slower * spread)
        finally:
            self.in_flight -= 1
        return self._reply(STATUS_FAILED if bad else STATUS_OK)

    def _reply(self, status: int) -> target_client.TargetResponse:
        return target_client.TargetResponse(
            status=status, headers=(), body=self.name.encode()
        )

    def _active_effect(self, path: str) -> tuple[float, float]:
        failing, slower = 0.0, 1.0
        for fault in self._trial.plan.faults:
            if not self._applies(fault, path):
                continue
            failing = max(failing, fault.failing)
            slower = max(slower, fault.slower)
        return failing, slower

    def _applies(self, fault: Fault, path: str) -> bool:
        if fault.versions and self._version not in fault.versions:
            return False
        if fault.zones and self._zone not in fault.zones:
            return False
        if not path.startswith(fault.path):
            return False
        if len(self._recent) < fault.above_calls_per_second:
            return False
        return fault.begins <= self._trial.elapsed() < fault.ends


class Trial:
    """A running trial; a test may inject faults into its simulation."""

    def __init__(self, plan: TrialConfig) -> None:
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.world = simulation.Simulation(seed=plan.seed)
        self.started = self.world.clock.now() + 2 * SETTLING
        self.old_nodes: list[str] = []
        self.new_nodes: list[str] = []
        self.zone_of: dict[str, str] = {}
        self.counts: dict[str, int] = {}
        self.first_sign: float | None = None
        self.new_runs: list[float] = []
        self.forecast: datetime.datetime | None = None
        self.extrapolated: datetime.datetime | None = None
        self._call_task: asyncio.Task[None] | None = None
        self._in_flight: set[asyncio.Task[None]] = set()

    def elapsed(self) -> float:
        """Return the seconds since the start of the rollout."""
        return (self.world.clock.now() - self.started).total_seconds()

    def slots(self, version: str) -> int:
        """Return how many concurrent calls a target can serve now."""
        cold = version == NEW and self.elapsed() < self.plan.cold
        return self.plan.cold_slots if cold else self.plan.slots

    def record_run(self, version: str, bad: bool) -> None:
        """Record that a target of ``version`` ran a call."""
        if version != NEW:
            return
        self.new_runs.append(self.elapsed())
        if not bad:
            return
        self.counts["new_bad"] = self.counts.get("new_bad", 0) + 1
        if self.first_sign is None:
            self.first_sign = self.elapsed()

    async def start(self) -> None:
        """Start the nodes, submit the rollout and start the calls."""
        for number in range(self.plan.targets_per_zone):
            for zone in ZONES:
                self.old_nodes.append(
                    await self.start_node(f"{zone}-old-{number}", zone, OLD)
                )
                if zone not in self.plan.new_zones:
                    continue
                self.new_nodes.append(
                    await self.start_node(f"{zone}-new-{number}", zone, NEW)
                )
        await self.world.clock.sleep(SETTLING)
        documents: list[dict[str, typing.Any]] = [
            {"kind": "service", "name": SERVICE}
        ]
        for name, prefix in ROUTES.items():
            documents.append(
                {
                    "kind": "route",
                    "name": name,
                    "service": SERVICE,
                    "path_prefix": prefix,
                }
            )
        documents.append(self.intent())
        await self.world.apply(self.old_nodes[0], *documents)
        await self.world.clock.sleep(SETTLING)
        self._call_task = asyncio.create_task(self._send_calls())
        if self.plan.platform_down is not None:
            outage = self._run_platform_outage(*self.plan.platform_down)
            self._in_flight.add(asyncio.create_task(outage))

    def intent(self, **changes: typing.Any) -> dict[str, typing.Any]:
        """Return the rollout resource, with ``changes`` to its fields."""
        duration = datetime.timedelta(seconds=self.plan.duration)
        return {
            "kind": "rollout",
            "name": "caja-v2",
            "service": SERVICE,
            "old": OLD,
            "new": NEW,
            "start": self.started.isoformat(),
            "deadline": (self.started + duration).isoformat(),
            "keep_old_seconds": self.plan.keep_old,
            "late": self.plan.late,
            **changes,
        }

    async def start_node(self, name: str, zone: str, version: str) -> str:
        """Start a node with one target; return the node's name."""
        extra = EXTRA.format(policy=self.plan.policy, limit=self.plan.limit)
        node = await self.world.start_node(name, zone, extra)
        target = f"{name}-target"
        node.targets.targets[target] = TrialTarget(target, version, zone, self)
        self.world.announce(name, target, SERVICE, version)
        self.zone_of[name] = zone
        return name

    def _record_forecast(self) -> None:
        report = self.report()
        self.forecast = report.forecast
        for node in self.world.nodes.values():
            controller = node.core.rollout_controller
            state = controller.state(report.intent)
            intent = controller.intents.get(report.intent)
            if state is None or intent is None:
                continue
            now = self.world.clock.now()
            policy = policies.find_policy(self.plan.policy)()
            self.extrapolated = policy.extrapolate(intent, state, now)
            return

    def report(self) -> rollout_report.RolloutReport:
        """Return the report with the most calls at old targets."""
        reports = [
            node.core.rollout_controller.report()[0]
            for node in self.world.nodes.values()
            if node.core.rollout_controller.report()
        ]
        return max(reports, key=lambda item: item.old_calls.calls)

    async def wait(self, seconds: float) -> None:
        """Wait in virtual time."""
        await self.world.clock.sleep(datetime.timedelta(seconds=seconds))

    async def wait_until(self, elapsed: float) -> None:
        """Wait until ``elapsed`` seconds after the start of the rollout."""
        await self.wait(max(0.0, elapsed - self.elapsed()))

    async def wait_until_ended(self) -> None:
        """Wait until all nodes report a final phase, then ``END_DELAY``.

        Returns without it when the horizon of the trial has passed.
        """
        plan = self.plan
        horizon = plan.horizon or plan.duration + plan.keep_old + 5.0
        while self.elapsed() < horizon:
            await self.world.clock.sleep(CHECK_INTERVAL)
            if self.forecast is None and self.elapsed() >= plan.duration / 2:
                self._record_forecast()
            phases = {
                report.phase
                for node in self.world.nodes.values()
                for report in node.core.rollout_controller.report()
            }
            final = {"finished", "expired", "taken-back"}
            if phases and phases <= final:
                await self.world.clock.sleep(END_DELAY)
                return

    async def stop(self) -> TrialResult:
        """Stop the calls and nodes and return the results."""
        assert self._call_task is not None
        self._call_task.cancel()
        for task in self._in_flight:
            task.cancel()
        await asyncio.gather(
            self._call_task, *self._in_flight, return_exceptions=True
        )
        report = self.report()
        causes = [
            event.cause
            for event in report.history
            if event.event == report.phase
            and event.event
            in {item.value for item in rollout_state.ROLLED_BACK_PHASES}
        ]
        trial_result = TrialResult(
            report=report,
            cause=causes[0] if causes else "",
            calls=self.counts.get("calls", 0),
            answered=self.counts.get("answered", 0),
            failed=self.counts.get("failed", 0),
            refused=self.counts.get("refused", 0),
            new_calls=len(self.new_runs),
            new_bad=self.counts.get("new_bad", 0),
            first_sign=self.first_sign,
            last_new_call=self.new_runs[-1] if self.new_runs else None,
            ended=self.elapsed(),
            forecast=self.forecast,
            extrapolated=self.extrapolated,
        )
        await self.world.stop()
        return trial_result

    async def _run_platform_outage(self, begin: float, end: float) -> None:
        await self.wait_until(begin)
        self.world.faults.down = True
        await self.wait_until(end)
        self.world.faults.down = False

    async def _send_calls(self) -> None:
        while True:
            gap = self.random.expovariate(self.plan.calls_per_second)
            await asyncio.sleep(gap)
            if self.elapsed() < 0 or not self.world.nodes:
                continue
            node = self.random.choice(sorted(self.world.nodes))
            task = asyncio.create_task(self._call(node))
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)

    async def _call(self, node: str) -> None:
        path = "/rest"
        if self.random.random() < PAGOS_SHARE:
            path = "/pagos"
        reply = await self.world.call(node, SERVICE, path=path)
        self._increment("calls")
        if isinstance(reply, messages.CallFailure):
            self._increment("refused")
        elif reply.status >= STATUS_FAILED:
            self._increment("failed")
        else:
            self._increment("answered")

    def _increment(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1


Script = abc.Callable[[Trial], abc.Coroutine[typing.Any, typing.Any, None]]


def run(plan: TrialConfig, disturb: Script | None = None) -> TrialResult:
    """Run one trial, with ``disturb`` beside it, and return its result."""

    async def _main() -> TrialResult:
        trial = Trial(plan)
        await trial.start()
        disturbance = None
        if disturb is not None:
            disturbance = asyncio.create_task(disturb(trial))
        await trial.wait_until_ended()
        if disturbance is not None:
            await disturbance
        return await trial.stop()

    return virtual_time.run(_main())
