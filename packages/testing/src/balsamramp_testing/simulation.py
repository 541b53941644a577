"""Simulation of complete nodes in one process, in virtual time."""

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
    """A running node and the fakes that it uses.

    Its tasks run in the simulated process ``scope``.
    """

    core: standalone_services.StandaloneServices
    metrics: metrics.Metrics
    targets: memory_target.MemoryTargetClient
    connector: memory_streams.MemoryConnector
    scope: virtual_time.SimulatedProcess


class Simulation:
    """Nodes on an in-memory platform and network.

    Example::

        async def main() -> None:
            simulation = Simulation(seed=1)
            node = await simulation.start_node("n1", "zone-a")
            simulation.announce("n1", "caja-1", "caja")
            ...
            await simulation.stop()

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
        self,
        name: str,
        zone: str,
        extra: str = "",
        incarnation: int | None = None,
    ) -> SimulatedNode:
        """Start a node; one that was killed restarts without its state.

        ``incarnation`` is that of a node whose VM has another clock.
        """
        virtual_time.use_streams(self.streams)
        seeds = ", ".join(f"{other}:1" for other in list(self.nodes)[:3])
        text = SETTINGS.format(
            name=name,
            zone=zone,
            region=self._region,
            seeds=seeds,
            extra=extra,
        )
        parsed = settings.parse(text, f"{name}.ini", options.OPTIONS).unwrap()
        self._incarnation += 1
        if incarnation is None:
            incarnation = self._incarnation
        identity = standalone_services.Identity(
            name, zone, self._region, incarnation
        )
        scope = virtual_time.SimulatedProcess(f"{name}/{self._incarnation}")
        node = await scope.run(self._start(identity, parsed, scope))
        assert node is not None
        self.nodes[name] = node
        return node

    async def kill_node(self, name: str) -> None:
        """Kill a node; messages that it has not yet sent are lost."""
        self.network.down.add(name)
        await self.nodes.pop(name).scope.kill()
        self.streams.kill(name)

    async def stop_node(self, name: str) -> None:
        """Shut a node down gracefully, then end its tasks."""
        node = self.nodes[name]
        await node.scope.run(self._shut_down(node))
        self.network.down.add(name)
        del self.nodes[name]
        await node.scope.kill()
        self.streams.kill(name)

    async def stop(self) -> None:
        """Kill all nodes."""
        for name in list(self.nodes):
            await self.kill_node(name)

    def prepare(self, node: SimulatedNode) -> None:
        """Customise a node before its services start.

        Subclasses override it; by default it does nothing.
        """

    async def _start(
        self,
        identity: standalone_services.Identity,
        parsed: settings.Settings,
        scope: virtual_time.SimulatedProcess,
    ) -> SimulatedNode:
        name = identity.node
        counters = metrics.Metrics()
        hello = messages.Hello(name, identity.incarnation)
        control = memory_network.MemoryControl(name, self.network)
        client = memory_target.MemoryTargetClient(self.clock)
        connector = memory_streams.MemoryConnector()
        streams = stream_client.StreamClient(
            hello, self.clock, counters, connector.connect
        )

        def platform_reachable() -> bool:
            return self.network.can_reach(name, memory_network.PLATFORM)

        dependencies = node_dependencies.StandaloneDependencies(
            table=memory_platform.LinkedTable(self.table, platform_reachable),
            objects=memory_platform.LinkedObjectStore(
                self.objects, platform_reachable
            ),
            control=control,
            calls=streams,
            targets=client,
            services=(streams,),
        )
        services = standalone_services.StandaloneServices(
            identity,
            parsed,
            dependencies,
            self.clock,
            counters,
            random.Random(self.random.random()),
        )
        services.service_manager.add(
            stream_server.StreamServer(
                hello,
                settings.Address(name, STREAM_PORT),
                services.inbound_handler,
                self.clock,
                counters,
            )
        )
        self.network.add(name, identity.zone, control, scope)
        node = SimulatedNode(services, counters, client, connector, scope)
        self.prepare(node)
        await services.service_manager.start()
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
        """Announce ``target`` at ``node`` and return its memory target."""
        created = memory_target.MemoryTarget(target)
        simulated = self.nodes[node]
        memory = simulated.targets.targets.setdefault(target, created)
        announcement = targets.Announcement(
            target=target,
            service=service,
            url=f"http://{target}",
            instance=instance,
            labels={"version": version},
        )
        simulated.scope.do(
            simulated.core.targets.announce, announcement
        ).unwrap()
        return memory

    async def apply(self, node: str, *documents: dict[str, typing.Any]) -> int:
        """Submit resources through ``node``; return the new version."""
        puts = tuple(resources.decode(item).unwrap() for item in documents)
        proposal = change_committer.ChangeProposal(
            change_id=f"{self.random.getrandbits(64):x}",
            author="test",
            puts=puts,
        )
        simulated = self.nodes[node]
        work = simulated.core.operator_service.submit(proposal)
        outcome = await simulated.scope.run(work)
        if outcome is None:
            raise ConnectionResetError(
                f"node {node} was killed before it committed the change"
            )
        return outcome.unwrap().version

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
        """Send a call to ``node``, the ingress node, and return the reply."""
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
        simulated = self.nodes[node]
        reply = await simulated.scope.run(
            simulated.core.call_proxy.call(request)
        )
        if reply is None:
            raise ConnectionResetError(
                f"node {node} was killed before the call ended"
            )
        return reply
