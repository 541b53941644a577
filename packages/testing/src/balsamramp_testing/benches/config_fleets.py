"""Fleets that the configuration bench compares: ours and two baselines.

All run in one process in virtual time over the memory network. The
baselines hold the same store and speak the same messages; they have no
membership, so what they cost is their distribution alone.
"""

import abc
import asyncio
from collections import abc as collections_abc
import datetime
import typing

import attrs

from balsamramp_core import configuration
from balsamramp_core import configuration_codec
from balsamramp_core import metrics
from balsamramp_core import resources
from balsamramp_core import settings
from balsamramp_node.configuration import accepted_log
from balsamramp_node.configuration import store
from balsamramp_testing import memory_network
from balsamramp_testing import simulation
from balsamramp_wire import messages

__all__ = ["FLEETS", "Fleet", "FleetNotFoundError", "find_fleet"]

POLL_INTERVAL = datetime.timedelta(milliseconds=500)
PUSH_TIMEOUT = datetime.timedelta(milliseconds=500)
SETTLE = datetime.timedelta(seconds=20)

Seen = collections_abc.Callable[[str, int], None]


class Fleet(abc.ABC):
    """Nodes over one platform; ``seen`` hears each version in force."""

    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]

    def __init__(self, size: int, zones: int, seen: Seen) -> None:
        self.world = simulation.Simulation(seed=size)
        self.size = size
        self.zone_of = {
            f"n{number}": f"zone-{number % zones}" for number in range(size)
        }
        self._seen = seen

    @abc.abstractmethod
    async def start(self) -> None:
        """Start all nodes and wait until they have settled."""

    @abc.abstractmethod
    async def submit(self, label: str) -> int:
        """Accept one change and return its version."""

    @abc.abstractmethod
    async def kill(self, name: str) -> None:
        """End a node."""

    @abc.abstractmethod
    async def start_again(self, name: str) -> None:
        """Start a node that was ended; it holds nothing."""

    async def stop(self) -> None:
        """Stop everything."""
        await self.world.stop()


class TreeFleet(Fleet):
    """Whole nodes: leases, push tree, repair, membership."""

    name = "tree"
    doc = "whole nodes: reader leases, push tree, repair by digests"

    async def start(self) -> None:
        for name in self.zone_of:
            await self.start_again(name)
        await self.world.clock.sleep(SETTLE)

    async def submit(self, label: str) -> int:
        reaching = [
            name
            for name in sorted(self.world.nodes)
            if self.world.network.can_reach(name, memory_network.PLATFORM)
        ]
        node = self.world.random.choice(reaching)
        document = {"kind": "labels", "name": label, "labels": {"a": "b"}}
        return await self.world.apply(node, document)

    async def kill(self, name: str) -> None:
        await self.world.kill_node(name)

    async def start_again(self, name: str) -> None:
        node = await self.world.start_node(name, self.zone_of[name])
        node.core.store.listen(
            lambda current: self._seen(name, current.version)
        )


@attrs.define(eq=False)
class _PlainNode:
    name: str
    store: store.ConfigurationStore
    control: memory_network.MemoryControl
    task: asyncio.Task[None] | None = None


