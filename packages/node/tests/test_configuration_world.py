"""Simulated fleets that commit, read and repair the configuration.

Guards against lost, repeated or falling versions when responses are lost,
operators race, nodes die, zones are partitioned or the log is restored
from a backup. The negative tests remove one mechanism and expect the
scenario to fail.
"""

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

CONVERGENCE_LIMIT = datetime.timedelta(seconds=4)
POLL_INTERVAL = datetime.timedelta(milliseconds=50)
ZONES = ("zone-a", "zone-b")


def _seconds(count: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=count)


def _proposal(
    change_id: str, name: str = "caja", base: int | None = None
) -> change_committer.ChangeProposal:
    item = resources.decode({"kind": "service", "name": name}).unwrap()
    return change_committer.ChangeProposal(
        change_id=change_id, author="ana", puts=(item,), base_version=base
    )


def _versions(sim: simulation.Simulation) -> set[int]:
    return {node.core.store.current.version for node in sim.nodes.values()}


async def _wait_until(
    sim: simulation.Simulation,
    condition: abc.Callable[[], bool],
    limit: datetime.timedelta = CONVERGENCE_LIMIT,
) -> None:
    started_at = sim.clock.monotonic()
    while not condition():
        elapsed = sim.clock.monotonic() - started_at
        assert elapsed <= limit, _versions(sim)
        await sim.clock.sleep(POLL_INTERVAL)


async def _start_nodes(
    size: int, extra: str = "", seed: int = 1
) -> simulation.Simulation:
    sim = simulation.Simulation(seed=seed)
    for number in range(size):
        await sim.start_node(f"n{number}", ZONES[number % 2], extra)
    await sim.clock.sleep(_seconds(4))
    return sim


async def _submit(
    sim: simulation.Simulation,
    node: str,
    proposal: change_committer.ChangeProposal,
) -> typing.Any:
    return await sim.nodes[node].core.operator_service.submit(proposal)


async def _commit_response_lost() -> None:
    sim = await _start_nodes(4)
    write_fault = memory_platform.WriteFault
    sim.faults.write_faults.append(write_fault.LOST_AFTER)
    first = (await _submit(sim, "n0", _proposal("one"))).unwrap()
    assert first.version == 1
    await _wait_until(sim, lambda: _versions(sim) == {1})
    await sim.kill_node("n0")
    retried = (await _submit(sim, "n1", _proposal("one"))).unwrap()
    assert retried.version == 1
    sim.faults.write_faults.append(write_fault.LOST_BEFORE)
    second = (await _submit(sim, "n1", _proposal("two"))).unwrap()
    assert second.version == 2
    await sim.stop()


async def _operators_conflict() -> None:
    sim = await _start_nodes(4)
    (await _submit(sim, "n0", _proposal("zero"))).unwrap()
    outcomes = await asyncio.gather(
        _submit(sim, "n0", _proposal("one", base=1)),
        _submit(sim, "n1", _proposal("two", base=1)),
        _submit(sim, "n2", _proposal("other", "reservas", base=1)),
    )
    rejected = [item for item in outcomes if isinstance(item, result.Failure)]
    assert len(rejected) == 1
    rejection = rejected[0].failure()
    assert rejection.conflict and rejection.accepted is False
    assert "service/caja in" in rejection.message
    assert "by ana" in rejection.message
    await _wait_until(sim, lambda: _versions(sim) == {3})
    await sim.stop()


async def _burst_is_batched() -> None:
    sim = await _start_nodes(4)
    before = sim.table.writes
    started_at = sim.clock.monotonic()
    submitted = []
    for number in range(500):
        proposal = _proposal(f"id-{number}", f"service-{number}")
        submitted.append(asyncio.create_task(_submit(sim, "n0", proposal)))
        await sim.clock.sleep(_seconds(0.01))
    for outcome in await asyncio.gather(*submitted):
        outcome.unwrap()
    elapsed = (sim.clock.monotonic() - started_at).total_seconds()
    assert (sim.table.writes - before) / elapsed < 75
    await _wait_until(sim, lambda: _versions(sim) == {500})
    await sim.stop()


async def _many_nodes_commit_at_once() -> None:
    """A version pushed during a read must not look lost from the log."""
    sim = await _start_nodes(8)
    sim.faults.delay = _seconds(0.005)
    submitted = []
    for number in range(200):
        proposal = _proposal(f"id-{number}", f"service-{number}")
        node = f"n{number % 8}"
        submitted.append(asyncio.create_task(_submit(sim, node, proposal)))
        await sim.clock.sleep(_seconds(0.01))
    for outcome in await asyncio.gather(*submitted):
        outcome.unwrap()
    await _wait_until(sim, lambda: _versions(sim) == {200})
    await sim.stop()


