"""A zone whose nodes read one store, in virtual time.

Guards in tests against states of the configuration that are late or old.
"""

import asyncio
import contextlib
import datetime
import random

import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import intents
from balsamramp_core import metrics
from balsamramp_core import remote_clock
from balsamramp_core import resource
from balsamramp_core import storage
from balsamramp_core.resources import entry
from balsamramp_core.resources import service
from balsamramp_node.configuration import intent_store_reader
from balsamramp_node.configuration import read_age
from balsamramp_node.configuration import readiness
from balsamramp_node.configuration import restored_intents
from balsamramp_node.configuration import store
from balsamramp_node.configuration import zone_feed
from balsamramp_node.membership import member_list
from balsamramp_node.process import decision_log
from balsamramp_testing import member_fixture
from balsamramp_testing import memory_network
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

__all__ = [
    "FeedNode",
    "FeedSource",
    "FeedZone",
    "OperatorsStore",
    "make_entry",
    "started_zone",
]

CAJA = service.Service(name="caja")
NODES = 12
ROUTES = 400
# Time for a copy of the whole configuration, by the rate of the link.
READ_SECONDS = {100.0: 0.02, 5.0: 0.4}
# How long a poll waits beyond its time for an answer.
FEED_TIMEOUT = 0.6
MILLISECOND = datetime.timedelta(milliseconds=1)
# The clocks of the store and of the nodes have nothing in common.
STORE_CLOCK_OFFSET = datetime.timedelta(hours=7, microseconds=250)


def make_entry(name: str) -> entry.Entry:
    return entry.Entry(
        name=name,
        host="h",
        path_prefix=f"/{name}/",
        parts=(entry.Part(service="caja"),),
    )


@attrs.frozen
class State:
    """What operators had declared from a time of the store's clock on."""

    since: datetime.timedelta
    revision: int
    resources: tuple[resource.Resource, ...]


class OperatorsStore:
    """The operators' state, with a revision for each change."""

    def __init__(self, time: clock.Clock) -> None:
        self.clock = time
        self.revision = 1
        self.resources: dict[str, resource.Resource] = {"caja": CAJA}
        for number in range(ROUTES):
            self.resources[f"r{number}"] = make_entry(f"r{number}")
        self.changed = asyncio.Event()
        self.silent = False
        self._history: list[State] = []
        self._record()

    def add(self, *names: str) -> None:
        for name in names:
            self.resources[name] = make_entry(name)
        self.revision += 1
        self._record()
        self.changed.set()
        self.changed = asyncio.Event()

    @property
    def now(self) -> datetime.timedelta:
        """Return the time of the store's clock, in whole milliseconds."""
        elapsed = self.clock.monotonic() + STORE_CLOCK_OFFSET
        return elapsed // MILLISECOND * MILLISECOND

    def state_at(self, moment: datetime.timedelta) -> "State":
        """Return the state at a time of the store's clock."""
        found = self._history[0]
        for state in self._history:
            if state.since <= moment:
                found = state
        return found

    def _record(self) -> None:
        resources = tuple(self.resources.values())
        self._history.append(State(self.now, self.revision, resources))


class FeedSource(intents.IntentSource):
    """Reads the store over a link of its own.

    Responses arrive ``delay_seconds`` later than they would, and are of
    ``lag_seconds`` ago; with ``states_now`` they state the present time all
    the same. While it is ``away`` reads fail.
    """

    def __init__(self, operators: OperatorsStore, read_seconds: float) -> None:
        self.copies = 0
        self.reads = 0
        self.clock_reads = 0
        self.away = False
        self.delay_seconds = 0.0
        self.lag_seconds = 0.0
        self.states_now = False
        self._operators = operators
        self._read_seconds = read_seconds
        self._revision = 0
        self._read_at: datetime.timedelta | None = None
        self._store_clock = remote_clock.RemoteClock(operators.clock)

    @property
    def clock(self) -> remote_clock.RemoteClock:
        return self._store_clock

    @property
    def read_at(self) -> datetime.timedelta | None:
        return self._read_at

    def restart(self) -> None:
        self._revision = 0

    async def read_clock(self) -> None:
        self.clock_reads += 1
        sent_at = self._operators.clock.monotonic()
        await asyncio.sleep(self.delay_seconds)
        received_at = self._operators.clock.monotonic()
        self._store_clock.record(sent_at, received_at, self._operators.now)

    async def next(
        self, poll_time: datetime.timedelta
    ) -> result.Result[intents.Intents | None, storage.StorageError]:
        self.reads += 1
        if self.away:
            kind = storage.StorageErrorKind.UNAVAILABLE
            return result.Failure(storage.StorageError(kind, "away"))
        if self._operators.silent and self._revision:
            await asyncio.sleep(poll_time.total_seconds() + FEED_TIMEOUT)
            self._revision = 0
            kind = storage.StorageErrorKind.UNAVAILABLE
            return result.Failure(storage.StorageError(kind, "silent"))
        sent_at = self._operators.clock.monotonic()
        state = await self._wait_for_state(poll_time)
        if self.away:
            # A read in flight is not answered any more.
            kind = storage.StorageErrorKind.UNAVAILABLE
            return result.Failure(storage.StorageError(kind, "away"))
        stated = self._operators.now
        if not self.states_now:
            stated -= datetime.timedelta(seconds=self.lag_seconds)
        changed = state.revision != self._revision
        if changed:
            self.copies += 1
            self._revision = state.revision
            await asyncio.sleep(self._read_seconds)
        await asyncio.sleep(self.delay_seconds)
        received_at = self._operators.clock.monotonic()
        self._store_clock.record(sent_at, received_at, stated)
        self._read_at = stated
        if not changed:
            return result.Success(None)
        return result.Success(
            intents.Intents(revision=state.revision, resources=state.resources)
        )

    async def _wait_for_state(self, poll_time: datetime.timedelta) -> State:
        """Return the state after a change, or after ``poll_time``."""
        lag = datetime.timedelta(seconds=self.lag_seconds)
        state = self._operators.state_at(self._operators.now - lag)
        if state.revision != self._revision:
            return state
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(poll_time.total_seconds()):
                await self._operators.changed.wait()
                await asyncio.sleep(self.lag_seconds)
        return self._operators.state_at(self._operators.now - lag)