class _PlainFleet(Fleet):
    """Nodes that hold a store and no membership."""

    def __init__(self, size: int, zones: int, seen: Seen) -> None:
        super().__init__(size, zones, seen)
        self._log = accepted_log.AcceptedLog(
            self.world.table, self.world.objects
        )
        self._nodes: dict[str, _PlainNode] = {}
        self._accepted = store.ConfigurationStore(metrics.Metrics())

    async def start(self) -> None:
        for name in self.zone_of:
            await self.start_again(name)
        await self.world.clock.sleep(POLL_INTERVAL)

    async def submit(self, label: str) -> int:
        while True:
            seen = (await self._log.read_head()).unwrap()
            base = self._accepted.current
            document = {"kind": "labels", "name": label, "labels": {"a": "b"}}
            change = configuration.make_change(
                base,
                base.version + 1,
                label,
                "bench",
                self.world.clock.now(),
                (resources.decode(document).unwrap(),),
            )
            if seen.version != base.version:
                continue
            self._accepted.apply_change(change).unwrap()
            (await self._log.append(seen, [change])).unwrap()
            return change.version

    async def kill(self, name: str) -> None:
        node = self._nodes.pop(name)
        self.world.network.down.add(name)
        if node.task is not None:
            node.task.cancel()

    async def start_again(self, name: str) -> None:
        held = store.ConfigurationStore(metrics.Metrics())
        held.listen(lambda current: self._seen(name, current.version))
        served = memory_network.MemoryControl(name, self.world.network)
        node = _PlainNode(name, held, served)
        self.world.network.add_control(name, self.zone_of[name], served)
        self._nodes[name] = node
        self._prepare(node)

    async def stop(self) -> None:
        for name in list(self._nodes):
            await self.kill(name)
        await super().stop()

    @abc.abstractmethod
    def _prepare(self, node: _PlainNode) -> None:
        """Start what the node does."""

    def _reachable(self, name: str) -> bool:
        return self.world.network.can_reach(name, memory_network.PLATFORM)

    async def _poll(self, node: _PlainNode) -> None:
        jitter = self.world.random.random()
        await self.world.clock.sleep(POLL_INTERVAL * jitter)
        while True:
            if self._reachable(node.name):
                await self._read(node)
            await self.world.clock.sleep(POLL_INTERVAL)

    async def _read(self, node: _PlainNode) -> None:
        head = await self._log.read_head()
        known = node.store.current.version
        if head.value_or(None) is None or head.unwrap().version == known:
            return
        read = await self._log.read_after(known)
        for change in read.value_or([]):
            node.store.apply_change(change)


class PollFleet(_PlainFleet):
    """Every node polls the platform."""

    name = "poll"
    doc = "baseline: every node polls the source"

    def _prepare(self, node: _PlainNode) -> None:
        node.task = asyncio.create_task(self._poll(node))


class FloodFleet(_PlainFleet):
    """The first node polls; each node tells every other what is new."""

    name = "flood"
    doc = "baseline: one node polls, each node tells every peer"

    def _prepare(self, node: _PlainNode) -> None:
        told: set[int] = set()
        sending: set[asyncio.Task[typing.Any]] = set()

        def tell(change: configuration.Change) -> None:
            if change.version in told:
                return
            told.add(change.version)
            request = messages.PushRequest(
                sender=settings.Address(node.name, 1),
                zone=self.zone_of[node.name],
                version=change.version,
                changes=(configuration_codec.change_to_bytes(change),),
            )
            for other in self._nodes:
                if other == node.name:
                    continue
                peer = settings.Address(other, 1)
                task = asyncio.create_task(
                    node.control.send(peer, request, PUSH_TIMEOUT)
                )
                sending.add(task)
                task.add_done_callback(sending.discard)

        async def serve(request: messages.PushRequest) -> messages.PushReply:
            for data in request.changes:
                change = configuration_codec.change_from_bytes(data).unwrap()
                node.store.apply_change(change)
                tell(change)
            return messages.PushReply(node.store.current.version)

        def hear(current: configuration.Configuration) -> None:
            for change in node.store.changes_since(current.version - 1) or []:
                tell(change)

        node.control.handle(messages.PushRequest, serve)
        if node.name == "n0":
            node.store.listen(hear)
            node.task = asyncio.create_task(self._poll(node))


FLEETS: dict[str, type[Fleet]] = {
    item.name: item for item in (TreeFleet, PollFleet, FloodFleet)
}


class FleetNotFoundError(LookupError):
    """No fleet has the given name."""


def find_fleet(name: str) -> type[Fleet]:
    """Return the fleet called ``name``."""
    if name not in FLEETS:
        known = ", ".join(sorted(FLEETS))
        raise FleetNotFoundError(f"no fleet {name!r}; known: {known}")
    return FLEETS[name]
