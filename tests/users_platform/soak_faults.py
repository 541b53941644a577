"""Soak faults: what is done to processes, connections, targets and store."""

import abc
import asyncio
from collections import abc as collections_abc
import typing

import loopback_proxy
import soak_harness

__all__ = ["FAULTS", "Fault"]

Node = soak_harness.Node


class Fault(abc.ABC):
    """One trouble, from its beginning to its end.

    ``lasts`` is the range of its length in seconds. ``affected_nodes`` returns
    the nodes for which promises in time do not hold meanwhile.
    """

    lasts: typing.ClassVar[tuple[float, float]] = (0.5, 4.0)

    def __init__(self, world: soak_harness.SoakHarness) -> None:
        self.world = world
        self.rng = world.rng
        self.node = self.rng.choice(world.nodes)

    def affected_nodes(self) -> collections_abc.Sequence[Node]:
        """Return the nodes that the fault concerns."""
        return [self.node]

    @abc.abstractmethod
    async def begin(self) -> None:
        """Start the trouble."""

    async def end(self) -> None:
        """Undo it."""
        return None


class _Everywhere(Fault):
    """Concerns all nodes."""

    def affected_nodes(self) -> collections_abc.Sequence[Node]:
        return self.world.nodes


class KillNode(Fault):
    """A process ends without a word, and starts again."""

    async def begin(self) -> None:
        await self.node.kill()

    async def end(self) -> None:
        await self.node.restart()


class KillMany(_Everywhere):
    """Most processes end at once, and start again together."""

    async def begin(self) -> None:
        count = self.rng.randint(2, len(self.world.nodes))
        self._killed = self.rng.sample(self.world.nodes, count)
        await asyncio.gather(*(node.kill() for node in self._killed))

    async def end(self) -> None:
        await asyncio.gather(*(node.restart() for node in self._killed))


class StopNode(Fault):
    """A process is asked to end, at times twice, and starts again."""

    lasts = (4.0, 6.0)

    async def begin(self) -> None:
        self.node.terminate()
        if self.rng.random() < 0.3:
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            self.node.terminate()

    async def end(self) -> None:
        await self.node.kill()
        await self.node.restart()


class PauseNode(Fault):
    """A process stands still."""

    async def begin(self) -> None:
        self.node.pause()

    async def end(self) -> None:
        self.node.resume()


class ReloadNode(Fault):
    """The settings file is written anew and a signal says so."""

    lasts = (0.0, 0.1)

    async def begin(self) -> None:
        self.node.reload()

    def affected_nodes(self) -> collections_abc.Sequence[Node]:
        return []


class _Connections(Fault):
    """Something is done to connections of one kind."""

    def proxy(self) -> loopback_proxy.LoopbackProxy:
        """Return one of the node's connections, drawn once."""
        if not hasattr(self, "_proxy"):
            self._proxy = self.rng.choice(
                [self.node.store_proxy, self.node.stream_proxy]
            )
        return self._proxy

    def affected_nodes(self) -> collections_abc.Sequence[Node]:
        # Those who call a node that is cut off are held up by it too.
        return self.world.nodes

    async def end(self) -> None:
        self.proxy().heal()


class CutConnections(_Connections):
    """Nothing passes, either way or one way only."""

    async def begin(self) -> None:
        ways = list(loopback_proxy.Direction)
        self.proxy().hold(*self.rng.sample(ways, self.rng.randint(1, 2)))


class DelayConnections(_Connections):
    """Everything comes late."""

    async def begin(self) -> None:
        self.proxy().delay = self.rng.uniform(0.02, 0.3)


class ResetConnections(_Connections):
    """Connections are reset, and at times new ones are refused."""

    async def begin(self) -> None:
        self.proxy().reset()
        self.proxy().refusing = self.rng.random() < 0.5


class BlackholeConnections(_Connections):
    """Connections swallow all bytes from now on; new ones work."""

    async def begin(self) -> None:
        self.proxy().blackhole()


class StoreAway(_Everywhere):
    """The store refuses every call."""

    async def begin(self) -> None:
        self.world.store.refuse = self.rng.choice([429, 503])

    async def end(self) -> None:
        self.world.store.refuse = 0


class StoreLosesAnswers(_Everywhere):
    """Writes to the store take effect, and their answers are lost."""

    async def begin(self) -> None:
        self.world.store.lose_answers = True

    async def end(self) -> None:
        self.world.store.lose_answers = False


class StoreForgets(_Everywhere):
    """The store no longer has the history that the next feed asks for."""

    async def begin(self) -> None:
        self.world.store.forget_history = True


class FaultyTarget(Fault):
    """A target loses, cuts, doubles, fails or delays answers."""

    async def begin(self) -> None:
        part = self.rng.uniform(0.05, 0.5)
        kind = self.rng.choice(["lost", "cut", "crossed", "failing"])
        self.node.target.inject_faults(**{kind: part})

    async def end(self) -> None:
        self.node.target.inject_faults()


class SlowTarget(Fault):
    """A target takes several times as long."""

    async def begin(self) -> None:
        self.node.target.inject_faults(delay=self.rng.uniform(0.1, 0.6))

    async def end(self) -> None:
        self.node.target.inject_faults()


class LeaveTarget(Fault):
    """A target says that it leaves, goes, and another takes its place."""

    lasts = (2.5, 5.0)

    async def begin(self) -> None:
        await self.node.leave(self.rng.choice(["draining", "deregister"]))

    async def end(self) -> None:
        await self.node.replace_target()


class CrashTarget(Fault):
    """A target ends without a word; another starts at its address."""

    async def begin(self) -> None:
        await self.node.stop_target()

    async def end(self) -> None:
        await self.node.replace_target()


class TakeZoneOut(Fault):
    """Operators take a zone out, and back."""

    lasts = (6.0, 8.0)

    async def begin(self) -> None:
        self.world.evacuate_zone(self.node.zone)

    async def end(self) -> None:
        self.world.restore_zone(self.node.zone)

    def affected_nodes(self) -> collections_abc.Sequence[Node]:
        return []


class ChangeConfiguration(Fault):
    """Operators add a route, or several in quick succession."""

    lasts = (0.0, 0.1)

    async def begin(self) -> None:
        for _ in range(self.rng.choice([1, 1, 5])):
            self.world.add_route()
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))

    def affected_nodes(self) -> collections_abc.Sequence[Node]:
        return []


FAULTS: tuple[type[Fault], ...] = (
    ChangeConfiguration,
    CrashTarget,
    CutConnections,
    DelayConnections,
    KillMany,
    KillNode,
    LeaveTarget,
    PauseNode,
    ReloadNode,
    ResetConnections,
    BlackholeConnections,
    SlowTarget,
    FaultyTarget,
    StopNode,
    StoreAway,
    StoreForgets,
    StoreLosesAnswers,
    TakeZoneOut,
)
