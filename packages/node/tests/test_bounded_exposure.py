"""Bounded exposure: what a version gets before its last step."""

import datetime

import pytest

from balsamramp_core.resources import rollout
from balsamramp_node.rollouts import rollout_evidence
from balsamramp_node.rollouts import rollout_state
from balsamramp_node.rollouts.policies import bounded_exposure
from balsamramp_node.rollouts.policies import evidence
from balsamramp_wire import rollout_messages

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
ALLOWED = 0.1
# Time in which failures at a step are noticed and every node has stopped.
REACTION_SECONDS = 0.8
# At the last step failures decide at once, without a second comparison.
LAST_REACTION_SECONDS = 0.5


CALLS_PER_SECOND = 200


def _row(
    window: int, epoch: int, new: bool, calls: int, failures: int
) -> rollout_messages.EvidenceRow:
    return rollout_messages.EvidenceRow(
        intent="i",
        node="n",
        incarnation=1,
        zone="z",
        window=window,
        epoch=epoch,
        route="r",
        new=new,
        calls=calls,
        failures=failures,
        latencies={10: calls},
    )


@pytest.mark.parametrize(
    ("policy", "entered"),
    [
        (bounded_exposure.BoundedExposurePolicy(), "taken-back"),
        (evidence.EvidencePolicy(), "doubted"),
    ],
)
def test_failures_in_full_use_take_a_version_of_a_short_plan_back(
    policy: evidence.EvidencePolicy, entered: str
) -> None:
    """A third of its calls fail, from its last step on only."""
    order = _order(12)
    seen = rollout_evidence.Evidence()
    for window in range(8):
        seen.merge(_row(window, 4, False, CALLS_PER_SECOND, 1))
        seen.merge(_row(window, 4, True, CALLS_PER_SECOND // 10, 0))
    now = START + datetime.timedelta(seconds=8)
    state = rollout_state.mark_history_known(
        rollout_state.initial_state(order), START
    )
    state = rollout_state.enter_phase(
        state, rollout_state.RolloutPhase.PROGRESSING, START
    )
    state = rollout_state.advance_to_step(state, policy.last_step, now)
    state = rollout_state.enter_phase(
        state, rollout_state.RolloutPhase.COMPLETED, now
    )
    later = now + datetime.timedelta(seconds=0.25)
    calls = CALLS_PER_SECOND // 4
    seen.merge(_row(8, policy.last_step, True, calls, calls // 3))
    decided = policy.decide(order, state, seen, later)
    assert rollout_state.phase(decided).value == entered


def _order(seconds: float) -> rollout.Rollout:
    return rollout.Rollout(
        name="s",
        service="s",
        old=rollout.ANY_OLD_VERSION,
        new="v2",
        start=START,
        deadline=START + datetime.timedelta(seconds=seconds),
        revision=1,
    )


@pytest.mark.parametrize("seconds", [12, 16, 30])
@pytest.mark.parametrize("step", [2, 3, 4, 5])
def test_a_version_bad_from_a_step_on_stays_within_the_share(
    seconds: float, step: int
) -> None:
    """It turns bad at ``step`` and is noticed after the reaction time."""
    policy = bounded_exposure.BoundedExposurePolicy()
    order = _order(seconds)
    got = 0.0
    for earlier in range(1, step):
        lasts = policy.step_due_at(order, earlier + 1) - policy.step_due_at(
            order, earlier
        )
        got += policy.shares[earlier] * lasts.total_seconds()
    last = step == policy.last_step
    reaction = LAST_REACTION_SECONDS if last else REACTION_SECONDS
    got += policy.shares[step] * reaction
    assert got <= ALLOWED * seconds


@pytest.mark.parametrize("seconds", [12, 16, 30])
def test_the_last_step_leaves_time_to_take_it_back(seconds: float) -> None:
    policy = bounded_exposure.BoundedExposurePolicy()
    order = _order(seconds)
    last = policy.step_due_at(order, policy.last_step)
    assert last <= START + datetime.timedelta(seconds=0.8 * seconds)
