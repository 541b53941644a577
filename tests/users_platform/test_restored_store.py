"""The store comes back from a copy that is some seconds old.

What was written since is gone, versions go back and are given out again, and
the era rises. No node may take over what is older than what it has in force,
nor miss what the operator writes again.
"""

import asyncio
from collections import abc
import datetime
import pathlib
import typing

import aiohttp
import fake_store
import pytest
from returns import result
import sidecar_fleet
import store_client
import store_intent_source
import store_outcome_publisher
import store_platform_adapter
import store_revision

from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import intents
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core import restored_rows
from balsamramp_core import settings
from balsamramp_core import storage
from balsamramp_core.resources import rollout_order
from balsamramp_core.resources import zone
from balsamramp_node.configuration import intent_store_reader
from balsamramp_node.configuration import restored_intents
from balsamramp_node.configuration import store as configuration_store
from balsamramp_node.process import decision_log
from balsamramp_node.rollouts import outcome_reporter
from balsamramp_testing import list_sink
from balsamramp_testing import virtual_time

TIMEOUT = datetime.timedelta(seconds=5)
POLL_TIME = datetime.timedelta(seconds=0.2)
HOST = "caja.example"
HEADER_PREFIX = "X-Balsamramp-"
# Bound of the users for a change to be in force, from its acknowledgement.
APPLY_SECONDS = 2.0
AGREEMENT_SECONDS = 10.0
KINDS = storage.StorageErrorKind
Kind = typing.TypeVar("Kind")


class _Node:
    """What one node reads and writes, over connections of its own."""

    def __init__(self, store: fake_store.FakeStore) -> None:
        address = settings.Address("127.0.0.1", store.port)
        self.clock = virtual_time.VirtualClock()
        self.client = store_client.StoreClient(
            address, TIMEOUT, clock.SystemClock()
        )
        self.table = store_client.StoreTable(self.client)
        self.source = store_intent_source.StoreIntentSource(self.client)
        self.publisher = store_outcome_publisher.StoreOutcomePublisher(
            self.client
        )
        counters = metrics.Metrics()
        self.configurations = configuration_store.ConfigurationStore(counters)
        self.restored = restored_intents.RestoredIntents(
            self.configurations,
            store_platform_adapter.is_of_one_generation,
            self.clock,
            counters,
            decision_log.DecisionLog(list_sink.ListSink(), self.clock),
        )
        self._latest: intents.Intents | None = None

    @property
    def label(self) -> int:
        """Return the number of the configuration in force."""
        return self.restored.number

    async def follow(self) -> list[resource.Resource]:
        """Read until nothing new comes; return what is in force."""
        while True:
            read = await self.source.next(POLL_TIME)
            if isinstance(read, result.Failure):
                continue
            found = read.unwrap()
            if found is None and not self.restored.is_due:
                return list(self.configurations.current.resources.values())
            self._latest = found or self._latest
            assert self._latest is not None
            await self._apply(self.restored.merge(self._latest))

    async def _apply(self, merged: intents.Intents) -> None:
        current = self.configurations.current
        assert merged.revision > current.version
        built = await intent_store_reader.build_configuration(
            current, merged, self.clock.now()
        )
        later, _ = built.unwrap()
        assert self.configurations.restore(configuration.Snapshot(later))
        self.restored.record_number(merged.number)

    async def zones(self) -> set[str]:
        """Return the zones that are out of service."""
        return {item.name for item in _of(await self.follow(), zone.Zone)}


def _of(found: list[resource.Resource], kind: type[Kind]) -> list[Kind]:
    return [item for item in found if isinstance(item, kind)]


def _try(
    main: abc.Callable[[fake_store.FakeStore, _Node], abc.Awaitable[None]],
    era: int = 1,
) -> None:
    async def start() -> None:
        store = fake_store.FakeStore()
        store.era = era
        await store.start()
        node = _Node(store)
        try:
            async with asyncio.timeout(30):
                await main(store, node)
        finally:
            await node.client.stop()
            await store.stop()

    asyncio.run(start())


def _configure(store: fake_store.FakeStore, version: int) -> None:
    store.put("op", "config", sidecar_fleet.configuration(version))


