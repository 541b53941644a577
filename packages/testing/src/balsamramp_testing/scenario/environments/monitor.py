"""Monitor: samples what each node has and could have had."""

import asyncio
import collections
import datetime
import typing

from balsamramp_testing import memory_network
from balsamramp_testing.scenario import record

__all__ = ["Monitor", "phase_of"]

INTERVAL = datetime.timedelta(milliseconds=100)
SLOW = datetime.timedelta(milliseconds=300)


class Monitor:
    """Samples the nodes of a memory stage at a fixed interval.

    A node could have a version when it is alive and not frozen, and the
    platform or another such node has it, directly or through others. A
    platform that is slower than ``SLOW`` counts as away.
    """

    def __init__(self, stage: typing.Any) -> None:
        self._stage = stage
        self._task: asyncio.Task[None] | None = None
        self._phases: dict[tuple[str, str], str] = {}

    def start(self) -> None:
        """Begin to sample."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Sample no longer."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            self._sample()
            await self._stage.clock.sleep(INTERVAL)

    def _sample(self) -> None:
        stage = self._stage
        alive = stage.entry_nodes("")
        for group in self._groups(alive):
            available = max(self._version(name) for name in group)
            for node in group:
                if node == memory_network.PLATFORM:
                    continue
                core = stage.world.nodes[node].core
                stage.history.samples.append(
                    record.Sample(
                        node=node,
                        incarnation=core.identity.incarnation,
                        zone=stage.zone_of(node),
                        at=stage.now,
                        version=core.store.current.version,
                        available=available,
                    )
                )
                self._note_phases(node, core.rollout_controller.dump())

    def _note_phases(
        self, node: str, states: collections.abc.Mapping[str, typing.Any]
    ) -> None:
        for rollout in states:
            phase = phase_of(states, rollout)
            if self._phases.get((node, rollout)) == phase:
                continue
            self._phases[node, rollout] = phase
            now = self._stage.now
            self._stage.history.phases.append((now, node, rollout, phase))

    def _version(self, name: str) -> int:
        stage = self._stage
        if name != memory_network.PLATFORM:
            return int(stage.world.nodes[name].core.store.current.version)
        accepted = stage.history.accepted
        return max((item.version for item in accepted), default=0)

    def _groups(self, alive: list[str]) -> list[list[str]]:
        faults = self._stage.world.faults
        names = list(alive)
        if not faults.down and faults.delay < SLOW:
            names.append(memory_network.PLATFORM)
        network = self._stage.world.network
        left = names
        groups = []
        while left:
            group = [left.pop(0)]
            for name in group:
                near = [other for other in left if network.links(name, other)]
                left = [other for other in left if other not in near]
                group += near
            groups.append(group)
        return groups


def phase_of(
    states: collections.abc.Mapping[str, typing.Any], rollout: str
) -> str:
    """Return the phase of ``rollout`` in a dump of rollout states."""
    state = states.get(rollout)
    if state is None:
        return "unknown"
    return str(state["phase"])
