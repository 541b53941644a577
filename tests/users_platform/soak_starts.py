"""Soak troubles at the edges of a process: beside its start and its end."""

import asyncio
from collections import abc as collections_abc
import signal

import soak_faults
import soak_harness

__all__ = ["STARTS"]

Node = soak_harness.Node

# A target that takes so long holds the shutdown of its node up.
SLOW_TARGET_SECONDS = (0.5, 1.4)
FIRST_SECONDS = 0.5
# A supervisor that starts again at once, or after a short delay.
RESTART_DELAYS_SECONDS = (0.0, 0.3)
SETTINGS_AWAY_SECONDS = (0.0, 1.5)


class SucceedEnding(soak_faults.Fault):
    """A process starts while its predecessor still ends."""

    lasts = (0.0, 0.1)

    async def begin(self) -> None:
        delay = self.rng.uniform(*SLOW_TARGET_SECONDS)
        self.node.target.inject_faults(delay=delay)
        await asyncio.sleep(self.rng.uniform(0.0, delay))
        self.node.terminate()
        await asyncio.sleep(self.rng.uniform(*RESTART_DELAYS_SECONDS))
        predecessor = await self.node.start_successor()
        await self.node.end_predecessor(predecessor, signal.SIGTERM)

    async def end(self) -> None:
        self.node.target.inject_faults()


class SucceedPaused(soak_faults.Fault):
    """A process starts while its predecessor stands still."""

    lasts = (0.5, 3.0)

    async def begin(self) -> None:
        self.node.pause()
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        self._predecessor = await self.node.start_successor()

    async def end(self) -> None:
        how = self.rng.choice([signal.SIGTERM, signal.SIGKILL])
        await self.node.end_predecessor(self._predecessor, how)


class SignalStart(soak_faults.Fault):
    """Signals come in the first half second of a process."""

    lasts = (0.0, 0.1)

    async def begin(self) -> None:
        await self.node.kill()
        await self.node.restart()
        for _ in range(self.rng.randint(1, 4)):
            await asyncio.sleep(self.rng.uniform(0.0, FIRST_SECONDS / 4))
            self.node.reload()
        if self.rng.random() < 0.5:
            await self.node.stop_process()

    async def end(self) -> None:
        await self.node.restart()


class ReplaceSettings(soak_faults.Fault):
    """The settings are empty, then half there, while a process starts."""

    lasts = (0.0, 0.1)

    async def begin(self) -> None:
        away = self.rng.uniform(*SETTINGS_AWAY_SECONDS)
        part = self.rng.random()
        starts = self.rng.random() < 0.7
        if starts:
            await self.node.kill()
        self.node.write_settings("")
        if starts:
            await self.node.restart()
        await asyncio.sleep(away / 2)
        whole = self.node.settings_text
        self.node.write_settings(whole[: int(len(whole) * part)])
        if not starts:
            self.node.hang_up()
        await asyncio.sleep(away / 2)
        self.node.write_settings(self.node.settings_text)
        self.node.hang_up()


class _Fleet(soak_faults.Fault):
    """Concerns all nodes."""

    lasts = (0.0, 0.1)

    def affected_nodes(self) -> collections_abc.Sequence[Node]:
        return self.world.nodes


class StartInSeries(_Fleet):
    """All processes are replaced, at times before the last is ready."""

    async def begin(self) -> None:
        nodes = self.rng.sample(self.world.nodes, len(self.world.nodes))
        async with asyncio.TaskGroup() as group:
            for _ in range(self.rng.randint(1, 2)):
                for node in nodes:
                    group.create_task(self._replace(node))
                    await asyncio.sleep(
                        self.rng.uniform(*RESTART_DELAYS_SECONDS)
                    )

    async def _replace(self, node: Node) -> None:
        node.terminate()
        predecessor = await node.start_successor()
        await node.end_predecessor(predecessor, signal.SIGTERM)


class SwapPorts(_Fleet):
    """Two processes start at the ports that the other's predecessor has."""

    async def begin(self) -> None:
        pair = self.rng.sample(self.world.nodes, 2)
        for node in pair:
            node.terminate()
        await asyncio.sleep(self.rng.uniform(*RESTART_DELAYS_SECONDS))
        pair[0].swap_ports(pair[1])
        async with asyncio.TaskGroup() as group:
            for node in pair:
                predecessor = await node.start_successor()
                group.create_task(
                    node.end_predecessor(predecessor, signal.SIGTERM)
                )


STARTS: tuple[type[soak_faults.Fault], ...] = (
    ReplaceSettings,
    SignalStart,
    StartInSeries,
    SucceedEnding,
    SucceedPaused,
    SwapPorts,
)
