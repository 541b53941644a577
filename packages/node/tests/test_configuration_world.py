"""Whole nodes in virtual time: acceptance, reading, healing."""

import asyncio
from collections import abc
import datetime
import typing

import pytest
from returns import result
from returns.primitives import exceptions as primitives

from balsamramp_core import resources
from balsamramp_core import verdict
from balsamramp_node.configuration import accepted_log
from balsamramp_node.configuration import change_committer
from balsamramp_node.configuration import distribution
from balsamramp_node.configuration import platform_log_reader
from balsamramp_node.configuration import reader_lease
from balsamramp_node.configuration import readiness
from balsamramp_node.configuration import snapshots
from balsamramp_node.configuration import store
from balsamramp_node.membership import zone_reports
from balsamramp_testing import memory_network
from balsamramp_testing import memory_platform
from balsamramp_testing import simulation
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

CONVERGENCE = datetime.timedelta(seconds=4)
TICK = datetime.timedelta(milliseconds=50)
ZONES = ("zone-a", "zone-b")


def _seconds(count: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=count)


def _submission(
    change_id: str, name: str = "caja", base: int | None = None
) -> change_committer.ChangeProposal:
    item = resources.decode({"kind": "service", "name": name}).unwrap()
    return change_committer.ChangeProposal(
        change_id=change_id, author="ana", puts=(item,), base_version=base
    )


def _versions(world: simulation.Simulation) -> set[int]:
    return {node.core.store.current.version for node in world.nodes.values()}


async def _until(
    world: simulation.Simulation,
    condition: abc.Callable[[], bool],
    limit: datetime.timedelta = CONVERGENCE,
) -> None:
    started_at = world.clock.monotonic()
    while not condition():
        passed = world.clock.monotonic() - started_at
        assert passed <= limit, _versions(world)
        await world.clock.sleep(TICK)


async def _start(
    size: int, extra: str = "", seed: int = 1
) -> simulation.Simulation:
    world = simulation.Simulation(seed=seed)
    for number in range(size):
        await world.start_node(f"n{number}", ZONES[number % 2], extra)
    await world.clock.sleep(_seconds(4))
    return world


async def _submit(
    world: simulation.Simulation,
    node: str,
    submission: change_committer.ChangeProposal,
) -> typing.Any:
    return await world.nodes[node].core.operator_service.submit(submission)


async def _lost_answer() -> None:
    world = await _start(4)
    lost = memory_platform.WriteFault
    world.faults.write_faults.append(lost.LOST_AFTER)
    first = (await _submit(world, "n0", _submission("one"))).unwrap()
    assert first.version == 1
    await _until(world, lambda: _versions(world) == {1})
    await world.kill_node("n0")
    again = (await _submit(world, "n1", _submission("one"))).unwrap()
    assert again.version == 1
    world.faults.write_faults.append(lost.LOST_BEFORE)
    second = (await _submit(world, "n1", _submission("two"))).unwrap()
    assert second.version == 2
    await world.stop()


async def _operators_race() -> None:
    world = await _start(4)
    (await _submit(world, "n0", _submission("zero"))).unwrap()
    outcomes = await asyncio.gather(
        _submit(world, "n0", _submission("one", base=1)),
        _submit(world, "n1", _submission("two", base=1)),
        _submit(world, "n2", _submission("other", "reservas", base=1)),
    )
    refused = [item for item in outcomes if isinstance(item, result.Failure)]
    assert len(refused) == 1
    rejection = refused[0].failure()
    assert rejection.conflict and rejection.accepted is False
    assert "service/caja in" in rejection.message
    assert "by ana" in rejection.message
    await _until(world, lambda: _versions(world) == {3})
    await world.stop()


async def _burst_is_grouped() -> None:
    world = await _start(4)
    before = world.table.writes
    started_at = world.clock.monotonic()
    submitted = []
    for number in range(500):
        submission = _submission(f"id-{number}", f"service-{number}")
        submitted.append(asyncio.create_task(_submit(world, "n0", submission)))
        await world.clock.sleep(_seconds(0.01))
    for outcome in await asyncio.gather(*submitted):
        outcome.unwrap()
    passed = (world.clock.monotonic() - started_at).total_seconds()
    assert (world.table.writes - before) / passed < 75
    await _until(world, lambda: _versions(world) == {500})
    await world.stop()


