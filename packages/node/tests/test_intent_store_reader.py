"""States of an external store come into force as a whole, in order.

Guards against older or invalid states in force, and against a reader
that stops after the store was unavailable.
"""

import asyncio
import datetime
import random

import attrs
import pytest
from returns import result

from balsamramp_core import configuration
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
from balsamramp_testing import list_sink
from balsamramp_testing import member_fixture
from balsamramp_testing import memory_network
from balsamramp_testing import virtual_time

CAJA = service.Service(name="caja")
STORE_UNAVAILABLE = storage.StorageError(
    storage.StorageErrorKind.UNAVAILABLE, "unavailable"
)
ROUTES = 1300
# A node has to answer pings within 250 ms on less than half of a core.
EDITS_PER_TURN_MAX = 200

Read = result.Result[intents.Intents | None, storage.StorageError]


class _FakeSource(intents.IntentSource):
    """Returns the given reads, then reports no new state."""

    def __init__(
        self, reads: list[Read], clock: virtual_time.VirtualClock
    ) -> None:
        self._reads = reads
        self._clock = clock
        self._store_clock = remote_clock.RemoteClock(clock)
        now = clock.monotonic()
        self._store_clock.record(now, now, now)

    @property
    def clock(self) -> remote_clock.RemoteClock:
        return self._store_clock

    @property
    def read_at(self) -> datetime.timedelta:
        return self._clock.monotonic()

    async def read_clock(self) -> None:
        """Do nothing: the clock of the store is the own one."""

    def restart(self) -> None:
        """Do nothing: the reads are given."""

    async def next(self, poll_time: datetime.timedelta) -> Read:
        if self._reads:
            return self._reads.pop(0)
        await self._clock.sleep(intent_store_reader.RETRY_MAX)
        return result.Success(None)


def _entry(name: str, to: str = "caja") -> entry.Entry:
    return entry.Entry(
        name=name,
        host="h",
        path_prefix=f"/{name}/",
        parts=(entry.Part(service=to),),
    )


def _intents(revision: int, *items: resource.Resource) -> Read:
    return result.Success(intents.Intents(revision=revision, resources=items))


def _never_restored(
    configurations: store.ConfigurationStore, clock: virtual_time.VirtualClock
) -> restored_intents.RestoredIntents:
    return restored_intents.RestoredIntents(
        configurations,
        lambda first, second: True,
        clock,
        metrics.Metrics(),
        decision_log.DecisionLog(decision_log.NullSink(), clock),
    )


def _feed_of_one_node(
    configurations: store.ConfigurationStore, clock: virtual_time.VirtualClock
) -> zone_feed.ZoneFeed:
    """Return a feed that has its only node read the store."""
    own = member_fixture.make_member("own")
    members = member_list.MemberList()
    members.put(own)
    network = memory_network.MemoryNetwork(clock, random.Random(1))
    return zone_feed.ZoneFeed(
        own,
        members,
        memory_network.MemoryControl("own", network),
        configurations,
        read_age.ReadAge(clock),
        clock,
        metrics.Metrics(),
        decision_log.DecisionLog(decision_log.NullSink(), clock),
        _never_restored(configurations, clock),
        remote_clock.RemoteClock(clock),
    )


async def _count_turns(
    configurations: store.ConfigurationStore, edits_by_turn: list[int]
) -> None:
    while configurations.current.version == 0:
        await asyncio.sleep(0)
        edits_by_turn.append(0)


def _read_all(
    *reads: Read, edits_by_turn: list[int] | None = None
) -> store.ConfigurationStore:
    async def main() -> store.ConfigurationStore:
        clock = virtual_time.VirtualClock()
        counters = metrics.Metrics()
        configurations = store.ConfigurationStore(counters)
        ready = readiness.Readiness(configurations)
        ready.record_peers_tried()
        reader = intent_store_reader.IntentStoreReader(
            _FakeSource(list(reads), clock),
            configurations,
            ready,
            read_age.ReadAge(clock),
            clock,
            counters,
            decision_log.DecisionLog(decision_log.NullSink(), clock),
            random.Random(1),
            _feed_of_one_node(configurations, clock),
            _never_restored(configurations, clock),
        )
        await reader.start()
        if edits_by_turn is not None:
            await _count_turns(configurations, edits_by_turn)
        await clock.sleep(10 * intent_store_reader.RETRY_MAX)
        await reader.stop()
        return configurations

    return virtual_time.run(main())


def _names(configurations: store.ConfigurationStore) -> list[str]:
    return [str(key) for key in sorted(configurations.current.resources)]