@attrs.define
class FeedNode:
    member: messages.Member
    source: FeedSource
    configurations: store.ConfigurationStore
    feed: zone_feed.ZoneFeed
    reader: intent_store_reader.IntentStoreReader
    counters: metrics.Metrics

    def has(self, name: str) -> bool:
        key = resource.ResourceKey(entry.Entry.kind, name)
        return key in self.configurations.current.resources


class FeedZone:
    def __init__(self) -> None:
        self.clock = virtual_time.VirtualClock()
        self.network = memory_network.MemoryNetwork(
            self.clock, random.Random(1)
        )
        self.operators = OperatorsStore(self.clock)
        self.is_of_one_generation: restored_intents.Comparison = (
            lambda first, second: True
        )
        self.members = member_list.MemberList()
        self._gossip: asyncio.Task[None] | None = None
        self.nodes = [self._make_node(f"n{i:02}", i) for i in range(NODES)]

    def _make_node(self, name: str, number: int) -> FeedNode:
        link_rate = 100.0 if number in (3, 7) else 5.0
        member = member_fixture.make_member(name, link_rate=link_rate)
        self.members.put(member)
        control = memory_network.MemoryControl(name, self.network)
        self.network.add_control(name, "z", control)
        counters = metrics.Metrics()
        configurations = store.ConfigurationStore(counters)
        decisions = decision_log.DecisionLog(
            decision_log.NullSink(), self.clock
        )
        age = read_age.ReadAge(self.clock)
        restored = restored_intents.RestoredIntents(
            configurations,
            self.is_of_one_generation,
            self.clock,
            counters,
            decisions,
        )
        source = FeedSource(self.operators, READ_SECONDS[member.link_rate])
        feed = zone_feed.ZoneFeed(
            member,
            self.members,
            control,
            configurations,
            age,
            self.clock,
            counters,
            decisions,
            restored,
            source.clock,
        )
        reader = intent_store_reader.IntentStoreReader(
            source,
            configurations,
            readiness.Readiness(configurations),
            age,
            self.clock,
            counters,
            decisions,
            random.Random(number),
            feed,
            restored,
        )
        return FeedNode(member, source, configurations, feed, reader, counters)

    async def start(self) -> None:
        for node in self.nodes:
            await node.reader.start()
        await asyncio.sleep(5)

    async def stop(self) -> None:
        if self._gossip is not None:
            self._gossip.cancel()
        for node in self.nodes:
            await node.reader.stop()
            await node.feed.stop()

    def copies(self) -> list[int]:
        """Return how often each node has read the store."""
        return [node.source.copies for node in self.nodes]

    def readers_since(self, copies: list[int]) -> list[str]:
        """Return the nodes that have read the store since then."""
        return [
            node.member.node
            for node, before in zip(self.nodes, copies, strict=True)
            if node.source.copies > before
        ]

    def delay_messages(self, node: FeedNode, seconds: float) -> None:
        """Have the node handle what it is told so much later."""
        control = self.network.control_at(node.member.control)
        assert control is not None
        handler = control.handlers[messages.StateRequest]

        async def handle(
            request: messages.ControlRequest,
        ) -> messages.StateReply:
            timer = asyncio.get_running_loop().call_later
            timer(seconds, lambda: asyncio.ensure_future(handler(request)))
            return messages.StateReply(node.configurations.current.version)

        control.handlers[messages.StateRequest] = handle

    def drop_read_times(self, node: FeedNode) -> None:
        """Have the node be told as by readers of an earlier release."""
        control = self.network.control_at(node.member.control)
        assert control is not None
        handler = control.handlers[messages.StateRequest]

        async def handle(
            request: messages.StateRequest,
        ) -> messages.StateReply:
            reply: messages.StateReply = await handler(
                attrs.evolve(request, read_at=None)
            )
            return reply

        control.handlers[messages.StateRequest] = handle

    def gossip_versions(self, interval_seconds: float) -> None:
        """Have peers of other zones tell the version of the store."""

        async def run() -> None:
            while True:
                await asyncio.sleep(interval_seconds)
                for node in self.nodes:
                    version = self.operators.revision
                    node.reader.record_later_version(version)

        self._gossip = asyncio.create_task(run())

    def kill(self, node: FeedNode) -> None:
        """Silence a node; the others still believe that it is alive."""
        self.network.down.add(node.member.node)
        node.source.away = True

    async def time_until_all_have(self, name: str) -> float:
        """Return how long it takes; nodes that are down don't count."""
        started = self.clock.monotonic()
        while not all(
            node.has(name)
            for node in self.nodes
            if node.member.node not in self.network.down
        ):
            await asyncio.sleep(0.02)
            if self.clock.monotonic() - started > 10 * FIVE_SECONDS:
                raise AssertionError(f"{name} is not in force everywhere")
        return (self.clock.monotonic() - started).total_seconds()


FIVE_SECONDS = datetime.timedelta(seconds=5)


async def started_zone() -> FeedZone:
    zone = FeedZone()
    await zone.start()
    return zone