async def _log_loses_latest_rows() -> None:
    sim = await _start_nodes(4)
    await sim.apply("n0", {"kind": "service", "name": "caja"})
    table_backup = sim.table.backup()
    await sim.apply("n0", {"kind": "service", "name": "reservas"})
    await _wait_until(sim, lambda: _versions(sim) == {2})
    sim.network.partition("zone-a", memory_network.PLATFORM)
    sim.network.partition("zone-b", memory_network.PLATFORM)
    sim.table.restore_backup(table_backup)
    sim.network.heal("zone-a", memory_network.PLATFORM)
    rejected = await _submit(sim, "n0", _proposal("late", "council"))
    assert "nothing is accepted until" in rejected.failure().message
    behind = platform_log_reader.LogState.BEHIND
    assert sim.nodes["n0"].core.source.state is behind
    await sim.clock.sleep(CONVERGENCE_LIMIT)
    third = (await _submit(sim, "n0", _proposal("late"))).unwrap()
    assert third.version == 3
    sim.network.heal("zone-b", memory_network.PLATFORM)
    await _wait_until(sim, lambda: _versions(sim) == {3})
    await sim.start_node("n9", "zone-b")
    await _wait_until(sim, lambda: _versions(sim) == {3})
    current = sim.nodes["n9"].core.store.current
    assert {item.name for item in current.of_kind("service")} == {
        "caja",
        "reservas",
    }
    await sim.stop()


async def _log_diverges() -> None:
    sim = await _start_nodes(4)
    await sim.apply("n0", {"kind": "service", "name": "caja"})
    await _wait_until(sim, lambda: _versions(sim) == {1})
    table_backup = sim.table.backup()
    await sim.apply("n0", {"kind": "service", "name": "lost"})
    await _wait_until(sim, lambda: _versions(sim) == {2})
    lost_change_id = sim.nodes["n0"].core.store.accepted()[0].change_id
    seen = [_versions(sim)]
    sim.table.restore_backup(table_backup)
    diverged_log = accepted_log.AcceptedLog(sim.table, sim.objects)
    head = (await diverged_log.read_head()).unwrap()
    state = (await diverged_log.load(head)).unwrap().configuration
    change = change_committer.configuration.make_change(
        state, 2, "other", "bo", sim.clock.now(), _proposal("").puts
    )
    (await diverged_log.append(head, [change])).unwrap()
    for _ in range(80):
        await sim.clock.sleep(POLL_INTERVAL)
        seen.append(_versions(sim))
    lowest = [min(versions) for versions in seen]
    assert lowest == sorted(lowest)
    assert min(lowest[-1:]) >= 3
    digests = {node.core.store.current.digest for node in sim.nodes.values()}
    assert digests == {state.digest}
    for node in sim.nodes.values():
        status = node.core.operator_service.status()
        assert list(status["configuration"]["lost"]) == [lost_change_id]
    await sim.stop()


async def _all_nodes_are_replaced() -> None:
    sim = await _start_nodes(6, "[snapshots]\nversions = 4")
    for number in range(30):
        await sim.apply("n0", {"kind": "service", "name": f"s{number}"})
        await sim.clock.sleep(_seconds(1))
    log = [key for key in sim.table.backup() if "/log/" in key]
    assert len(log) < 20
    digest = sim.nodes["n0"].core.store.current.digest
    await sim.stop()
    for number in range(6):
        await sim.start_node(f"m{number}", ZONES[number % 2])
    await _wait_until(sim, lambda: _versions(sim) == {30})
    for node in sim.nodes.values():
        assert node.core.store.current.digest == digest
    repeated = sim.nodes["m1"].core.store.find_change("no such id")
    assert repeated is None
    await sim.stop()


async def _new_node_waits_for_confirmation() -> None:
    sim = await _start_nodes(4)
    await sim.apply("n0", {"kind": "service", "name": "caja"})
    await _wait_until(sim, lambda: _versions(sim) == {1})
    for other in ("zone-a", "zone-b", memory_network.PLATFORM):
        sim.network.partition("zone-c", other)
    await sim.start_node("alone", "zone-c")
    await sim.clock.sleep(_seconds(10))
    reply = await sim.call("alone", "caja")
    assert isinstance(reply, messages.CallFailure)
    assert reply.failure.verdict is verdict.Verdict.NOT_RUN
    assert reply.failure.reason is verdict.Reason.NOT_READY
    sim.network.partition("zone-b", "zone-a")
    sim.network.partition("zone-b", memory_network.PLATFORM)
    await sim.start_node("fresh", "zone-b")
    fresh = sim.nodes["fresh"].core.store
    await _wait_until(sim, lambda: fresh.in_service)
    assert fresh.current.version == 1
    for other in ("zone-a", "zone-b", memory_network.PLATFORM):
        sim.network.heal("zone-c", other)
    await _wait_until(
        sim,
        lambda: sim.nodes["alone"].core.store.in_service,
        _seconds(8),
    )
    await sim.stop()