async def _many_accept_at_once() -> None:
    """Pushed versions that overtake a read are not taken for lost ones."""
    world = await _start(8)
    world.faults.delay = _seconds(0.005)
    submitted = []
    for number in range(200):
        submission = _submission(f"id-{number}", f"service-{number}")
        node = f"n{number % 8}"
        submitted.append(asyncio.create_task(_submit(world, node, submission)))
        await world.clock.sleep(_seconds(0.01))
    for outcome in await asyncio.gather(*submitted):
        outcome.unwrap()
    await _until(world, lambda: _versions(world) == {200})
    await world.stop()


async def _log_loses_its_end() -> None:
    world = await _start(4)
    await world.apply("n0", {"kind": "service", "name": "caja"})
    kept = world.table.backup()
    await world.apply("n0", {"kind": "service", "name": "reservas"})
    await _until(world, lambda: _versions(world) == {2})
    world.network.partition("zone-a", memory_network.PLATFORM)
    world.network.partition("zone-b", memory_network.PLATFORM)
    world.table.restore_backup(kept)
    world.network.heal("zone-a", memory_network.PLATFORM)
    refused = await _submit(world, "n0", _submission("late", "council"))
    assert "nothing is accepted until" in refused.failure().message
    behind = platform_log_reader.LogState.BEHIND
    assert world.nodes["n0"].core.source.state is behind
    await world.clock.sleep(CONVERGENCE)
    third = (await _submit(world, "n0", _submission("late"))).unwrap()
    assert third.version == 3
    world.network.heal("zone-b", memory_network.PLATFORM)
    await _until(world, lambda: _versions(world) == {3})
    await world.start_node("n9", "zone-b")
    await _until(world, lambda: _versions(world) == {3})
    current = world.nodes["n9"].core.store.current
    assert {item.name for item in current.of_kind("service")} == {
        "caja",
        "reservas",
    }
    await world.stop()


async def _log_takes_another_course() -> None:
    world = await _start(4)
    await world.apply("n0", {"kind": "service", "name": "caja"})
    await _until(world, lambda: _versions(world) == {1})
    kept = world.table.backup()
    await world.apply("n0", {"kind": "service", "name": "lost"})
    await _until(world, lambda: _versions(world) == {2})
    doomed = world.nodes["n0"].core.store.accepted()[0].change_id
    seen = [_versions(world)]
    world.table.restore_backup(kept)
    other = accepted_log.AcceptedLog(world.table, world.objects)
    head = (await other.read_head()).unwrap()
    state = (await other.load(head)).unwrap().configuration
    change = change_committer.configuration.make_change(
        state, 2, "other", "bo", world.clock.now(), _submission("").puts
    )
    (await other.append(head, [change])).unwrap()
    for _ in range(80):
        await world.clock.sleep(TICK)
        seen.append(_versions(world))
    lowest = [min(versions) for versions in seen]
    assert lowest == sorted(lowest)
    assert min(lowest[-1:]) >= 3
    digests = {node.core.store.current.digest for node in world.nodes.values()}
    assert digests == {state.digest}
    for node in world.nodes.values():
        status = node.core.operator_service.status()
        assert list(status["configuration"]["lost"]) == [doomed]
    await world.stop()


async def _everything_is_replaced() -> None:
    world = await _start(6, "[snapshots]\nversions = 4")
    for number in range(30):
        await world.apply("n0", {"kind": "service", "name": f"s{number}"})
        await world.clock.sleep(_seconds(1))
    log = [key for key in world.table.backup() if "/log/" in key]
    assert len(log) < 20
    digest = world.nodes["n0"].core.store.current.digest
    await world.stop()
    for number in range(6):
        await world.start_node(f"m{number}", ZONES[number % 2])
    await _until(world, lambda: _versions(world) == {30})
    for node in world.nodes.values():
        assert node.core.store.current.digest == digest
    repeated = world.nodes["m1"].core.store.find_change("no such id")
    assert repeated is None
    await world.stop()


async def _fresh_node_waits() -> None:
    world = await _start(4)
    await world.apply("n0", {"kind": "service", "name": "caja"})
    await _until(world, lambda: _versions(world) == {1})
    for other in ("zone-a", "zone-b", memory_network.PLATFORM):
        world.network.partition("zone-c", other)
    await world.start_node("alone", "zone-c")
    await world.clock.sleep(_seconds(10))
    reply = await world.call("alone", "caja")
    assert isinstance(reply, messages.CallFailure)
    assert reply.failure.verdict is verdict.Verdict.NOT_RUN
    assert reply.failure.reason is verdict.Reason.NOT_READY
    world.network.partition("zone-b", "zone-a")
    world.network.partition("zone-b", memory_network.PLATFORM)
    await world.start_node("fresh", "zone-b")
    fresh = world.nodes["fresh"].core.store
    await _until(world, lambda: fresh.in_service)
    assert fresh.current.version == 1
    for other in ("zone-a", "zone-b", memory_network.PLATFORM):
        world.network.heal("zone-c", other)
    await _until(
        world,
        lambda: world.nodes["alone"].core.store.in_service,
        _seconds(8),
    )
    await world.stop()