def test_applies_changes_and_reuses_unchanged_resources() -> None:
    kept = _entry("a")
    configurations = _read_all(
        _intents(5, CAJA, kept, _entry("b")),
        _intents(9, CAJA, _entry("a"), _entry("c")),
    )
    assert configurations.current.version == 9
    assert _names(configurations) == ["entry/a", "entry/c", "service/caja"]
    assert configurations.current.resources[kept.key] is kept
    assert configurations.in_service


def test_ignores_older_revision() -> None:
    configurations = _read_all(
        _intents(9, CAJA, _entry("a")), _intents(5, CAJA)
    )
    assert configurations.current.version == 9
    assert _names(configurations) == ["entry/a", "service/caja"]


def test_rejects_state_with_missing_dependency_as_a_whole() -> None:
    configurations = _read_all(
        _intents(5, CAJA, _entry("a")),
        _intents(9, CAJA, _entry("b"), _entry("c", to="missing")),
    )
    assert configurations.current.version == 5
    assert _names(configurations) == ["entry/a", "service/caja"]


def test_rejects_duplicate_key() -> None:
    other = attrs.evolve(_entry("a"), priority=1)
    configurations = _read_all(_intents(5, CAJA, _entry("a"), other))
    assert configurations.current.version == 0
    assert not configurations.current.resources


def test_retries_while_store_is_unavailable() -> None:
    unavailable: Read = result.Failure(STORE_UNAVAILABLE)
    configurations = _read_all(
        unavailable, unavailable, unavailable, _intents(5, CAJA)
    )
    assert configurations.current.version == 5
    assert configurations.in_service


def test_applying_many_routes_does_not_block_the_event_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    edits_by_turn = [0]
    item_hash = configuration.item_hash

    def count(item: resource.Resource) -> int:
        edits_by_turn[-1] += 1
        return item_hash(item)

    monkeypatch.setattr(configuration, "item_hash", count)
    entries = [_entry(f"r{number}") for number in range(ROUTES)]
    configurations = _read_all(
        _intents(5, CAJA, *entries), edits_by_turn=edits_by_turn
    )
    assert len(configurations.current.resources) == ROUTES + 1
    assert sum(edits_by_turn) == ROUTES + 1
    assert max(edits_by_turn) <= EDITS_PER_TURN_MAX


def test_newer_configuration_of_a_peer_stays_in_force() -> None:
    async def main() -> None:
        clock = virtual_time.VirtualClock()
        counters = metrics.Metrics()
        configurations = store.ConfigurationStore(counters)
        reader = intent_store_reader.IntentStoreReader(
            _FakeSource([_intents(5, CAJA, _entry("a"))], clock),
            configurations,
            readiness.Readiness(configurations),
            read_age.ReadAge(clock),
            clock,
            counters,
            decision_log.DecisionLog(decision_log.NullSink(), clock),
            random.Random(1),
            _feed_of_one_node(configurations, clock),
            _never_restored(configurations, clock),
        )
        newer = configuration.merge(
            configuration.EMPTY, 7, (CAJA, _entry("b")), ()
        )
        await reader.start()
        while configurations.current.version == 0:
            await asyncio.sleep(0)
            configurations.restore(configuration.Snapshot(newer))
        await clock.sleep(10 * intent_store_reader.RETRY_MAX)
        await reader.stop()
        assert configurations.current is newer

    virtual_time.run(main())


class _RejectingSource(_FakeSource):
    """Cannot read the newest configuration."""

    @property
    def rejection(self) -> intents.Rejection:
        return intents.Rejection(
            revision=7, message="limits.slots is 0, expected 1 or more"
        )


def test_unreadable_configuration_is_named_where_operators_look() -> None:
    async def main() -> None:
        clock = virtual_time.VirtualClock()
        counters = metrics.Metrics()
        configurations = store.ConfigurationStore(counters)
        ready = readiness.Readiness(configurations)
        ready.record_peers_tried()
        sink = list_sink.ListSink()
        reader = intent_store_reader.IntentStoreReader(
            _RejectingSource([result.Success(None)] * 3, clock),
            configurations,
            ready,
            read_age.ReadAge(clock),
            clock,
            counters,
            decision_log.DecisionLog(sink, clock),
            random.Random(1),
            _feed_of_one_node(configurations, clock),
            _never_restored(configurations, clock),
        )
        await reader.start()
        await clock.sleep(datetime.timedelta(seconds=5))
        await reader.stop()
        cause = "limits.slots is 0, expected 1 or more"
        assert ready.obstacle == f"the configuration is refused: {cause}"
        assert reader.dump()["refused"] == cause
        refusals = [
            line
            for line in sink.lines
            if line["event"] == "configuration_refused"
        ]
        assert [(line["version"], line["cause"]) for line in refusals] == [
            (7, cause)
        ]
        rendered, _ = counters.render()
        assert b'changes_refused_total{kind="invalid"} 1' in rendered

    virtual_time.run(main())
