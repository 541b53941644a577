"""Soak faults of the nodes that read the configuration, beside changes."""

import asyncio
from collections import abc

import soak_faults
import soak_harness

__all__ = ["CONFIGURATION", "ChangesInSuccession", "SlowReader"]

# Nodes of equal links read in the order of their names; these are the first
# two of both zones.
READERS = 4


class SlowReader(soak_faults.Fault):
    """Reads of one of the nodes that read first take long."""

    lasts = (2.0, 6.0)

    def __init__(self, world: soak_harness.SoakHarness) -> None:
        super().__init__(world)
        self.node = self.rng.choice(world.nodes[:READERS])

    async def begin(self) -> None:
        # Each way, so that a read takes twice as long.
        self.node.store_proxy.delay = self.rng.uniform(0.05, 0.9)

    async def end(self) -> None:
        self.node.store_proxy.heal()


class ReaderWithoutStore(SlowReader):
    """It hears nothing of the store, or its calls do not arrive there."""

    async def begin(self) -> None:
        ways = list(soak_faults.loopback_proxy.Direction)
        self.node.store_proxy.hold(self.rng.choice(ways))


class PauseReader(SlowReader):
    """It stands still, for less or for more than others wait for it."""

    lasts = (0.2, 4.0)

    async def begin(self) -> None:
        self.node.pause()

    async def end(self) -> None:
        self.node.resume()


class KillReader(SlowReader):
    """It ends without a word, and starts again."""

    lasts = (0.5, 4.0)

    async def begin(self) -> None:
        await self.node.kill()

    async def end(self) -> None:
        await self.node.restart()


class LateMessages(soak_faults.Fault):
    """What a node is told comes late."""

    lasts = (1.0, 5.0)

    async def begin(self) -> None:
        self.node.stream_proxy.delay = self.rng.uniform(0.05, 0.3)

    async def end(self) -> None:
        self.node.stream_proxy.heal()


class StoreIsBehind(soak_faults.Fault):
    """The store answers as it would have some time ago."""

    lasts = (1.0, 5.0)

    def affected_nodes(self) -> abc.Sequence[soak_harness.Node]:
        return self.world.nodes

    async def begin(self) -> None:
        self.world.store.behind_seconds = self.rng.uniform(0.5, 4.0)

    async def end(self) -> None:
        self.world.store.behind_seconds = 0.0


class ChangesInSuccession(soak_faults.Fault):
    """Operators add a route every few tenths of a second."""

    lasts = (0.0, 0.1)
    planned = True

    def affected_nodes(self) -> abc.Sequence[soak_harness.Node]:
        return []

    async def begin(self) -> None:
        for _ in range(self.rng.randint(5, 12)):
            self.world.add_routes()
            await asyncio.sleep(self.rng.uniform(0.3, 0.6))


CONFIGURATION: tuple[type[soak_faults.Fault], ...] = (
    ChangesInSuccession,
    ChangesInSuccession,
    ChangesInSuccession,
    KillReader,
    LateMessages,
    PauseReader,
    ReaderWithoutStore,
    SlowReader,
    SlowReader,
    StoreIsBehind,
    soak_faults.NarrowLink,
    soak_faults.ReloadInSeries,
    soak_faults.StopNode,
)
