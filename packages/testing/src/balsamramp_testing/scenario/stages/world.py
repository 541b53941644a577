"""World: nodes in memory whose calls pass over streams of bytes."""

import datetime
import typing

from returns import result

from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import configuration_codec
from balsamramp_core import metrics
from balsamramp_core import platform
from balsamramp_core import resources
from balsamramp_core import settings
from balsamramp_node import accepted_log
from balsamramp_node import core
from balsamramp_node import parts
from balsamramp_node import stream_client
from balsamramp_node import stream_server
from balsamramp_testing import memory_network
from balsamramp_testing import memory_platform
from balsamramp_testing import memory_streams
from balsamramp_testing import memory_target
from balsamramp_testing import virtual_time
from balsamramp_testing import world
from balsamramp_testing.scenario import record
from balsamramp_wire import messages

__all__ = ["PLATFORM", "ScenarioWorld"]

PLATFORM = "platform"
STREAM_PORT = 2
AcceptedT = typing.Callable[[int, tuple[typing.Any, ...]], None]


class RecordingTable(memory_platform.MemoryTable):
    """A table that records the changes it takes in."""

    def __init__(
        self,
        faults: memory_platform.Faults,
        time: clock.Clock,
        seen: record.Record,
    ) -> None:
        super().__init__(faults, time)
        self._seen = seen
        self.began = datetime.timedelta()

    def _apply(self, transaction: platform.Transaction) -> None:
        super()._apply(transaction)
        for write in transaction.writes:
            if not write.key.startswith(accepted_log.LOG_PREFIX):
                continue
            if write.value is not None:
                self._note(write.value)

    def _note(self, value: bytes) -> None:
        now = self._clock.monotonic() - self.began
        for change in configuration_codec.changes_from_bytes(value).unwrap():
            puts = tuple(resources.encode(item) for item in change.puts)
            deletes = tuple((key.kind, key.name) for key in change.deletes)
            self._seen.accepted.append(
                record.Accepted(
                    version=change.version, at=now, puts=puts, deletes=deletes
                )
            )


class ReachableTable(platform.Table):
    """The table as one node reaches it over the network."""

    def __init__(
        self,
        table: platform.Table,
        network: memory_network.MemoryNetwork,
        node: str,
    ) -> None:
        self._table = table
        self._network = network
        self._node = node

    async def read(
        self, key: str
    ) -> result.Result[platform.Row | None, platform.PlatformError]:
        if not self._network.links(self._node, PLATFORM):
            return result.Failure(_unreachable())
        return await self._table.read(key)

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> result.Result[list[platform.Row], platform.PlatformError]:
        if not self._network.links(self._node, PLATFORM):
            return result.Failure(_unreachable())
        return await self._table.scan(prefix, after, limit)

    async def commit(
        self, transaction: platform.Transaction
    ) -> result.Result[None, platform.PlatformError]:
        if not self._network.links(self._node, PLATFORM):
            return result.Failure(_unreachable())
        return await self._table.commit(transaction)


class ReachableObjectStore(platform.ObjectStore):
    """The object store as one node reaches it over the network."""

    def __init__(
        self,
        objects: platform.ObjectStore,
        network: memory_network.MemoryNetwork,
        node: str,
    ) -> None:
        self._objects = objects
        self._network = network
        self._node = node

    async def put(
        self, key: str, value: bytes
    ) -> result.Result[None, platform.PlatformError]:
        if not self._network.links(self._node, PLATFORM):
            return result.Failure(_unreachable())
        return await self._objects.put(key, value)

    async def get(
        self, key: str
    ) -> result.Result[bytes | None, platform.PlatformError]:
        if not self._network.links(self._node, PLATFORM):
            return result.Failure(_unreachable())
        return await self._objects.get(key)

    async def list(
        self, prefix: str
    ) -> result.Result[typing.Any, platform.PlatformError]:
        if not self._network.links(self._node, PLATFORM):
            return result.Failure(_unreachable())
        return await self._objects.list(prefix)

    async def delete(self, key: str) -> result.Result[None, typing.Any]:
        if not self._network.links(self._node, PLATFORM):
            return result.Failure(_unreachable())
        return await self._objects.delete(key)


class ScenarioWorld(world.World):
    """Nodes in memory that record what comes into force on them."""

    def __init__(self, seed: int, seen: record.Record) -> None:
        super().__init__(seed)
        self._seen = seen
        self.recording = RecordingTable(self.faults, self.clock, seen)
        self.table = self.recording
        self.network.place(PLATFORM, PLATFORM)
        self.streams = memory_streams.MemoryStreams(self.network, self.clock)
        virtual_time.use_streams(self.streams)

    def outside(
        self, identity: core.Identity, counters: metrics.Metrics
    ) -> parts.Parts:
        name = identity.node
        streams = stream_client.StreamClient(
            messages.Hello(name, identity.incarnation), self.clock, counters
        )
        return parts.Parts(
            table=ReachableTable(self.table, self.network, name),
            objects=ReachableObjectStore(self.objects, self.network, name),
            control=memory_network.MemoryControl(name, self.network),
            calls=streams,
            targets=memory_target.MemoryTargetClient(self.clock),
            services=(streams,),
        )

    def prepare(self, node: world.WorldNode) -> None:
        made = node.core
        identity = made.identity
        made.kernel.add(
            stream_server.StreamServer(
                messages.Hello(identity.node, identity.incarnation),
                settings.Address(identity.node, STREAM_PORT),
                made.door,
                self.clock,
                node.metrics,
            )
        )
        made.store.listen(lambda later: self._note_swap(identity, later))

    def _note_swap(
        self, identity: core.Identity, later: configuration.Configuration
    ) -> None:
        found = {}
        dangling = []
        for key, item in later.resources.items():
            found[key.kind, key.name] = resources.encode(item)
            for needed in item.dependencies():
                if needed not in later.resources:
                    dangling.append(f"{key} needs {needed}")
        self._seen.swaps.append(
            record.Swap(
                node=identity.node,
                incarnation=identity.incarnation,
                at=self.clock.monotonic() - self.recording.began,
                version=later.version,
                resources=found,
                dangling=tuple(dangling),
            )
        )


def _unreachable() -> platform.PlatformError:
    kind = platform.PlatformErrorKind.UNAVAILABLE
    return platform.PlatformError(kind, "the platform cannot be reached")
