"""Soak faults: what is done to processes, connections, targets and store."""

import abc
import asyncio
from collections import abc as collections_abc
import typing

import loopback_proxy
import narrow_link
import soak_checks
import soak_harness

__all__ = [
    "DEMAND",
    "FAULTS",
    "Fault",
    "PLANNED_WORK",
    "RESTORES",
    "ROLLOUTS",
]

Node = soak_harness.Node

BUSY_CHECKS = 50
BUSY_CHECK_SECONDS = 0.02
# A node needs some of it for its own messages and for the configuration.
LINK_BYTES_PER_SECOND = (125_000, 625_000)
ROLLOUT_SECONDS = (4.0, 20.0)
# Routes that one change adds.
GROWN_BY = (100, 400)


class Fault(abc.ABC):
    """One trouble, from its beginning to its end.

    ``lasts`` is the range of its length in seconds. ``affected_nodes`` returns
    the nodes for which promises in time do not hold meanwhile. No request is
    lost beside trouble that is ``planned``.
    """

    lasts: typing.ClassVar[tuple[float, float]] = (0.5, 4.0)
    planned: typing.ClassVar[bool] = False

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


class KillAll(_Everywhere):
    """All processes end at once, so that what they knew is gone."""

    async def begin(self) -> None:
        await asyncio.gather(*(node.kill() for node in self.world.nodes))

    async def end(self) -> None:
        await asyncio.gather(*(node.restart() for node in self.world.nodes))


class StopNode(Fault):
    """A process is asked to end, at times twice, and starts again."""

    lasts = (0.0, 1.0)
    planned = True

    async def begin(self) -> None:
        self.node.terminate()
        if self.rng.random() < 0.3:
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        await self.node.stop_process()

    async def end(self) -> None:
        await self.node.restart()


class StopBusyNode(StopNode):
    """As StopNode, at a moment at which the node handles requests."""

    async def begin(self) -> None:
        for _ in range(BUSY_CHECKS):
            if self.node.open_requests:
                break
            await asyncio.sleep(BUSY_CHECK_SECONDS)
        await super().begin()


class StopInSeries(_Everywhere):
    """All processes end and start again, one soon after the other."""

    lasts = (0.0, 0.1)
    planned = True

    async def begin(self) -> None:
        nodes = self.rng.sample(self.world.nodes, len(self.world.nodes))
        spread = self.rng.uniform(2.0, 12.0)
        async with asyncio.TaskGroup() as group:
            for number, node in enumerate(nodes):
                wait = spread * number / len(nodes)
                group.create_task(self._stop(node, wait))

    async def _stop(self, node: Node, wait: float) -> None:
        await asyncio.sleep(wait)
        await node.stop_process()
        await node.restart()


class PauseNode(Fault):
    """A process stands still."""

    async def begin(self) -> None:
        self.node.pause()

    async def end(self) -> None:
        self.node.resume()


class ReloadNode(Fault):
    """The settings file is written anew and a signal says so."""

    lasts = (0.0, 0.1)
    planned = True

    async def begin(self) -> None:
        self.node.reload()

    def affected_nodes(self) -> collections_abc.Sequence[Node]:
        return []


class ReloadInSeries(ReloadNode):
    """The same on all nodes in turn, more than once."""

    async def begin(self) -> None:
        for _ in range(self.rng.randint(1, 3)):
            for node in self.world.nodes:
                node.reload()
                await asyncio.sleep(self.rng.uniform(0.0, 0.2))


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


class RestoreStore(_Everywhere):
    """The store comes back from a copy; the operators write again."""

    lasts = (0.2, 4.0)

    async def begin(self) -> None:
        self._copy = self.world.store.copy()

    async def end(self) -> None:
        self.world.store.refuse = 503
        await asyncio.sleep(self.rng.uniform(0.0, 0.8))
        self.world.store.restore(self._copy)
        self.world.store.refuse = 0
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        self.world.write_again()


class OrderVersion(_Everywhere):
    """Operators order the version that all targets of a service have."""

    lasts = (0.0, 0.1)

    async def begin(self) -> None:
        self.world.order_version(
            self.node.service,
            self.node.target.version,
            self.rng.uniform(*ROLLOUT_SECONDS),
        )


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


