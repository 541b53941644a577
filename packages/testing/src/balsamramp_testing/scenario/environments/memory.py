"""Memory: the stage of whole nodes on fakes, in virtual time."""

import datetime
import random
import typing

from returns import result

from balsamramp_core import resource
from balsamramp_core import resources
from balsamramp_node.configuration import change_committer
from balsamramp_node.inbound import targets
from balsamramp_node.outbound import call_proxy
from balsamramp_testing import memory_platform
from balsamramp_testing import virtual_time
from balsamramp_testing.scenario import environment
from balsamramp_testing.scenario import record
from balsamramp_testing.scenario.environments import monitor
from balsamramp_testing.scenario.environments import recording_simulation
from balsamramp_testing.scenario.environments import target as target_module
from balsamramp_wire import messages

__all__ = ["MemoryEnvironment"]

RENEW_INTERVAL = datetime.timedelta(seconds=1)
LEAVE_TIME = datetime.timedelta(seconds=6)
CALL_TIMEOUT = datetime.timedelta(seconds=2)
KEYED_PAUSE = datetime.timedelta(milliseconds=300)
KEYED_ATTEMPTS = 8
IDLE_CHECK_INTERVAL = datetime.timedelta(milliseconds=20)
SETTLE_TIME = datetime.timedelta(seconds=3)
RETRIES = 2
PLATFORM_DELAY = datetime.timedelta(milliseconds=1)


