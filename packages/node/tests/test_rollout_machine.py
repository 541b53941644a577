"""State machine test: nodes restart and merge states in any order."""

import datetime
import functools
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from balsamramp_node.rollouts import rollout_evidence
from balsamramp_node.rollouts import rollout_state
from balsamramp_node.rollouts.policies import evidence
from balsamramp_testing import rollout_fixtures
from balsamramp_wire import rollout_messages

INTENT = rollout_fixtures.SAMPLE_ROLLOUT
INTENT_ID = rollout_state.intent_id(INTENT)
NODES = strategies.integers(0, 2)
BATCH_CALLS = 20
PHASE = rollout_state.RolloutPhase


class RolloutMachine(stateful.RuleBasedStateMachine):
    """Three nodes; messages may be reordered, duplicated or lost."""

    def __init__(self) -> None:
        super().__init__()
        self.time = rollout_fixtures.ManualClock()
        self.nodes = [
            rollout_fixtures.make_rollouts(self.time, INTENT) for _ in range(3)
        ]
        self.sent: list[rollout_messages.RolloutState] = []
        self.new_calls = 0
        self.batches = 0
        self.any_rolled_back = False
        self.has_history = [True, True, True]
        self.highest = [0, 0, 0]
        self.was_rolled_back = [False, False, False]

    def state(self, node: int) -> rollout_messages.RolloutState:
        found = self.nodes[node].state(INTENT_ID)
        assert found is not None
        return found

    @stateful.rule(seconds=strategies.integers(1, 15))
    def wait(self, seconds: int) -> None:
        self.time.passed += datetime.timedelta(seconds=seconds)

    @stateful.rule(node=NODES, bad=strategies.sampled_from([0, 0, 10]))
    def record_calls(self, node: int, bad: int) -> None:
        state = self.state(node)
        if rollout_state.step(state) == 0:
            return
        self.batches += 1
        self.new_calls += BATCH_CALLS
        make_row = functools.partial(
            rollout_messages.EvidenceRow,
            intent=INTENT_ID,
            node=f"target-{self.batches}",
            incarnation=1,
            zone="zone-a",
            window=rollout_evidence.window_of(INTENT, self.time.now()),
            epoch=rollout_state.epoch(state),
            route="caja-all",
            calls=BATCH_CALLS,
        )
        rows = [make_row(new=False), make_row(new=True, failures=bad)]
        self.nodes[node].merge_evidence(rows)

    @stateful.rule(node=NODES)
    def decide(self, node: int) -> None:
        self.nodes[node].decide(lambda name: True)

    @stateful.rule(node=NODES)
    def send(self, node: int) -> None:
        self.sent.append(self.state(node))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(node=NODES, data=strategies.data())
    def deliver(self, node: int, data: typing.Any) -> None:
        index = data.draw(strategies.integers(0, len(self.sent) - 1))
        self.nodes[node].merge([self.sent[index]])
        self.has_history[node] = True

    @stateful.rule(node=NODES)
    def restart(self, node: int) -> None:
        self.nodes[node] = rollout_fixtures.make_rollouts(self.time, INTENT)
        started = self.time.now() > INTENT.start
        self.has_history[node] = not started
        self.highest[node] = 0
        self.was_rolled_back[node] = False

    @stateful.invariant()
    def step_never_decreases(self) -> None:
        for node in range(3):
            step = rollout_state.step(self.state(node))
            assert step >= self.highest[node]
            self.highest[node] = step

    @stateful.invariant()
    def rollback_is_permanent(self) -> None:
        for node in range(3):
            phase = rollout_state.phase(self.state(node))
            is_rolled_back = phase is PHASE.ROLLED_BACK
            assert is_rolled_back or not self.was_rolled_back[node]
            self.was_rolled_back[node] = is_rolled_back
            self.any_rolled_back = self.any_rolled_back or is_rolled_back
            if is_rolled_back:
                assert self.nodes[node].is_version_excluded("caja", "v2")
                assert not self.nodes[node].is_version_allowed(
                    "caja", "v2", "call"
                )

    @stateful.invariant()
    def share_stays_at_canary_until_calls_needed(self) -> None:
        if self.new_calls >= evidence.CALLS_NEEDED:
            return
        policy = evidence.EvidencePolicy()
        for node in range(3):
            assert policy.share(self.state(node)) <= evidence.CANARY_SHARE

    @stateful.invariant()
    def restarted_node_without_history_grants_no_step(self) -> None:
        for node in range(3):
            if not self.has_history[node]:
                assert rollout_state.step(self.state(node)) == 0

    def teardown(self) -> None:
        states = [self.state(node) for node in range(3)] + self.sent
        for node in range(3):
            self.nodes[node].merge(states[node:] + states[:node])
        assert len({node.digest for node in self.nodes}) == 1
        any_rolled_back = any(
            rollout_state.phase(state) is PHASE.ROLLED_BACK for state in states
        )
        for node in self.nodes:
            assert (
                node.is_version_excluded("caja", "v2") or not any_rolled_back
            )


MACHINE_SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
    database=None,
    phases=[hypothesis.Phase.generate],
    report_multiple_bugs=False,
)


def test_invariants_hold_in_any_order_of_messages() -> None:
    stateful.run_state_machine_as_test(
        RolloutMachine, settings=MACHINE_SETTINGS
    )


def _return_right(
    left: rollout_messages.RolloutState, right: rollout_messages.RolloutState
) -> rollout_messages.RolloutState:
    return right


MECHANISMS = {
    "merging of marks": (rollout_state, "merge_states", _return_right),
    "known history": (rollout_state, "is_history_known", lambda state: True),
    "calls needed": (evidence, "_missing_calls", lambda recorded, step: ""),
}


@pytest.mark.parametrize("mechanism", MECHANISMS)
def test_machine_fails_without(
    mechanism: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    module, name, replacement = MECHANISMS[mechanism]
    monkeypatch.setattr(module, name, replacement)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            RolloutMachine, settings=MACHINE_SETTINGS
        )
