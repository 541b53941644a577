"""A final state is reported only when a restart of all nodes can't undo it.

Operators stop the old version when a rollout is reported as completed. If
the outcome is not stored by then and all nodes are killed, they know neither
version: the old one is gone, and the new one has no history.
"""

import datetime
import random
import typing

import attrs
import msgspec
import pytest
from returns import result

from balsamramp_core import intents
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import storage
from balsamramp_core.resources import rollout
from balsamramp_node.process import decision_log
from balsamramp_node.rollouts import outcome_reporter
from balsamramp_node.rollouts import rollout_coordinators
from balsamramp_node.rollouts import rollout_persistence
from balsamramp_node.rollouts import rollout_state
from balsamramp_testing import memory_platform
from balsamramp_testing import rollout_fixtures
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

INTENT = attrs.evolve(rollout_fixtures.SAMPLE_ROLLOUT, revision=7)
# Began before the nodes started.
EARLIER_INTENT = attrs.evolve(
    INTENT,
    start=rollout_fixtures.START - datetime.timedelta(seconds=30),
    deadline=rollout_fixtures.START + datetime.timedelta(seconds=30),
)
INTENT_ID = rollout_state.intent_id(INTENT)
PHASE = rollout_state.RolloutPhase
OUTCOMES = {
    PHASE.FINISHED: outcome_reporter.COMPLETED,
    PHASE.EXPIRED: outcome_reporter.ROLLED_BACK,
    PHASE.ROLLED_BACK: outcome_reporter.ROLLED_BACK,
}
PHASES_IN_TURN = (PHASE.COMPLETED, PHASE.REVALIDATING, PHASE.FINISHED)
EARLIER_ROLLOUTS = 600
NODES_PER_ZONE = 40
FALLBACK_DELAY = datetime.timedelta(seconds=2)
# Within which callers are served again after a final fault.
RECOVERY_SECONDS = 15.0


class _Gossip:
    """Stands in for the gossip of a node that may be a coordinator."""

    def __init__(self, coordinator: bool) -> None:
        self._coordinator = coordinator

    def is_coordinator(self, service: str) -> bool:
        return self._coordinator

    def fallback_delay(self, service: str) -> datetime.timedelta:
        return FALLBACK_DELAY


class _Publisher(intents.OutcomePublisher):
    """Notes the states that are published, each with the stored rows."""

    def __init__(self, table: storage.Table) -> None:
        self.published: list[tuple[str, bytes]] = []
        self._table = table

    async def publish(
        self, outcome: intents.Outcome
    ) -> result.Result[None, storage.StorageError]:
        prefix = rollout_persistence.KEY_PREFIX
        rows = (await self._table.scan(prefix, "", 10)).value_or([])
        stored = b"".join(row.value for row in rows)
        self.published.append((outcome.state, stored))
        return result.Success(None)


class _Node:
    """The services of a node that store and report outcomes."""

    def __init__(
        self, coordinator: bool, intent: rollout.Rollout = INTENT
    ) -> None:
        self.clock = virtual_time.VirtualClock()
        self.faults = memory_platform.Faults()
        self.table = memory_platform.MemoryTable(self.faults, self.clock)
        self.publisher = _Publisher(self.table)
        self.controller = rollout_fixtures.make_rollouts(self.clock, intent)
        gossip = typing.cast(typing.Any, _Gossip(coordinator))
        self.persistence = rollout_persistence.RolloutPersistence(
            self.table,
            self.controller,
            gossip,
            self.clock,
            metrics.Metrics(),
            random.Random(1),
        )
        self.reporter = outcome_reporter.OutcomeReporter(
            self.publisher,
            self.controller,
            gossip,
            self.clock,
            decision_log.DecisionLog(decision_log.NullSink(), self.clock),
            random.Random(2),
        )

    @property
    def published(self) -> list[str]:
        return [state for state, _ in self.publisher.published]

    def enter(self, phase: rollout_state.RolloutPhase) -> None:
        """Have the rollout enter ``phase``, as coordinators decide."""
        state = self.controller.state(INTENT_ID)
        assert state is not None
        now = self.clock.now()
        entered = rollout_state.enter_phase(state, phase, now)
        known = rollout_state.mark_history_known(entered, now)
        self.controller.merge([known])

    async def run(self, seconds: float) -> None:
        await self.clock.sleep(datetime.timedelta(seconds=seconds))


