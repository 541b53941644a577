"""Orders whose history is lost, written again, or replaced.

What is known of a version holds whatever becomes of the order that named it,
and no order leaves a service without a version that may run calls.
"""

import datetime

import pytest

from balsamramp_core import configuration
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core.resources import rollout_order
from balsamramp_node.configuration import store
from balsamramp_node.rollouts import evidence_recorder
from balsamramp_node.rollouts import rollout_state
from balsamramp_testing import rollout_fixtures

PHASE = rollout_state.RolloutPhase
ORDER_KEY = resource.ResourceKey("rollout-order", "caja")
DURATION_SECONDS = 16.0
CALLS = [f"call-{number}" for number in range(400)]
CALL = evidence_recorder.CallSample(
    route="",
    version="v2",
    failed=False,
    refused=False,
    latency=datetime.timedelta(milliseconds=20),
)


def _order(
    new: str, revision: int, *earlier: int
) -> rollout_order.RolloutOrder:
    return rollout_order.RolloutOrder(
        name="caja",
        service="caja",
        new=new,
        duration_seconds=DURATION_SECONDS,
        revision=revision,
        earlier_revisions=earlier,
    )


class _Node:
    """A node that coordinates, with targets of ``versions``."""

    def __init__(self, *versions: str) -> None:
        self.clock = rollout_fixtures.ManualClock()
        self.presence = rollout_fixtures.Presence()
        self.presence.versions = set(versions)
        self.store = store.ConfigurationStore(metrics.Metrics())
        self.controller = rollout_fixtures.make_rollouts(
            self.clock, presence=self.presence, configurations=self.store
        )

    @classmethod
    def that_starts_with(
        cls, order: rollout_order.RolloutOrder, *versions: str
    ) -> "_Node":
        """Return a node that knows the order and nothing of its history."""
        node = cls(*versions)
        node.store = store.ConfigurationStore(metrics.Metrics())
        node.controller = rollout_fixtures.make_rollouts(
            node.clock,
            order,
            presence=node.presence,
            configurations=node.store,
        )
        node.controller.mark_history_absent("caja")
        return node

    def apply(self, order: rollout_order.RolloutOrder) -> None:
        """Bring an order into force."""
        rollout_fixtures.apply(self.store, order)

    def delete_order(self) -> None:
        """Take the order out of force."""
        current = self.store.current
        merged = configuration.merge(
            current, current.version + 1, (), (ORDER_KEY,)
        )
        assert self.store.restore(configuration.Snapshot(merged))

    def run(self, seconds: float) -> None:
        """Let time pass, with a decision at each tick."""
        for _ in range(int(4 * seconds)):
            self.clock.passed += datetime.timedelta(seconds=0.25)
            self.controller.decide(lambda service: True)
            self.controller.end_unknown_history("caja")

    def share(self, version: str) -> float:
        """Return the share of calls for which a version may run."""
        allowed = [
            self.controller.is_version_allowed("caja", version, call)
            for call in CALLS
        ]
        return sum(allowed) / len(allowed)

    def phase(self) -> rollout_state.RolloutPhase:
        """Return the phase of the order in force."""
        (intent_id,) = self.controller.intents
        state = self.controller.state(intent_id)
        assert state is not None
        return rollout_state.phase(state)

    def enter(self, phase: rollout_state.RolloutPhase) -> None:
        """Have the order in force enter a phase."""
        (intent_id,) = self.controller.intents
        state = self.controller.state(intent_id)
        assert state is not None
        now = self.clock.now()
        self.controller.merge([rollout_state.enter_phase(state, phase, now)])


@pytest.mark.parametrize("phase", [PHASE.FINISHED, PHASE.ROLLED_BACK])
def test_order_that_is_written_again_keeps_its_outcome(
    phase: rollout_state.RolloutPhase,
) -> None:
    node = _Node("v1", "v2")
    node.apply(_order("v2", 50))
    node.run(1.0)
    node.enter(phase)
    node.apply(_order("v2", 48, 50))
    assert node.phase() is phase
    (state,) = node.controller.states()
    assert state.intent == rollout_state.intent_id(
        next(iter(node.controller.intents.values()))
    )
    assert not rollout_state.is_stored(state)
    assert not rollout_state.is_reported(state, "completed")


def test_order_that_is_written_again_twice_keeps_its_outcome() -> None:
    node = _Node("v1", "v2")
    node.apply(_order("v2", 50))
    node.run(1.0)
    node.enter(PHASE.ROLLED_BACK)
    node.apply(_order("v2", 48, 50))
    node.apply(_order("v2", 47, 48, 50))
    assert node.phase() is PHASE.ROLLED_BACK
    assert node.share("v2") == 0


def test_order_that_is_written_again_goes_on_with_its_evidence() -> None:
    node = _Node("v1", "v2")
    node.apply(_order("v2", 50))
    node.run(1.0)
    (intent_id,) = node.controller.intents
    for call_id in CALLS:
        if node.controller.is_version_allowed("caja", "v2", call_id):
            node.controller.record("caja", CALL)
    recorder = node.controller._recorder
    node.controller.merge_evidence(recorder.drain_changed_rows())
    recorded = node.controller.evidence(intent_id).total(True).calls
    start = node.controller.intents[intent_id].start
    assert recorded
    node.clock.passed += datetime.timedelta(seconds=1)
    node.apply(_order("v2", 48, 50))
    (later_id,) = node.controller.intents
    assert later_id != intent_id
    assert node.controller.evidence(later_id).total(True).calls == recorded
    assert node.controller.intents[later_id].start == start


