"""World: whole nodes in one process, on fakes and in virtual time."""

import datetime
import random
import typing

import attrs

from balsamramp_core import metrics
from balsamramp_core import resources
from balsamramp_core import settings
from balsamramp_node.configuration import change_committer
from balsamramp_node.inbound import stream_server
from balsamramp_node.inbound import targets
from balsamramp_node.outbound import call_proxy
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import stream_client
from balsamramp_node.process import node_dependencies
from balsamramp_node.process import options
from balsamramp_node.process import standalone_services
from balsamramp_testing import memory_network
from balsamramp_testing import memory_platform
from balsamramp_testing import memory_streams
from balsamramp_testing import memory_target
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

__all__ = ["Simulation", "SimulatedNode"]

SETTINGS = """\
[node]
id = {name}
zone = {zone}
region = {region}
[listen]
host = {name}
control_port = 1
stream_port = 2
admin_port = 3
[platform]
url = http://platform
[membership]
seeds = {seeds}
{extra}
"""
STREAM_PORT = 2


@attrs.define(eq=False)
class SimulatedNode:
    """A running node and what it was made of.

    Its tasks run in ``scope``.
    """

    core: standalone_services.StandaloneServices
    metrics: metrics.Metrics
    targets: memory_target.MemoryTargetClient
    connector: memory_streams.MemoryConnector
    scope: virtual_time.SimulatedProcess


class Simulation:
    """Nodes, a platform and a network in memory.

    Example::

        async def main() -> None:
            world = World(seed=1)
            node = await world.start_node("n1", "zone-a")
            await world.announce("n1", "caja-1", "caja")
            ...
            await world.stop()

        virtual_time.run(main())
    """

    def __init__(self, seed: int, region: str = "region-1") -> None:
        self.random = random.Random(seed)
        self.clock = virtual_time.VirtualClock()
        self.faults = memory_platform.Faults()
        self.table = memory_platform.MemoryTable(self.faults, self.clock)
        self.objects = memory_platform.MemoryObjectStore(
            self.faults, self.clock
        )
        self.network = memory_network.MemoryNetwork(
            self.clock, random.Random(seed + 1)
        )
        self.streams = memory_streams.MemoryStreams(self.network, self.clock)
        self.nodes: dict[str, SimulatedNode] = {}
        self._region = region
        self._incarnation = 0

    async def start_node(
        self, name: str, zone: str, extra: str = ""
    ) -> SimulatedNode:
        """Start a node; one that was killed starts empty again."""
        virtual_time.use_streams(self.streams)
        seeds = ", ".join(f"{other}:1" for other in list(self.nodes)[:3])
        text = SETTINGS.format(
            name=name,
            zone=zone,
            region=self._region,
            seeds=seeds,
            extra=extra,
        )
        checked = settings.parse(text, f"{name}.ini", options.OPTIONS).unwrap()
        self._incarnation += 1
        identity = standalone_services.Identity(
            name, zone, self._region, self._incarnation
        )
        scope = virtual_time.SimulatedProcess(f"{name}/{self._incarnation}")
        node = await scope.run(self._start(identity, checked, scope))
        assert node is not None
        self.nodes[name] = node
        return node

    async def kill_node(self, name: str) -> None:
        """End a node at once, without any of its messages getting out."""
        self.network.down.add(name)
        await self.nodes.pop(name).scope.kill()
        self.streams.kill(name)

    async def stop_node(self, name: str) -> None:
        """Shut a node down as its process does when asked to end."""
        node = self.nodes[name]
        await node.scope.run(self._shut_down(node))
        self.network.down.add(name)
        del self.nodes[name]
        await node.scope.kill()
        self.streams.kill(name)

    async def stop(self) -> None:
        """Stop all nodes."""
        for name in list(self.nodes):
            await self.kill_node(name)

    def prepare(self, node: SimulatedNode) -> None:
        """Complete a node between its making and its start."""

    async def _start(
        self,
        identity: standalone_services.Identity,
        checked: settings.Settings,
        scope: virtual_time.SimulatedProcess,
    ) -> SimulatedNode:
        name = identity.node
        counters = metrics.Metrics()
        hello = messages.Hello(name, identity.incarnation)
        served = memory_network.MemoryControl(name, self.network)
        client = memory_target.MemoryTargetClient(self.clock)
        connector = memory_streams.MemoryConnector()
        streams = stream_client.StreamClient(
            hello, self.clock, counters, connector.connect
        )

        def link() -> bool:
            return self.network.can_reach(name, memory_network.PLATFORM)

        dependencies = node_dependencies.StandaloneDependencies(
            table=memory_platform.LinkedTable(self.table, link),
            objects=memory_platform.LinkedObjectStore(self.objects, link),
            control=served,
            calls=streams,
            targets=client,
            services=(streams,),
        )
        made = standalone_services.StandaloneServices(
            identity,
            checked,
            dependencies,
            self.clock,
            counters,
            random.Random(self.random.random()),
        )
        made.service_manager.add(
            stream_server.StreamServer(
                hello,
                settings.Address(name, STREAM_PORT),
                made.inbound_handler,
                self.clock,
                counters,
            )
        )
        self.network.add(name, identity.zone, served, scope)
        node = SimulatedNode(made, counters, client, connector, scope)
        self.prepare(node)
        await made.service_manager.start()
        return node

    async def _shut_down(self, node: SimulatedNode) -> None:
        node.core.targets.drain_all()
        await node.core.service_manager.stop()

    def announce(
        self,
        node: str,
        target: str,
        service: str,
        version: str = "v1",
        instance: str = "1",
    ) -> memory_target.MemoryTarget:
        """Announce ``target`` at ``node`` once and return it."""
        made = memory_target.MemoryTarget(target)
        found = self.nodes[node]
        known = found.targets.targets.setdefault(target, made)
        announcement = targets.Announcement(
            target=target,
            service=service,
            url=f"http://{target}",
            instance=instance,
            labels={"version": version},
        )
        found.scope.do(found.core.targets.announce, announcement).unwrap()
        return known

    async def apply(self, node: str, *documents: dict[str, typing.Any]) -> int:
        """Submit resources through ``node``; return their version."""
        puts = tuple(resources.decode(item).unwrap() for item in documents)
        submission = change_committer.ChangeProposal(
            change_id=f"{self.random.getrandbits(64):x}",
            author="test",
            puts=puts,
        )
        found = self.nodes[node]
        work = found.core.operator_service.submit(submission)
        submitted = await found.scope.run(work)
        if submitted is None:
            raise ConnectionResetError(f"node {node} was killed")
        return submitted.unwrap().version

    async def call(
        self,
        node: str,
        service: str,
        method: str = "GET",
        path: str = "/",
        body: bytes = b"",
        timeout: datetime.timedelta = datetime.timedelta(seconds=2),
        key: str = "",
    ) -> call_transport.Reply:
        """Send a call to ``node`` as a caller would."""
        request = call_proxy.IngressRequest(
            service=service,
            method=method,
            path=path,
            headers=(),
            body=body,
            timeout=timeout,
            retries=2,
            idempotency_key=key,
        )
        found = self.nodes[node]
        reply = await found.scope.run(found.core.call_proxy.call(request))
        if reply is None:
            raise ConnectionResetError(f"node {node} was killed")
        return reply