def _run(
    coordinator: bool,
    script: typing.Callable[[_Node], typing.Coroutine[None, None, None]],
    intent: rollout.Rollout = INTENT,
) -> None:
    async def main() -> None:
        node = _Node(coordinator, intent)
        await node.persistence.start()
        await node.reporter.start()
        await script(node)
        await node.reporter.stop()
        await node.persistence.stop()

    virtual_time.run(main())


@pytest.mark.parametrize("coordinator", [True, False])
@pytest.mark.parametrize("phase", OUTCOMES)
def test_outcome_is_not_reported_before_it_is_stored(
    phase: rollout_state.RolloutPhase, coordinator: bool
) -> None:
    """Guards against outcomes that operators act on and a restart undoes."""

    async def script(node: _Node) -> None:
        await node.run(1.0)
        node.enter(PHASE.PROGRESSING)
        await node.run(RECOVERY_SECONDS)
        node.faults.down = True
        node.enter(phase)
        await node.run(RECOVERY_SECONDS)
        assert OUTCOMES[phase] not in node.published
        node.faults.down = False
        await node.run(RECOVERY_SECONDS)
        assert node.published[-1] == OUTCOMES[phase]
        assert phase.value.encode() in node.publisher.published[-1][1]

    _run(coordinator, script)


def test_outcome_whose_write_had_no_response_is_read_back_first() -> None:
    async def script(node: _Node) -> None:
        node.faults.write_faults = [
            memory_platform.WriteFault.LOST_BEFORE,
            memory_platform.WriteFault.LOST_AFTER,
        ]
        node.enter(PHASE.FINISHED)
        await node.run(RECOVERY_SECONDS)
        assert node.published == [outcome_reporter.COMPLETED]
        state, stored = node.publisher.published[0]
        assert PHASE.FINISHED.value.encode() in stored
        assert not node.faults.write_faults

    _run(True, script)


def test_node_that_is_no_coordinator_leaves_what_is_stored() -> None:
    async def script(node: _Node) -> None:
        node.enter(PHASE.FINISHED)
        node.controller.mark_stored(INTENT_ID, frozenset(["finished"]))
        await node.run(RECOVERY_SECONDS)
        assert node.published == [outcome_reporter.COMPLETED]
        # The one read is that of the publisher.
        assert (node.table.reads, node.table.writes) == (1, 0)

    _run(False, script)


def test_table_that_returns_is_noticed_within_seconds() -> None:
    """Guards against outcomes that are read only after RECOVERY_SECONDS."""

    async def script(node: _Node) -> None:
        for count, phase in enumerate(PHASES_IN_TURN, start=1):
            node.faults.down = True
            node.enter(phase)
            await node.run(120.0)
            node.faults.down = False
            await node.run(5.0)
            assert node.table.writes == count

    _run(True, script)


@pytest.mark.parametrize("coordinator", [True, False])
def test_stored_outcome_is_read_after_a_restart_of_all_nodes(
    coordinator: bool,
) -> None:
    """Guards against coordinators that reach no table after a restart."""

    async def script(node: _Node) -> None:
        state = node.controller.state(INTENT_ID)
        assert state is not None
        assert not rollout_state.is_history_known(state)
        finished = rollout_state.mark_history_known(
            rollout_state.enter_phase(state, PHASE.FINISHED, state.start),
            state.start,
        )
        key = f"{rollout_persistence.KEY_PREFIX}caja/{INTENT_ID}"
        write = storage.Write(key, msgspec.msgpack.encode(finished))
        await node.table.commit(storage.Transaction((), (write,)))
        await node.run(RECOVERY_SECONDS)
        found = node.controller.state(INTENT_ID)
        assert found is not None
        assert rollout_state.phase(found) is PHASE.FINISHED

    _run(coordinator, script, EARLIER_INTENT)


@pytest.mark.parametrize("coordinator", [True, False])
def test_order_without_a_stored_outcome_expires_at_its_deadline(
    coordinator: bool,
) -> None:
    async def script(node: _Node) -> None:
        await node.run(RECOVERY_SECONDS)
        state = node.controller.state(INTENT_ID)
        assert state is not None
        assert rollout_state.phase(state) is PHASE.WAITING
        await node.run(60.0)
        if coordinator:
            assert node.published[-1] == outcome_reporter.ROLLED_BACK
            stored = node.publisher.published[-1][1]
            assert PHASE.EXPIRED.value.encode() in stored
            return
        # The table was read once, for all nodes.
        assert rollout_state.is_history_absent(state)

    _run(coordinator, script, EARLIER_INTENT)