class MemoryEnvironment(environment.Environment):
    """Runs a scenario on whole nodes in one process."""

    name = "memory"
    doc = "whole nodes on fakes, in virtual time"

    def __init__(self, seed: int) -> None:
        super().__init__(virtual_time.VirtualClock(), seed)
        self.world = recording_simulation.RecordingSimulation(
            seed, self.history
        )
        self.world.faults.delay = PLATFORM_DELAY
        self.targets: dict[str, target_module.ScenarioTarget] = {}
        self._zones: dict[str, str] = {}
        self._homes: dict[str, str] = {}
        self._frozen: set[str] = set()
        self._stopping: set[str] = set()
        self._serving: dict[str, int] = {}
        self._sent = 0
        self._random = random.Random(seed + 2)
        self._monitor = monitor.Monitor(self)

    @property
    def paused(self) -> set[str]:
        """Return the nodes that stand still."""
        return self._frozen

    def zone_of(self, node: str) -> str:
        """Return the zone of a node."""
        return self._zones[node]

    def begin(self) -> None:
        super().begin()
        self.world.recording.began = self._began
        self._monitor.start()

    async def finish(self) -> None:
        await super().finish()
        await self.clock.sleep(SETTLE_TIME)
        self._monitor.stop()

    async def close(self) -> None:
        for node in list(self.world.nodes):
            await self.kill_node(node)
        for item in self.targets.values():
            await item.scope.kill()

    async def start_node(self, node: str, zone: str) -> None:
        if zone:
            self._zones[node] = zone
        if node in self.world.nodes:
            return
        await self.world.start_node(node, self._zones[node])
        self._settle(node)
        for item in self.targets.values():
            if item.plan.node == node:
                self._adopt(item)

    async def kill_node(self, node: str) -> None:
        if node not in self.world.nodes:
            return
        self._disturb(node)
        if node in self._frozen:
            await self.pause_node(node, False)
            self._disturb(node)
        await self.world.kill_node(node)

    async def stop_node(self, node: str) -> None:
        if node not in self.world.nodes:
            return
        self.history.stopping.append((node, self.now))
        self._stopping.add(node)
        found = self.world.nodes[node]
        found.scope.do(found.core.targets.drain_all)
        while self._serving.get(node):
            await self.clock.sleep(IDLE_CHECK_INTERVAL)
        await self.world.stop_node(node)
        self._stopping.discard(node)

    async def pause_node(self, node: str, paused: bool) -> None:
        if node not in self.world.nodes:
            return
        scope = self.world.nodes[node].scope
        if paused:
            self._disturb(node)
            self._frozen.add(node)
            scope.pause()
            return
        self._frozen.discard(node)
        scope.resume()
        self._settle(node)

    async def start_target(self, target: record.TargetSpec) -> None:
        made = target_module.ScenarioTarget(
            target.name,
            plan=target,
            zone=self._zones[target.node],
            seen=self.history,
            began_at=self._began,
            started_at=self.now,
        )
        self.targets[target.name] = made
        self._adopt(made)
        made.scope.spawn(self._renew(made))

    async def kill_target(self, target: str) -> None:
        found = self.targets[target]
        self._disturb(target)
        found.dead = True
        await found.scope.kill()

    async def restart_target(self, target: str) -> None:
        found = self.targets[target]
        if not found.dead:
            return
        self._settle(target)
        self.history.restarts.append((target, self.now))
        found.dead = False
        found.leaving = False
        found.in_flight = 0
        found.instance += 1
        found.started_at = self.now
        self._announce(found)
        found.scope.spawn(self._renew(found))

    async def drain_target(self, target: str) -> None:
        found = self.targets[target]
        found.leaving = True
        self.history.leaving.append((target, self.now))
        node = self.world.nodes.get(found.plan.node)
        if node is not None and found.plan.node not in self._frozen:
            node.scope.do(node.core.targets.drain, target)

    def change_target(self, target: str, **changes: typing.Any) -> None:
        found = self.targets[target]
        for name, value in changes.items():
            if name in ("fails_after", "slow_after"):
                value = value + self.now
            setattr(found.plan, name, value)
        if "cold_for" in changes:
            found.plan.cold_for += self.now - found.started_at

    def set_partition(self, left: str, right: str, healed: bool) -> None:
        network = self.world.network
        for node, zone in self._zones.items():
            if not {node, zone} & {left, right}:
                continue
            if healed:
                self._settle(node)
                continue
            self._disturb(node)
        if healed:
            network.heal(left, right)
            return
        network.partition(left, right)

    def blackhole(self, node: str) -> None:
        self._disturb(node)
        self.world.streams.silence(node)
        self.run_in_background(self._settle_later(node))

    def set_delay(self, delay: datetime.timedelta) -> None:
        self.world.network.delay = delay

    def set_loss_share(self, share: float) -> None:
        self.world.network.loss_share = share

    def lose_next_write(self, after: bool) -> None:
        fault = memory_platform.WriteFault.LOST_BEFORE
        if after:
            fault = memory_platform.WriteFault.LOST_AFTER
        self.world.faults.write_faults.append(fault)

    async def set_platform(
        self, down: bool | None, delay: datetime.timedelta | None
    ) -> None:
        if down is not None:
            self.world.faults.down = down
        if delay is not None:
            self.world.faults.delay = max(delay, PLATFORM_DELAY)

    async def submit(
        self,
        puts: list[dict[str, typing.Any]],
        deletes: list[tuple[str, str]],
        through: str | None,
    ) -> None:
        nodes = [node for node in self.entry_nodes("") if node == through]
        nodes = nodes or self.entry_nodes("")
        if not nodes:
            self.history.submissions.append("rejected")
            return
        found = self.world.nodes[nodes[0]]
        submission = change_committer.ChangeProposal(
            change_id=f"{self._random.getrandbits(64):x}",
            author="scenario",
            puts=tuple(resources.decode(item).unwrap() for item in puts),
            deletes=tuple(resource.ResourceKey(*key) for key in deletes),
        )
        work = found.core.operator_service.submit(submission)
        self.history.submissions.append(_outcome(await found.scope.run(work)))

    async def call(
        self, service: str, node: str, kind: str, path: str
    ) -> None:
        self._sent += 1
        body = f"{service} {kind} {self._sent:06d}".encode()
        call = record.CallRecord(
            body=body, service=service, kind=kind, path=path
        )
        self.history.calls.append(call)
        zone = self._zones[node]
        await self._attempt(call, node)
        while kind == record.KEYED and not call.answered:
            if len(call.attempts) >= KEYED_ATTEMPTS:
                return
            await self.clock.sleep(KEYED_PAUSE)
            nodes = self.entry_nodes(zone) or self.entry_nodes("")
            if nodes:
                await self._attempt(call, self._random.choice(nodes))

    def entry_nodes(self, zone: str) -> list[str]:
        return [
            node
            for node in sorted(self.world.nodes)
            if node not in self._frozen
            and node not in self._stopping
            and zone in ("", self._zones[node])
        ]

    async def in_force(self) -> bool:
        latest = max(
            (item.version for item in self.history.accepted), default=0
        )
        return all(
            self.world.nodes[node].core.store.current.version == latest
            for node in self.entry_nodes("")
        )

    async def rollout_phases(self, rollout: str) -> set[str]:
        phases = set()
        for node in self.entry_nodes(""):
            states = self.world.nodes[node].core.rollout_controller.dump()
            phases.add(monitor.phase_of(states, rollout))
        return phases

    async def _attempt(self, call: record.CallRecord, node: str) -> None:
        number = len(call.attempts) + 1
        attempt = record.Attempt(number=number, node=node, began=self.now)
        call.attempts.append(attempt)
        found = self.world.nodes.get(node)
        if found is None:
            attempt.ended = self.now
            attempt.verdict = "not-run"
            return
        method = "GET" if call.kind == record.IDEMPOTENT else "POST"
        key = call.body.decode() if call.kind == record.KEYED else ""
        request = call_proxy.IngressRequest(
            service=call.service,
            method=method,
            path=call.path,
            headers=((target_module.ATTEMPT_HEADER, str(number)),),
            body=call.body,
            timeout=CALL_TIMEOUT,
            retries=RETRIES,
            idempotency_key=key,
        )
        self._serving[node] = self._serving.get(node, 0) + 1
        try:
            reply = await found.scope.run(found.core.call_proxy.call(request))
        finally:
            self._serving[node] -= 1
        attempt.ended = self.now
        _fill(attempt, reply)

    def _adopt(self, target: target_module.ScenarioTarget) -> None:
        node = self.world.nodes.get(target.plan.node)
        if node is None:
            return
        node.targets.targets[target.name] = target
        self._announce(target)

    def _announce(self, target: target_module.ScenarioTarget) -> None:
        node = target.plan.node
        if target.dead or target.leaving or node not in self.world.nodes:
            return
        if node in self._frozen:
            return
        announcement = targets.Announcement(
            target=target.name,
            service=target.plan.service,
            url=f"http://{target.name}",
            instance=str(target.instance),
            labels={"version": target.plan.version},
        )
        found = self.world.nodes[node]
        found.scope.do(found.core.targets.announce, announcement)

    async def _renew(self, target: target_module.ScenarioTarget) -> None:
        while not target.leaving:
            await self.clock.sleep(RENEW_INTERVAL)
            self._announce(target)
        await self.clock.sleep(LEAVE_TIME)
        target.dead = True

    def _disturb(self, name: str) -> None:
        self.history.disturbances.append(
            record.FaultWindow(name=name, began=self.now)
        )

    def _settle(self, name: str) -> None:
        for item in self.history.disturbances:
            if item.name == name and item.ended is None:
                item.ended = self.now

    async def _settle_later(self, name: str) -> None:
        await self.clock.sleep(SETTLE_TIME)
        self._settle(name)


def _outcome(submitted: typing.Any) -> str:
    if isinstance(submitted, result.Success):
        return "accepted"
    if submitted is None or submitted.failure().accepted is None:
        return "unknown"
    return "rejected"


def _fill(attempt: record.Attempt, reply: typing.Any) -> None:
    if reply is None:
        return
    if isinstance(reply, messages.CallFailure):
        attempt.verdict = reply.failure.verdict.value
        attempt.reason = reply.failure.reason.value
        return
    attempt.verdict = "ran"
    attempt.status = reply.status
    attempt.answer = reply.body