async def _lease_holders_die() -> None:
    sim = await _start_nodes(12)
    readers = [
        name for name, node in sim.nodes.items() if node.core.reader_lease.held
    ]
    assert 2 <= len(readers) <= 4
    for name in readers:
        await sim.kill_node(name)
    accepted = accepted_log.AcceptedLog(sim.table, sim.objects)
    head = (await accepted.read_head()).unwrap()
    change = change_committer.configuration.make_change(
        change_committer.configuration.EMPTY,
        1,
        "elsewhere",
        "bo",
        sim.clock.now(),
        _proposal("").puts,
    )
    (await accepted.append(head, [change])).unwrap()
    await _wait_until(sim, lambda: _versions(sim) == {1})
    before = sim.table.reads
    await sim.clock.sleep(_seconds(10))
    assert (sim.table.reads - before) / 10 < 40
    await sim.stop()


async def _all_lease_candidates_die() -> None:
    """Other nodes take over the lease once the last read is stale."""
    sim = simulation.Simulation(seed=5)
    for number in range(16):
        await sim.start_node(f"n{number}", "zone-a")
    await sim.clock.sleep(_seconds(4))
    names = sorted(
        sim.nodes,
        key=lambda name: reader_lease.xxhash.xxh64_intdigest(name.encode()),
    )
    holders = [
        name for name, node in sim.nodes.items() if node.core.reader_lease.held
    ]
    killed = {*holders, *names[: reader_lease.CANDIDATES_PER_ZONE]}
    for name in sorted(killed):
        await sim.kill_node(name)
    limit = reader_lease.STALE_AFTER + 2 * CONVERGENCE_LIMIT

    def lease_taken_over() -> bool:
        return any(node.core.reader_lease.held for node in sim.nodes.values())

    await _wait_until(sim, lease_taken_over, limit)
    await sim.stop()


async def _zone_partitioned_and_rejoined() -> None:
    sim = await _start_nodes(8)
    for other in ("zone-a", memory_network.PLATFORM):
        sim.network.partition("zone-b", other)
    await sim.apply("n0", {"kind": "service", "name": "caja"})
    await sim.clock.sleep(_seconds(20))
    assert _versions(sim) == {0, 1}
    partitioned = sim.nodes["n1"].core
    assert partitioned.reader_lease.read_age > _seconds(15)
    assert partitioned.membership.members()
    sim.network.heal("zone-b", "zone-a")
    await _wait_until(sim, lambda: _versions(sim) == {1})
    sim.faults.down = True
    await sim.clock.sleep(_seconds(60))
    assert partitioned.store.in_service
    rejected = await _submit(sim, "n1", _proposal("down"))
    assert rejected.failure().accepted is False
    sim.faults.down = False
    sim.network.heal("zone-b", memory_network.PLATFORM)
    await sim.clock.sleep(_seconds(2))
    (await _submit(sim, "n1", _proposal("up", "archive"))).unwrap()
    await _wait_until(sim, lambda: _versions(sim) == {2})
    await sim.stop()


async def _invalid_version_in_log() -> None:
    """An invalid version is applied nowhere and is reported."""
    sim = await _start_nodes(4)
    await sim.apply("n0", {"kind": "service", "name": "caja"})
    await _wait_until(sim, lambda: _versions(sim) == {1})
    base = sim.nodes["n0"].core.store.current
    orphan = {"kind": "alias", "name": "cjaa", "service": "no-such"}
    puts = (*_proposal("").puts, resources.decode(orphan).unwrap())
    bad = change_committer.configuration.make_change(
        base, 2, "bad", "bo", sim.clock.now(), puts
    )
    accepted = accepted_log.AcceptedLog(sim.table, sim.objects)
    head = (await accepted.read_head()).unwrap()
    (await accepted.append(head, [bad])).unwrap()
    await sim.clock.sleep(_seconds(20))
    assert _versions(sim) == {1}
    status = sim.nodes["n0"].core.operator_service.status()
    reports = [item for zone in status["zones"] for item in zone["refusals"]]
    assert reports
    for report in reports:
        assert report["node"] in sim.nodes
        assert "alias/cjaa needs service/no-such" in report["message"]
    rejected = await _submit(sim, "n0", _proposal("next"))
    assert "refused" in rejected.failure().message
    await sim.stop()