def test_second_order_for_a_version_is_another_one() -> None:
    node = _Node("v1", "v2")
    node.apply(_order("v2", 50))
    node.run(1.0)
    node.enter(PHASE.ROLLED_BACK)
    node.apply(_order("v2", 60))
    assert node.phase() is PHASE.WAITING
    node.run(1.0)
    assert node.phase() is PHASE.PROGRESSING


def test_node_that_only_knows_of_the_rewriting_grants_no_step() -> None:
    """Guards against a node that takes a rewriting for a new order."""
    node = _Node("v1", "v2")
    node.apply(_order("v2", 48, 50))
    node.run(2.0)
    assert node.phase() is PHASE.WAITING
    assert node.share("v2") == 0


def test_only_version_gets_calls_though_its_history_is_lost() -> None:
    node = _Node.that_starts_with(_order("v2", 50), "v2")
    node.run(1.0)
    assert node.share("v2") == 1
    assert not node.controller.is_version_excluded("caja", "v2")
    node.run(DURATION_SECONDS)
    assert node.phase() is PHASE.FINISHED
    assert node.share("v2") == 1


def test_end_of_an_unknown_history_is_told_once() -> None:
    node = _Node.that_starts_with(_order("v2", 50), "v1", "v2")
    told: list[object] = []
    node.enter(PHASE.COMPLETED)
    node.run(DURATION_SECONDS)
    node.controller.listen(told.append)
    node.run(2.0)
    assert not told


def test_version_of_unknown_history_yields_to_another_version() -> None:
    """Guards against a bad version that is let in by a start of all."""
    node = _Node.that_starts_with(_order("v2", 50), "v1", "v2")
    node.run(1.0)
    assert (node.share("v1"), node.share("v2")) == (1, 0)
    node.run(DURATION_SECONDS)
    assert node.phase() is PHASE.EXPIRED
    assert (node.share("v1"), node.share("v2")) == (1, 0)


def test_only_version_yields_as_soon_as_another_one_is_back() -> None:
    node = _Node.that_starts_with(_order("v2", 50), "v2")
    node.run(1.0)
    assert node.share("v2") == 1
    node.presence.versions.add("v1")
    node.run(1.0)
    assert (node.share("v1"), node.share("v2")) == (1, 0)


def test_version_that_was_rolled_back_stays_out_though_it_is_alone() -> None:
    node = _Node("v1", "v2")
    node.apply(_order("v2", 50))
    node.run(1.0)
    node.enter(PHASE.ROLLED_BACK)
    node.presence.versions = {"v2"}
    node.run(2 * DURATION_SECONDS)
    assert node.share("v2") == 0


def test_order_for_the_only_version_refuses_no_calls() -> None:
    """Guards against a canary share of calls where there is no baseline."""
    node = _Node("v2")
    node.apply(_order("v2", 50))
    assert node.share("v2") == 1
    node.run(1.0)
    assert node.share("v2") == 1
    node.run(1.5 * DURATION_SECONDS)
    assert node.phase() is PHASE.FINISHED
    assert node.share("v2") == 1


def test_order_back_to_the_version_in_service_takes_the_other_out() -> None:
    """Guards against the rest of the calls for an unproved version."""
    node = _Node("v1", "v2")
    node.apply(_order("v2", 50))
    node.run(1.0)
    assert 0 < node.share("v2") < 0.2
    node.apply(_order("v1", 60))
    assert (node.share("v1"), node.share("v2")) == (1, 0)
    node.run(1.5 * DURATION_SECONDS)
    assert node.phase() is PHASE.FINISHED
    assert (node.share("v1"), node.share("v2")) == (1, 0)


def test_node_that_knows_few_targets_takes_no_version_out() -> None:
    """Guards against a started node that takes out the version in service."""
    node = _Node()
    for revision, new in enumerate(("v2", "v1", "v2"), start=50):
        node.apply(_order(new, revision))
    assert node.share("v1") == 1


def test_orders_that_follow_each_other_never_take_all_versions_out() -> None:
    node = _Node("v1", "v2")
    revision = 50
    for new in ("v2", "v1", "v2", "v1", "v2"):
        revision += 1
        node.apply(_order(new, revision))
        assert node.share("v1") >= 0.9
    node.run(1.0)
    assert 0 < node.share("v2") < 0.2
    assert node.share("v1") > 0.8


def test_later_version_replaces_the_proved_one_only() -> None:
    node = _Node("v1", "v2", "v3")
    node.apply(_order("v2", 50))
    node.run(1.0)
    node.apply(_order("v3", 60))
    node.run(1.0)
    assert node.share("v2") == 0
    assert 0 < node.share("v3") < 0.2
    assert node.share("v1") > 0.8


def test_completed_version_is_the_baseline_of_the_next_order() -> None:
    node = _Node("v1", "v2", "v3")
    node.apply(_order("v2", 50))
    node.run(1.0)
    node.enter(PHASE.FINISHED)
    node.presence.versions = {"v2", "v3"}
    node.apply(_order("v3", 60))
    node.run(1.0)
    assert node.share("v2") > 0.8


def test_order_that_is_deleted_leaves_what_was_found_of_its_version() -> None:
    node = _Node("v1", "v2")
    node.apply(_order("v2", 50))
    node.run(1.0)
    node.enter(PHASE.ROLLED_BACK)
    node.delete_order()
    assert (node.share("v1"), node.share("v2")) == (1, 0)
