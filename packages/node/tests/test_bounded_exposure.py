"""The calls that a bad version receives under bounded exposure."""

import datetime

import pytest

from balsamramp_core.resources import rollout
from balsamramp_node.rollouts import rollout_evidence
from balsamramp_node.rollouts import rollout_state
from balsamramp_node.rollouts.policies import bounded_exposure
from balsamramp_node.rollouts.policies import evidence
from balsamramp_wire import rollout_messages

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
EXPOSURE_ALLOWED = 0.1
# Time until failures at a step are detected and all nodes have rolled back.
REACTION_SECONDS = 0.8
# At the last step, failures cause a rollback without revalidation.
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
def test_failures_after_last_step_roll_back_short_rollout(
    policy: evidence.EvidencePolicy, entered: str
) -> None:
    """A third of the calls fail, starting with the last step.

    Without an immediate rollback, revalidation sends half of all calls to
    the bad version for longer than a short rollout allows.
    """
    order = _order(12)
    recorded = rollout_evidence.Evidence()
    for window in range(8):
        recorded.merge(_row(window, 4, False, CALLS_PER_SECOND, 1))
        recorded.merge(_row(window, 4, True, CALLS_PER_SECOND // 10, 0))
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
    recorded.merge(_row(8, policy.last_step, True, calls, calls // 3))
    decided = policy.decide(order, state, recorded, later)
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
def test_exposure_is_bounded_if_version_becomes_bad_at_step(
    seconds: float, step: int
) -> None:
    """Exposure sums the calls until ``step`` and during the reaction."""
    policy = bounded_exposure.BoundedExposurePolicy()
    order = _order(seconds)
    exposure_seconds = 0.0
    for earlier in range(1, step):
        duration = policy.step_due_at(order, earlier + 1) - policy.step_due_at(
            order, earlier
        )
        exposure_seconds += policy.shares[earlier] * duration.total_seconds()
    is_last = step == policy.last_step
    reaction = LAST_REACTION_SECONDS if is_last else REACTION_SECONDS
    exposure_seconds += policy.shares[step] * reaction
    assert exposure_seconds <= EXPOSURE_ALLOWED * seconds


@pytest.mark.parametrize("seconds", [12, 16, 30])
def test_last_step_leaves_time_for_rollback(seconds: float) -> None:
    policy = bounded_exposure.BoundedExposurePolicy()
    order = _order(seconds)
    last = policy.step_due_at(order, policy.last_step)
    assert last <= START + datetime.timedelta(seconds=0.8 * seconds)