async def _status_reports_versions() -> None:
    sim = await _start_nodes(8)
    await sim.apply("n0", {"kind": "service", "name": "caja"})
    await _wait_until(sim, lambda: _versions(sim) == {1})
    await sim.clock.sleep(_seconds(8))
    for other in ("zone-a", memory_network.PLATFORM):
        sim.network.partition("zone-b", other)
    await sim.apply("n0", {"kind": "service", "name": "archive"})
    await sim.clock.sleep(_seconds(20))
    status = sim.nodes["n2"].core.operator_service.status()
    latest, first = status["versions"]
    assert (latest["version"], latest["in_force"]) == (2, 4)
    assert (first["in_force"], first["nodes"]) == (8, 8)
    lags = {zone["zone"]: zone["lag_s"] for zone in status["zones"]}
    assert lags["zone-a"] == 0 and lags["zone-b"] > 15
    ages = {}
    for name in ("n0", "n1"):
        seen = sim.nodes[name].core.operator_service.status()
        ages[name] = seen["configuration"]["read_age_s"]
    assert ages["n0"] < CONVERGENCE_LIMIT.total_seconds() < 15 < ages["n1"]
    sim.network.heal("zone-b", "zone-a")
    await sim.clock.sleep(_seconds(20))
    status = sim.nodes["n2"].core.operator_service.status()
    assert status["versions"][0]["in_force"] == 8
    assert [zone["lag_s"] for zone in status["zones"]] == [0, 0]
    await sim.stop()


CASES = {
    "invalid version in log": _invalid_version_in_log,
    "all lease candidates die": _all_lease_candidates_die,
    "commit response lost": _commit_response_lost,
    "many nodes commit at once": _many_nodes_commit_at_once,
    "operators conflict": _operators_conflict,
    "burst is batched": _burst_is_batched,
    "log loses latest rows": _log_loses_latest_rows,
    "log diverges": _log_diverges,
    "all nodes are replaced": _all_nodes_are_replaced,
    "new node waits for confirmation": _new_node_waits_for_confirmation,
    "lease holders die": _lease_holders_die,
    "status reports versions": _status_reports_versions,
    "zone partitioned and rejoined": _zone_partitioned_and_rejoined,
}


@pytest.mark.parametrize("name", sorted(CASES))
def test_scenario(name: str) -> None:
    virtual_time.run(CASES[name]())


def _always_in_service(self: readiness.Readiness) -> None:
    self._store.mark_in_service()


async def _skip_repair(self: platform_log_reader.PlatformLogReader) -> None:
    return None


def _drop_summaries(
    self: zone_reports.ZoneReports, summaries: typing.Any
) -> None:
    return None


REMOVED_MECHANISMS = {
    "invalid version in log": (
        change_committer.configuration,
        "problems",
        lambda merged, change: [],
    ),
    "all lease candidates die": (
        reader_lease.ReaderLease,
        "_lease_expired",
        lambda self, slot, row: False,
    ),
    "burst is batched": (
        change_committer,
        "BATCH_INTERVAL",
        datetime.timedelta(),
    ),
    "all nodes are replaced": (
        snapshots.Snapshots,
        "_is_due",
        lambda self: False,
    ),
    "new node waits for confirmation": (
        readiness.Readiness,
        "_update_in_service",
        _always_in_service,
    ),
    "log loses latest rows": (
        platform_log_reader.PlatformLogReader,
        "_repair",
        _skip_repair,
    ),
    "log diverges": (
        platform_log_reader.PlatformLogReader,
        "_repair",
        _skip_repair,
    ),
    "commit response lost": (
        store.ConfigurationStore,
        "find_change",
        lambda self, change_id: None,
    ),
    "many nodes commit at once": (platform_log_reader, "READ_ATTEMPTS", 1),
    "operators conflict": (
        change_committer.ChangeCommitter,
        "_check_base",
        lambda self, proposal, earlier: None,
    ),
    "lease holders die": (
        reader_lease.ReaderLease,
        "_lease_expired",
        lambda self, slot, row: False,
    ),
    "status reports versions": (
        zone_reports.ZoneReports,
        "merge",
        _drop_summaries,
    ),
    "zone partitioned and rejoined": (
        distribution.Distribution,
        "observe_peer_state",
        lambda self, peer, zone, state: None,
    ),
}


FAILURES = (AssertionError, primitives.UnwrapFailedError)


@pytest.mark.parametrize("name", sorted(REMOVED_MECHANISMS))
def test_scenario_fails_without(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each scenario fails without its mechanism."""
    monkeypatch.setattr(*REMOVED_MECHANISMS[name])
    with pytest.raises(FAILURES):
        virtual_time.run(CASES[name]())