async def _readers_die() -> None:
    world = await _start(12)
    readers = [
        name
        for name, node in world.nodes.items()
        if node.core.reader_lease.held
    ]
    assert 2 <= len(readers) <= 4
    for name in readers:
        await world.kill_node(name)
    accepted = accepted_log.AcceptedLog(world.table, world.objects)
    head = (await accepted.read_head()).unwrap()
    change = change_committer.configuration.make_change(
        change_committer.configuration.EMPTY,
        1,
        "elsewhere",
        "bo",
        world.clock.now(),
        _submission("").puts,
    )
    (await accepted.append(head, [change])).unwrap()
    await _until(world, lambda: _versions(world) == {1})
    before = world.table.reads
    await world.clock.sleep(_seconds(10))
    assert (world.table.reads - before) / 10 < 40
    await world.stop()


async def _all_candidates_die() -> None:
    """Others read once the zone has heard nothing for long enough."""
    world = simulation.Simulation(seed=5)
    for number in range(16):
        await world.start_node(f"n{number}", "zone-a")
    await world.clock.sleep(_seconds(4))
    names = sorted(
        world.nodes,
        key=lambda name: reader_lease.xxhash.xxh64_intdigest(name.encode()),
    )
    holders = [
        name
        for name, node in world.nodes.items()
        if node.core.reader_lease.held
    ]
    doomed = {*holders, *names[: reader_lease.CANDIDATES]}
    for name in sorted(doomed):
        await world.kill_node(name)
    limit = reader_lease.STALE_AFTER + 2 * CONVERGENCE

    def read_again() -> bool:
        return any(
            node.core.reader_lease.held for node in world.nodes.values()
        )

    await _until(world, read_again, limit)
    await world.stop()


async def _zones_cut_and_healed() -> None:
    world = await _start(8)
    for other in ("zone-a", memory_network.PLATFORM):
        world.network.partition("zone-b", other)
    await world.apply("n0", {"kind": "service", "name": "caja"})
    await world.clock.sleep(_seconds(20))
    assert _versions(world) == {0, 1}
    cut = world.nodes["n1"].core
    assert cut.reader_lease.read_age > _seconds(15)
    assert cut.membership.members()
    world.network.heal("zone-b", "zone-a")
    await _until(world, lambda: _versions(world) == {1})
    world.faults.down = True
    await world.clock.sleep(_seconds(60))
    assert cut.store.in_service
    refused = await _submit(world, "n1", _submission("down"))
    assert refused.failure().accepted is False
    world.faults.down = False
    world.network.heal("zone-b", memory_network.PLATFORM)
    await world.clock.sleep(_seconds(2))
    (await _submit(world, "n1", _submission("up", "archive"))).unwrap()
    await _until(world, lambda: _versions(world) == {2})
    await world.stop()


async def _bad_version_in_the_log() -> None:
    """A bad version applies nowhere, not in part, and is reported."""
    world = await _start(4)
    await world.apply("n0", {"kind": "service", "name": "caja"})
    await _until(world, lambda: _versions(world) == {1})
    base = world.nodes["n0"].core.store.current
    orphan = {"kind": "alias", "name": "cjaa", "service": "no-such"}
    puts = (*_submission("").puts, resources.decode(orphan).unwrap())
    bad = change_committer.configuration.make_change(
        base, 2, "bad", "bo", world.clock.now(), puts
    )
    accepted = accepted_log.AcceptedLog(world.table, world.objects)
    head = (await accepted.read_head()).unwrap()
    (await accepted.append(head, [bad])).unwrap()
    await world.clock.sleep(_seconds(20))
    assert _versions(world) == {1}
    status = world.nodes["n0"].core.operator_service.status()
    reports = [item for zone in status["zones"] for item in zone["refusals"]]
    assert reports
    for report in reports:
        assert report["node"] in world.nodes
        assert "alias/cjaa needs service/no-such" in report["message"]
    refused = await _submit(world, "n0", _submission("next"))
    assert "refused" in refused.failure().message
    await world.stop()