class ScarceSlots(_Everywhere):
    """All targets are slow and have few slots, so that requests queue."""

    planned = True

    async def begin(self) -> None:
        delay = self.rng.uniform(0.1, 1.2)
        slots = self.rng.randint(1, 3)
        for node in self.world.nodes:
            node.target.inject_faults(delay=delay, slots=slots)

    async def end(self) -> None:
        for node in self.world.nodes:
            node.target.inject_faults()


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
    planned = True

    async def begin(self) -> None:
        for _ in range(self.rng.choice([1, 1, 5])):
            self.world.add_routes()
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))

    def affected_nodes(self) -> collections_abc.Sequence[Node]:
        return []


class GrowConfiguration(ChangeConfiguration):
    """Operators add hundreds of routes, at times in quick succession."""

    async def begin(self) -> None:
        for _ in range(self.rng.choice([1, 3])):
            self.world.add_routes(self.rng.randint(*GROWN_BY))
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))


class NarrowLink(_Connections):
    """All connections of a node share a link of a few Mbit/s."""

    lasts = (2.0, 6.0)
    # The promises hold, as far as the link carries what they need.
    planned = True

    def affected_nodes(self) -> collections_abc.Sequence[Node]:
        return [self.node]

    async def begin(self) -> None:
        rate = self.rng.uniform(*LINK_BYTES_PER_SECOND)
        egress = narrow_link.NarrowLink(rate)
        ingress = narrow_link.NarrowLink(rate)
        there, back = loopback_proxy.Direction
        self.node.stream_proxy.links = {there: ingress, back: egress}
        self.node.store_proxy.links = {there: egress, back: ingress}

    async def end(self) -> None:
        self.node.stream_proxy.heal()
        self.node.store_proxy.heal()


class StateLimit(Fault):
    """A target states how many requests it takes, at times near 0."""

    lasts = (5.0, 9.0)
    planned = True

    async def begin(self) -> None:
        self._rate = self.rng.choice([0.2, 3.0, self.rng.uniform(1.0, 30.0)])
        self._target = self.node.target
        self._target.arrivals.clear()
        self._target.state(**{"Server-Limit": f"{self._rate:.2f}"})

    async def end(self) -> None:
        at = self._target.first_stated_at
        if at is not None:
            limit = soak_checks.LimitWindow(
                self._target.name, self._rate, at, self._target.arrivals
            )
            self.world.ledger.limits.append(limit)
        self._target.arrivals = []
        self._target.state()


class StateLeaving(Fault):
    """A target states that it leaves, though its heartbeats say ready."""

    lasts = (3.0, 6.0)
    planned = True

    async def begin(self) -> None:
        self._target = self.node.target
        self._target.state(**{"Server-Leaving": "1"})

    async def end(self) -> None:
        at = self._target.first_stated_at
        if at is not None:
            mark = soak_checks.NoTrafficWindow(
                self._target.name, at, stated=True
            )
            self.world.ledger.drained.append(mark)
        await self.node.replace_target()


# What nobody plans.
FAULTS: tuple[type[Fault], ...] = (
    CrashTarget,
    CutConnections,
    DelayConnections,
    KillMany,
    KillNode,
    LeaveTarget,
    PauseNode,
    ResetConnections,
    BlackholeConnections,
    FaultyTarget,
    StoreAway,
    StoreForgets,
    StoreLosesAnswers,
    TakeZoneOut,
)
PLANNED_WORK: tuple[type[Fault], ...] = (
    ChangeConfiguration,
    GrowConfiguration,
    ReloadInSeries,
    ReloadNode,
    ScarceSlots,
    SlowTarget,
    StopBusyNode,
    StopInSeries,
    StopNode,
)
# Beside a store that comes back from a copy.
RESTORES: tuple[type[Fault], ...] = (
    ChangeConfiguration,
    CutConnections,
    KillMany,
    KillNode,
    PauseNode,
    RestoreStore,
    RestoreStore,
    StopNode,
    StoreAway,
    StoreLosesAnswers,
    TakeZoneOut,
)
# Orders of versions beside all that can make the system forget them.
ROLLOUTS: tuple[type[Fault], ...] = (
    *RESTORES,
    KillAll,
    KillAll,
    OrderVersion,
    OrderVersion,
    OrderVersion,
)
# Targets that state what they take, and links that carry little.
DEMAND: tuple[type[Fault], ...] = (
    ChangeConfiguration,
    GrowConfiguration,
    NarrowLink,
    ReloadInSeries,
    SlowTarget,
    StateLeaving,
    StateLimit,
    StopBusyNode,
    StopNode,
)