def test_outcome_is_found_among_many_earlier_ones() -> None:
    """Guards against outcomes that are stored beyond the first page."""

    async def main() -> None:
        node = _Node(True)
        state = node.controller.state(INTENT_ID)
        assert state is not None
        finished = rollout_state.mark_history_known(
            rollout_state.enter_phase(state, PHASE.FINISHED, state.start),
            state.start,
        )
        names = [f"a{number:04}" for number in range(EARLIER_ROLLOUTS)]
        for name in [*names, INTENT_ID]:
            stored = attrs.evolve(finished, intent=name)
            key = f"{rollout_persistence.KEY_PREFIX}caja/{name}"
            write = storage.Write(key, msgspec.msgpack.encode(stored))
            await node.table.commit(storage.Transaction((), (write,)))
        await node.persistence._synchronise()
        found = node.controller.state(INTENT_ID)
        assert found is not None
        assert rollout_state.phase(found) is PHASE.FINISHED

    virtual_time.run(main())


def test_both_orders_of_a_tick_give_the_same() -> None:
    """The reporter may run just before the outcome is stored, or after."""

    async def main() -> None:
        node = _Node(True)
        node.enter(PHASE.FINISHED)
        for _ in range(3):
            for state in node.controller.states():
                await node.reporter._report(state)
            assert not node.published
        await node.persistence._synchronise()
        for state in node.controller.states():
            await node.reporter._report(state)
        assert node.published == [outcome_reporter.COMPLETED]

    virtual_time.run(main())


def test_nodes_of_a_zone_take_turns_when_coordinators_fail() -> None:
    """Guards against a fleet that calls the table at one moment."""
    world = _Members([f"n{number}" for number in range(NODES_PER_ZONE)])
    delays = set()
    for name in world.names:
        world.own_name = name
        coordinators = rollout_coordinators.RolloutCoordinators(
            typing.cast(typing.Any, world), rollout_fixtures.ManualClock()
        )
        delays.add(coordinators.fallback_delay("caja"))
    assert len(delays) == NODES_PER_ZONE
    step = rollout_coordinators.FALLBACK_STEP
    assert max(delays) - min(delays) == step * (NODES_PER_ZONE - 1)


class _Members:
    """Stands in for the membership of a node, all nodes in one zone."""

    generation = 1

    def __init__(self, names: list[str]) -> None:
        self.names = names
        self.own_name = names[0]

    @property
    def own(self) -> messages.Member:
        return self._member(self.own_name)

    def members(self) -> list[messages.Member]:
        return [self._member(name) for name in self.names]

    def _member(self, name: str) -> messages.Member:
        number = self.names.index(name)
        targets: tuple[messages.TargetRecord, ...] = ()
        if number % 2:
            ready = messages.TargetState.READY
            record = messages.TargetRecord(
                target=f"t{number}", service="caja", labels={}, state=ready
            )
            targets = (record,)
        address = settings.Address(name, 1)
        return messages.Member(
            node=name,
            zone="zone-a",
            region="region-1",
            stream=address,
            control=address,
            admin=address,
            incarnation=1,
            sequence=1,
            state=messages.MemberState.ALIVE,
            targets=targets,
        )


@pytest.mark.parametrize("is_later", [True, False])
def test_outcome_of_a_later_order_makes_an_earlier_one_void(
    is_later: bool,
) -> None:
    """Guards against a version in service that a start of all shuts out.

    It was rolled back, and completed by a second order that is deleted now.
    """

    async def main() -> None:
        node = _Node(True)
        state = node.controller.state(INTENT_ID)
        assert state is not None
        hour = datetime.timedelta(hours=1 if is_later else -1)
        outcomes = {
            "first": rollout_state.enter_phase(
                attrs.evolve(state, intent="first", new="v3"),
                PHASE.ROLLED_BACK,
                state.start,
            ),
            "second": rollout_state.enter_phase(
                attrs.evolve(
                    state, intent="second", new="v3", start=state.start + hour
                ),
                PHASE.FINISHED,
                state.start + hour,
            ),
        }
        for name, stored in outcomes.items():
            key = f"{rollout_persistence.KEY_PREFIX}caja/{name}"
            write = storage.Write(key, msgspec.msgpack.encode(stored))
            await node.table.commit(storage.Transaction((), (write,)))
        await node.persistence._synchronise()
        is_excluded = node.controller.is_version_excluded("caja", "v3")
        assert is_excluded is not is_later

    virtual_time.run(main())