async def _status_counts() -> None:
    world = await _start(8)
    await world.apply("n0", {"kind": "service", "name": "caja"})
    await _until(world, lambda: _versions(world) == {1})
    await world.clock.sleep(_seconds(8))
    for other in ("zone-a", memory_network.PLATFORM):
        world.network.partition("zone-b", other)
    await world.apply("n0", {"kind": "service", "name": "archive"})
    await world.clock.sleep(_seconds(20))
    status = world.nodes["n2"].core.operator_service.status()
    latest, first = status["versions"]
    assert (latest["version"], latest["in_force"]) == (2, 4)
    assert (first["in_force"], first["nodes"]) == (8, 8)
    lags = {zone["zone"]: zone["lag_s"] for zone in status["zones"]}
    assert lags["zone-a"] == 0 and lags["zone-b"] > 15
    ages = {}
    for name in ("n0", "n1"):
        seen = world.nodes[name].core.operator_service.status()
        ages[name] = seen["configuration"]["read_age_s"]
    assert ages["n0"] < CONVERGENCE.total_seconds() < 15 < ages["n1"]
    world.network.heal("zone-b", "zone-a")
    await world.clock.sleep(_seconds(20))
    status = world.nodes["n2"].core.operator_service.status()
    assert status["versions"][0]["in_force"] == 8
    assert [zone["lag_s"] for zone in status["zones"]] == [0, 0]
    await world.stop()


CASES = {
    "bad version in the log": _bad_version_in_the_log,
    "all candidates die": _all_candidates_die,
    "lost answer": _lost_answer,
    "many accept at once": _many_accept_at_once,
    "operators race": _operators_race,
    "burst is grouped": _burst_is_grouped,
    "log loses its end": _log_loses_its_end,
    "log takes another course": _log_takes_another_course,
    "everything is replaced": _everything_is_replaced,
    "fresh node waits": _fresh_node_waits,
    "readers die": _readers_die,
    "status counts": _status_counts,
    "zones cut and healed": _zones_cut_and_healed,
}


@pytest.mark.parametrize("name", sorted(CASES))
def test_world(name: str) -> None:
    virtual_time.run(CASES[name]())


def _admit(self: readiness.Readiness) -> None:
    self._store.mark_in_service()


async def _no_repair(self: platform_log_reader.PlatformLogReader) -> None:
    return None


def _no_summaries(
    self: zone_reports.ZoneReports, summaries: typing.Any
) -> None:
    return None


WITHOUT = {
    "bad version in the log": (
        change_committer.configuration,
        "problems",
        lambda merged, change: [],
    ),
    "all candidates die": (
        reader_lease.ReaderLease,
        "_lapsed",
        lambda self, slot, row: False,
    ),
    "burst is grouped": (
        change_committer,
        "BATCH_INTERVAL",
        datetime.timedelta(),
    ),
    "everything is replaced": (
        snapshots.Snapshots,
        "_is_due",
        lambda self: False,
    ),
    "fresh node waits": (readiness.Readiness, "_check", _admit),
    "log loses its end": (
        platform_log_reader.PlatformLogReader,
        "_repair",
        _no_repair,
    ),
    "log takes another course": (
        platform_log_reader.PlatformLogReader,
        "_repair",
        _no_repair,
    ),
    "lost answer": (
        store.ConfigurationStore,
        "find_change",
        lambda self, change_id: None,
    ),
    "many accept at once": (platform_log_reader, "READ_ATTEMPTS", 1),
    "operators race": (
        change_committer.ChangeCommitter,
        "_check_base",
        lambda self, submission, earlier: None,
    ),
    "readers die": (
        reader_lease.ReaderLease,
        "_lapsed",
        lambda self, slot, row: False,
    ),
    "status counts": (zone_reports.ZoneReports, "merge", _no_summaries),
    "zones cut and healed": (
        distribution.Distribution,
        "observe_peer_state",
        lambda self, peer, zone, state: None,
    ),
}


FAILURES = (AssertionError, primitives.UnwrapFailedError)


@pytest.mark.parametrize("name", sorted(WITHOUT))
def test_world_fails_without(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each scenario fails with its mechanism taken out."""
    monkeypatch.setattr(*WITHOUT[name])
    with pytest.raises(FAILURES):
        virtual_time.run(CASES[name]())