def test_revisions_are_ordered_by_era_first() -> None:
    stages = store_revision.Stage
    ordered = [
        store_revision.StoreRevision(0, 2**41 - 1),
        store_revision.StoreRevision(1, 7),
        store_revision.StoreRevision(1, 7, stages.HELD),
        store_revision.StoreRevision(1, 7, stages.SETTLED),
        store_revision.StoreRevision(1, 8),
        store_revision.StoreRevision(2, 1),
        store_revision.StoreRevision(store_revision.ERA_MAX, 2**41 - 1),
    ]
    numbers = [int(item) for item in ordered]
    assert numbers == sorted(numbers)
    assert numbers[-1] < 2**63
    split = [store_revision.StoreRevision.split(item) for item in numbers]
    assert split == ordered


def test_feed_does_not_go_on_beyond_a_restore() -> None:
    """Guards against rows skipped by a feed that gets no 410.

    After the restore the operator writes more than was lost, so that the old
    position of the feed has been given out again.
    """

    async def main(store: fake_store.FakeStore, node: _Node) -> None:
        _configure(store, 3)
        copy = store.copy()
        store.put("op", "evacuate/z-a", {})
        assert await node.zones() == {"z-a"}
        store.restore(copy)
        store.put("op", "evacuate/z-b", {})
        store.put("op", "evacuate/z-a", {})
        _configure(store, 4)
        assert await node.zones() == {"z-a", "z-b"}
        assert node.label == 4

    _try(main)


def test_earlier_configuration_is_not_applied() -> None:
    async def main(store: fake_store.FakeStore, node: _Node) -> None:
        _configure(store, 3)
        copy = store.copy()
        _configure(store, 5)
        await node.follow()
        assert node.label == 5
        store.restore(copy)
        await node.follow()
        assert node.label == 5
        _configure(store, 5)
        await node.follow()
        assert node.label == 5
        _configure(store, 6)
        await node.follow()
        assert node.label == 6

    _try(main)


@pytest.mark.parametrize("drills", [1, 2, 3])
def test_evacuation_holds_until_it_is_written_again(drills: int) -> None:
    async def main(store: fake_store.FakeStore, node: _Node) -> None:
        _configure(store, 3)
        copy = store.copy()
        store.put("op", "evacuate/z-a", {})
        assert await node.zones() == {"z-a"}
        for _ in range(drills):
            store.restore(copy)
            assert await node.zones() == {"z-a"}
        store.put("op", "evacuate/z-a", {})
        assert await node.zones() == {"z-a"}
        store.remove("op", "evacuate/z-a")
        assert await node.zones() == set()

    _try(main)


def test_zone_that_was_taken_back_stays_in_until_its_row_changes() -> None:
    async def main(store: fake_store.FakeStore, node: _Node) -> None:
        _configure(store, 3)
        store.put("op", "evacuate/z-a", {})
        assert await node.zones() == {"z-a"}
        copy = store.copy()
        store.remove("op", "evacuate/z-a")
        assert await node.zones() == set()
        store.restore(copy)
        assert await node.zones() == set()
        store.remove("op", "evacuate/z-a")
        assert await node.zones() == set()
        store.put("op", "evacuate/z-a", {})
        assert await node.zones() == {"z-a"}

    _try(main)


def test_table_is_in_force_when_nobody_writes_again() -> None:
    async def main(store: fake_store.FakeStore, node: _Node) -> None:
        _configure(store, 3)
        copy = store.copy()
        store.put("op", "evacuate/z-a", {})
        await node.follow()
        store.restore(copy)
        assert await node.zones() == {"z-a"}
        await node.clock.sleep(restored_rows.HOLD_TIME)
        assert await node.zones() == set()

    _try(main)


def test_rollout_that_is_written_again_is_the_same_order() -> None:
    """Guards against a bad version that gets calls once more."""

    async def main(store: fake_store.FakeStore, node: _Node) -> None:
        _configure(store, 3)
        copy = store.copy()
        document = {"service": "caja", "to": "v2", "durationS": 10}
        store.put("op", "rollout/caja", document)
        before = _of(await node.follow(), rollout_order.RolloutOrder)
        store.restore(copy)
        assert _of(await node.follow(), rollout_order.RolloutOrder) == before
        _configure(store, 4)
        version = store.put("op", "rollout/caja", document)
        again = _of(await node.follow(), rollout_order.RolloutOrder)
        assert [item.revision for item in again] == [version]
        assert again[0].earlier_revisions == (before[0].revision,)
        await node.clock.sleep(restored_rows.HOLD_TIME)
        assert _of(await node.follow(), rollout_order.RolloutOrder) == again
        version = store.put("op", "rollout/caja", document)
        after = _of(await node.follow(), rollout_order.RolloutOrder)
        assert [item.revision for item in after] == [version]
        assert after[0].earlier_revisions == ()

    _try(main)


