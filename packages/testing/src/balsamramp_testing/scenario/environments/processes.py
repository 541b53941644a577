"""Processes: the stage of real nodes and stand-ins on loopback."""

import asyncio
import datetime
import signal
import typing

import aiohttp

from balsamramp_core import clock
from balsamramp_testing import fleet as fleet_module
from balsamramp_testing.scenario import environment
from balsamramp_testing.scenario import record

__all__ = ["ProcessEnvironment"]

CALL_TIMEOUT = datetime.timedelta(seconds=3)
KEYED_PAUSE = datetime.timedelta(milliseconds=300)
KEYED_ATTEMPTS = 8
STOP_TIMEOUT_SECONDS = 15
UNSUPPORTED = ("cold_slots", "fails_after", "fails_over", "slow_after")


class ProcessEnvironment(environment.Environment):
    """Runs a scenario on processes, in the machine's time.

    The runs at the targets are read at the end, without their times, so
    of what must always hold only the lines on answers, verdicts and
    at-most-once can be checked.
    """

    name = "processes"
    doc = "real nodes, targets and platform as processes on loopback"

    def __init__(self, fleet: fleet_module.Fleet, seed: int) -> None:
        super().__init__(clock.SystemClock(), seed)
        self._fleet = fleet
        self._platform: fleet_module.Process | None = None
        self._plans: dict[str, record.TargetSpec] = {}
        self._alive: set[str] = set()
        self._frozen: set[str] = set()
        self._faults: dict[str, typing.Any] = {"down": False, "delay": 0}
        self._sent = 0
        self._version = 0

    async def prepare(self) -> None:
        """Start the platform."""
        self._platform = await self._fleet.start_platform()

    async def finish(self) -> None:
        await super().finish()
        for target, plan in self._plans.items():
            await self._read_runs(target, plan)

    async def start_node(self, node: str, zone: str) -> None:
        if node in self._alive:
            return
        zone = zone or self._fleet.nodes[node].zone
        await self._fleet.start_node(node, zone)
        self._alive.add(node)

    async def kill_node(self, node: str) -> None:
        self._fleet.nodes[node].kill()
        self._alive.discard(node)

    async def stop_node(self, node: str) -> None:
        process = self._fleet.nodes[node]
        self._alive.discard(node)
        process.send_signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(
            None, process.popen.wait, STOP_TIMEOUT_SECONDS
        )

    async def pause_node(self, node: str, paused: bool) -> None:
        process = self._fleet.nodes[node]
        if paused:
            self._frozen.add(node)
            process.send_signal(signal.SIGSTOP)
            return
        self._frozen.discard(node)
        process.send_signal(signal.SIGCONT)

    async def start_target(self, target: record.TargetSpec) -> None:
        self._plans[target.name] = target
        node = self._fleet.nodes[target.node]
        await self._fleet.start_target(
            target.name, target.service, target.version, node
        )
        await self._behave(target)

    async def kill_target(self, target: str) -> None:
        await self._read_runs(target, self._plans[target])
        self._fleet.targets[target].kill()
        self._plans.pop(target)

    def change_target(self, target: str, **changes: typing.Any) -> None:
        plan = self._plans[target]
        for name, value in changes.items():
            setattr(plan, name, value)
        self.run_in_background(self._behave(plan))

    async def set_platform(
        self, down: bool | None, delay: datetime.timedelta | None
    ) -> None:
        if down is not None:
            self._faults["down"] = down
        if delay is not None:
            self._faults["delay"] = f"PT{delay.total_seconds()}S"
        assert self._platform is not None
        url = f"{self._platform.url('http')}/faults"
        faults = {**self._faults, "write_faults": []}
        if not faults["delay"]:
            faults["delay"] = "PT0S"
        async with self._fleet.session.put(url, json=faults) as response:
            response.raise_for_status()

    async def submit(
        self,
        puts: list[dict[str, typing.Any]],
        deletes: list[tuple[str, str]],
        through: str | None,
    ) -> None:
        nodes = self.entry_nodes("")
        node = through if through in nodes else nodes[0]
        change = {"author": "scenario", "puts": puts, "deletes": deletes}
        accepted = await self._fleet.submit(self._fleet.nodes[node], change)
        outcome = "accepted"
        if "version" not in accepted:
            unknown = accepted.get("accepted", False) is None
            outcome = "unknown" if unknown else "rejected"
        self.history.submissions.append(outcome)
        self._version = max(self._version, accepted.get("version", 0))

    async def call(
        self, service: str, node: str, kind: str, path: str
    ) -> None:
        self._sent += 1
        body = f"{service} {kind} {self._sent:06d}"
        call = record.CallRecord(
            body=body.encode(), service=service, kind=kind, path=path
        )
        self.history.calls.append(call)
        await self._attempt(call, node)
        while kind == record.KEYED and not call.answered:
            if len(call.attempts) >= KEYED_ATTEMPTS:
                return
            await self.clock.sleep(KEYED_PAUSE)
            nodes = self.entry_nodes("")
            await self._attempt(call, nodes[self._sent % len(nodes)])

    def entry_nodes(self, zone: str) -> list[str]:
        return [
            node
            for node in sorted(self._alive - self._frozen)
            if zone in ("", self._fleet.nodes[node].zone)
        ]

    async def in_force(self) -> bool:
        for node in self.entry_nodes(""):
            status = await self._fleet.view(self._fleet.nodes[node], "status")
            if status["version"] != self._version:
                return False
        return True

    async def rollout_phases(self, rollout: str) -> set[str]:
        phases = set()
        for node in self.entry_nodes(""):
            status = await self._fleet.view(self._fleet.nodes[node], "status")
            state = status["rollouts"].get(rollout, {"phase": "unknown"})
            phases.add(state["phase"])
        return phases

    async def _attempt(self, call: record.CallRecord, node: str) -> None:
        number = len(call.attempts) + 1
        attempt = record.Attempt(number=number, node=node, began=self.now)
        call.attempts.append(attempt)
        headers = {
            "balsamramp-service": call.service,
            "balsamramp-deadline-ms": "2000",
            "x-attempt": str(number),
        }
        if call.kind == record.KEYED:
            headers["idempotency-key"] = call.body.decode()
        method = "GET" if call.kind == record.IDEMPOTENT else "POST"
        url = self._fleet.nodes[node].url("call") + call.path
        timeout = aiohttp.ClientTimeout(CALL_TIMEOUT.total_seconds())
        try:
            async with self._fleet.session.request(
                method, url, headers=headers, data=call.body, timeout=timeout
            ) as response:
                answer = await response.json()
                attempt.verdict = response.headers.get("balsamramp-verdict")
                attempt.reason = response.headers.get("balsamramp-reason", "")
                attempt.status = response.status
                attempt.answer = str(answer.get("body", "")).encode()
        except (aiohttp.ClientError, TimeoutError):
            attempt.verdict = None
        attempt.ended = self.now

    async def _behave(self, plan: record.TargetSpec) -> None:
        for name in UNSUPPORTED:
            value = getattr(plan, name)
            if value and value != record.ZERO:
                raise environment.UnsupportedError(
                    f"{self.name} cannot give a target {name}"
                )
        delay = (plan.delay + plan.slow_by).total_seconds()
        behaviour = {
            "slots": plan.slots,
            "delay": f"PT{delay}S",
            "fail_share": 0.0 if plan.fails_after is None else 1.0,
            "fail_path": plan.fails_on or "",
        }
        url = f"{self._fleet.targets[plan.name].url('http')}/_behaviour"
        async with self._fleet.session.put(url, json=behaviour) as response:
            response.raise_for_status()

    async def _read_runs(self, target: str, plan: record.TargetSpec) -> None:
        url = f"{self._fleet.targets[target].url('http')}/_runs"
        async with self._fleet.session.get(url) as response:
            seen = await response.json()
        self.history.highest[target] = seen["highest"]
        for body, attempts in seen["attempts"].items():
            for number in attempts:
                run = record.Run(
                    body=body.encode(),
                    attempt=number,
                    target=target,
                    service=plan.service,
                    version=plan.version,
                    node=plan.node,
                    zone=self._fleet.nodes[plan.node].zone,
                    began=record.ZERO,
                )
                self.history.runs.append(run)