def test_condition_is_not_carried_over_a_restore() -> None:
    """Guards against a condition that holds by chance."""

    async def main(store: fake_store.FakeStore, node: _Node) -> None:
        copy = store.copy()
        await _write(node, "k", b"first", 0)
        row = (await node.table.read("k")).unwrap()
        assert row is not None
        store.restore(copy)
        # Another node gets the same version for a newer value.
        other = _Node(store)
        await _write(other, "k", b"newer", 0)
        assert isinstance(await node.table.read("other"), result.Success)
        refused = await _commit(node, "k", b"again", row.revision)
        assert refused.failure().kind is KINDS.CONFLICT
        again = (await node.table.read("k")).unwrap()
        assert again is not None and again.value == b"newer"
        await _write(node, "k", b"last", again.revision)
        await other.client.stop()

    _try(main)


def test_write_whose_answer_is_of_a_later_era_is_in_doubt() -> None:
    async def main(store: fake_store.FakeStore, node: _Node) -> None:
        await _write(node, "k", b"first", 0)
        row = (await node.table.read("k")).unwrap()
        assert row is not None
        copy = store.copy()
        store.restore(copy)
        doubtful = await _commit(node, "k", b"second", row.revision)
        assert doubtful.failure().kind is KINDS.OUTCOME_UNKNOWN

    _try(main)


async def _commit(
    node: _Node, key: str, value: bytes, revision: int
) -> result.Result[None, storage.StorageError]:
    return await node.table.commit(
        storage.Transaction(
            (storage.Condition(key, revision),), (storage.Write(key, value),)
        )
    )


async def _write(node: _Node, key: str, value: bytes, revision: int) -> None:
    assert isinstance(
        await _commit(node, key, value, revision), result.Success
    )


def test_answer_of_an_earlier_era_changes_nothing() -> None:
    """It was on its way on another connection."""

    async def main(store: fake_store.FakeStore, node: _Node) -> None:
        _configure(store, 3)
        await node.follow()
        node.client.record_era(2)
        late = asyncio.create_task(node.table.read("k"))
        await asyncio.sleep(0)
        node.client.record_era(3)
        read = await late
        assert read.failure().message == store_client.EARLIER_ERA

    _try(main, era=2)


@pytest.mark.parametrize("stated", ["", "x", "-1", "1.5", "9" * 40])
def test_era_that_is_no_number_is_logged_and_the_store_followed(
    stated: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def main(store: fake_store.FakeStore, node: _Node) -> None:
        store.era = typing.cast(int, stated)
        _configure(store, 3)
        await node.follow()
        assert node.configurations.current.version == store.version
        _configure(store, 4)
        await node.follow()
        assert node.label == 4

    _try(main, era=0)
    expected = 1 if stated else 0
    assert caplog.text.count("the store states the era") == expected


def test_store_that_states_no_era_any_more_is_followed() -> None:
    async def main(store: fake_store.FakeStore, node: _Node) -> None:
        _configure(store, 3)
        await node.follow()
        store.era = 0
        _configure(store, 4)
        await node.follow()
        assert node.label == 4

    _try(main)


def test_outcome_is_published_again_and_not_over_another_order() -> None:
    async def main(store: fake_store.FakeStore, node: _Node) -> None:
        document = {"service": "caja", "state": "completed", "to": "v1"}
        store.put("status", "rollout/caja", document)
        copy = store.copy()
        outcome = intents.Outcome(
            service="caja",
            version="v2",
            revision=store.put("op", "rollout/caja", {}),
            state=outcome_reporter.ROLLED_BACK,
        )
        await node.publisher.publish(outcome)
        assert store.read("status", "rollout/caja")["state"] == "rolled_back"
        store.restore(copy)
        await node.table.read("k")
        assert node.publisher.generation == 2
        published = await node.publisher.publish(outcome)
        assert isinstance(published, result.Success)
        status = store.read("status", "rollout/caja")
        assert (status["state"], status["to"]) == ("rolled_back", "v2")

    _try(main)


async def _status(sidecar: sidecar_fleet.SidecarProcess, prefix: str) -> int:
    headers = {
        "Host": HOST,
        HEADER_PREFIX + "Request-Id": "r",
        HEADER_PREFIX + "Request-Timeout-Ms": "900",
    }
    url = f"http://{sidecar.address('callers')}{prefix}1"
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers=headers) as answer,
    ):
        await answer.read()
        return answer.status


def _with_route(version: int, name: str) -> dict[str, typing.Any]:
    route = sidecar_fleet.configuration(0)["routes"]["read"]
    return sidecar_fleet.configuration(
        version, **{name: {**route, "prefix": f"/{name}/"}}
    )


async def _wait_for(
    fleet: sidecar_fleet.SidecarFleet, seconds: float, prefix: str
) -> None:
    """Fail if not all nodes serve a route in time."""

    async def served() -> bool:
        for sidecar in fleet.sidecars:
            if await _status(sidecar, prefix) != 200:
                return False
        return True

    async with asyncio.timeout(seconds):
        await fleet.wait_until(served)


def test_fleet_keeps_its_configuration_and_agrees_after_a_restore(
    tmp_path: pathlib.Path,
) -> None:
    """Nodes as processes, of which one reads the store."""

    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path, 1) as fleet:
            store = fleet.store
            store.era = 1
            store.put("op", "config", _with_route(3, "old"))
            for name in ("a", "b", "c"):
                await fleet.start(name)
            await fleet.wait_until_ready()
            await _wait_for(fleet, AGREEMENT_SECONDS, "/old/")
            copy = store.copy()
            store.put("op", "config", _with_route(4, "new"))
            await _wait_for(fleet, APPLY_SECONDS, "/new/")
            store.refuse = 503
            await asyncio.sleep(0.5)
            store.restore(copy)
            store.refuse = 0
            for _ in range(20):
                for sidecar in fleet.sidecars:
                    assert await _status(sidecar, "/new/") == 200
                await asyncio.sleep(0.1)
            store.put("op", "config", _with_route(5, "last"))
            await _wait_for(fleet, APPLY_SECONDS, "/last/")
            await fleet.wait_until(lambda: _are_registered(store, 3))
            for sidecar in fleet.sidecars:
                assert '"event":"store_restored"' in sidecar.log()

    asyncio.run(main())


@pytest.mark.parametrize("seconds", [0.0, 1.5])
def test_node_that_starts_while_the_store_is_behind_is_not(
    tmp_path: pathlib.Path, seconds: float
) -> None:
    """Guards against a start that knows the copy alone.

    It starts so many seconds after the store is back.
    """

    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path, 1) as fleet:
            store = fleet.store
            store.era = 1
            store.put("op", "config", _with_route(3, "old"))
            await fleet.start("a")
            await fleet.start("b", zone="z-b")
            await fleet.wait_until_ready()
            await _wait_for(fleet, AGREEMENT_SECONDS, "/old/")
            copy = store.copy()
            store.put("op", "config", _with_route(4, "new"))
            await _wait_for(fleet, APPLY_SECONDS, "/new/")
            store.restore(copy)
            # Other tables share the versions of the operators'.
            store.put("status", "other", {})
            await asyncio.sleep(seconds)
            late = await fleet.start("d")
            await fleet.wait_until_ready()
            assert await _status(late, "/new/") == 200

    asyncio.run(main())


async def _are_registered(store: fake_store.FakeStore, count: int) -> bool:
    """Return whether the rows of so many nodes are in the store."""
    keys = [key for table, _, key in store.rows if table == "balsamramp"]
    return sum(key.startswith("members/") for key in keys) == count


def test_rows_of_nodes_are_written_again_after_a_restore(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against nodes that a later start can't find."""

    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path, 1) as fleet:
            store = fleet.store
            store.era = 1
            store.put("op", "config", _with_route(3, "old"))
            copy = store.copy()
            for name in ("a", "b"):
                await fleet.start(name)
            await fleet.wait_until_ready()
            await fleet.wait_until(lambda: _are_registered(store, 2))
            store.restore(copy)
            assert not await _are_registered(store, 2)
            async with asyncio.timeout(AGREEMENT_SECONDS):
                await fleet.wait_until(lambda: _are_registered(store, 2))

    asyncio.run(main())
