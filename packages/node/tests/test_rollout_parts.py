"""Error rates of the sequential test, merges, and traffic shares."""

import datetime
import random
import uuid

import hypothesis
from hypothesis import strategies
import pytest

from balsamramp_node.rollouts import rollout_evidence
from balsamramp_node.rollouts import rollout_state
from balsamramp_node.rollouts import sequential_test
from balsamramp_node.rollouts.policies import evidence
from balsamramp_testing import rollout_fixtures
from balsamramp_wire import rollout_messages

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
TEST_COUNT = 2 * 3
THRESHOLD = TEST_COUNT / evidence.FALSE_ALARM_RATE
TRIALS = 200
WINDOWS = 40
CHECKS_PER_WINDOW = 2


def _is_alarmed(
    rng: random.Random, old: float, new: float, calls: int, share: float
) -> bool:
    windows: list[list[sequential_test.Stratum]] = []
    for check in range(CHECKS_PER_WINDOW * WINDOWS):
        if check % CHECKS_PER_WINDOW == 0:
            counts = [0, 0, 0, 0]
            windows.append([])
        for _ in range(calls // CHECKS_PER_WINDOW):
            is_new = rng.random() < share
            counts[2 * is_new] += 1
            bad = rng.random() < (new if is_new else old)
            counts[2 * is_new + 1] += bad
        windows[-1] = [sequential_test.Stratum(*counts)]
        ratio = sequential_test.likelihood_ratio(
            [sequential_test.window_logs(strata) for strata in windows],
            rollout_evidence.RETAINED_WINDOWS,
        )
        if ratio >= THRESHOLD:
            return True
    return False


@pytest.mark.parametrize("rate", [0.0, 0.01, 0.1, 0.5])
@pytest.mark.parametrize("share", [0.05, 0.5])
def test_false_alarm_rate_is_bounded(rate: float, share: float) -> None:
    rng = random.Random(f"{rate} {share}")
    alarms = sum(
        _is_alarmed(rng, rate, rate, 20, share) for _ in range(TRIALS)
    )
    assert alarms <= evidence.FALSE_ALARM_RATE * TRIALS


@pytest.mark.parametrize(
    ("old", "new", "share"),
    [(0.0, 0.3, 0.05), (0.01, 0.3, 0.05), (0.1, 0.6, 0.05), (0.0, 0.1, 0.5)],
)
def test_miss_rate_is_bounded(old: float, new: float, share: float) -> None:
    rng = random.Random(f"{old} {new} {share}")
    misses = sum(
        not _is_alarmed(rng, old, new, 40, share) for _ in range(TRIALS)
    )
    assert misses <= evidence.MISS_RATE * TRIALS


def test_false_alarm_rate_depends_on_comparison_with_old_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Counting bad calls of the new version alone raises false alarms."""
    monkeypatch.setattr(
        sequential_test, "_log_ratios", lambda stratum: (stratum.new_bad,)
    )
    with pytest.raises(AssertionError):
        test_false_alarm_rate_is_bounded(0.1, 0.5)


MARKS = strategies.builds(
    rollout_messages.Mark,
    at=strategies.sampled_from(
        [START + datetime.timedelta(seconds=number) for number in range(3)]
    ),
    cause=strategies.sampled_from(["", "failures"]),
    text=strategies.sampled_from(["", "a", "b"]),
)
NAMES = strategies.sampled_from(
    ["vouched", "step-1", "step-2", "moving", "completed", "taken-back"]
)
STATES = strategies.builds(
    rollout_messages.RolloutState,
    intent=strategies.just("caja-v2.1"),
    rollout=strategies.just("caja-v2"),
    service=strategies.just("caja"),
    old=strategies.just("v1"),
    new=strategies.just("v2"),
    start=strategies.just(START),
    marks=strategies.dictionaries(NAMES, MARKS),
)


@hypothesis.settings(derandomize=True, deadline=None, database=None)
@hypothesis.given(STATES, STATES, STATES)
def test_state_merge_is_semilattice(
    a: rollout_messages.RolloutState,
    b: rollout_messages.RolloutState,
    c: rollout_messages.RolloutState,
) -> None:
    merge = rollout_state.merge_states
    assert merge(a, b) == merge(b, a)
    assert merge(merge(a, b), c) == merge(a, merge(b, c))
    assert merge(a, a) == a
    merged = merge(a, b)
    assert rollout_state.step(merged) == max(
        rollout_state.step(a), rollout_state.step(b)
    )


ROWS = strategies.builds(
    rollout_messages.EvidenceRow,
    intent=strategies.just("caja-v2.1"),
    node=strategies.sampled_from(["n1", "n2"]),
    incarnation=strategies.integers(1, 2),
    zone=strategies.just("zone-a"),
    window=strategies.integers(0, 2),
    epoch=strategies.integers(0, 1),
    route=strategies.sampled_from(["r1", "r2"]),
    new=strategies.booleans(),
    calls=strategies.integers(0, 5),
    failures=strategies.integers(0, 5),
    latencies=strategies.dictionaries(
        strategies.integers(0, 2), strategies.integers(0, 3)
    ),
)


@hypothesis.settings(derandomize=True, deadline=None, database=None)
@hypothesis.given(strategies.lists(ROWS, max_size=12), strategies.randoms())
def test_evidence_is_independent_of_merge_order(
    rows: list[rollout_messages.EvidenceRow], rng: random.Random
) -> None:
    in_order, shuffled = (
        rollout_evidence.Evidence(),
        rollout_evidence.Evidence(),
    )
    repeated_rows = [*rows, *rows]
    rng.shuffle(repeated_rows)
    for row in rows:
        in_order.merge(row)
    for row in repeated_rows:
        shuffled.merge(row)
    for item in (in_order, shuffled):
        item.prune(1, range(0))
    for route in (None, "r1", "r2"):
        for new in (False, True):
            left, right = (
                item.total(new, route) for item in (in_order, shuffled)
            )
            assert (left.calls, left.failures, left.bad(0)) == (
                right.calls,
                right.failures,
                right.bad(0),
            )
    assert all(row.window >= 1 for row in shuffled.rows())


def test_share_of_the_fleet_is_not_rounded_up_by_its_nodes() -> None:
    """A per-node count of calls would round the share up on each node.

    19,000 nodes with ten calls each are modelled as 190,000 independent
    calls. The number of calls to the new version is binomial and may
    deviate from its mean by four standard deviations.
    """
    rng = random.Random(1)
    calls = 190_000
    share = evidence.CANARY_SHARE
    time = rollout_fixtures.ManualClock()
    node = rollout_fixtures.make_rollouts(
        time, rollout_fixtures.SAMPLE_ROLLOUT
    )
    time.passed = datetime.timedelta(seconds=11)
    node.decide(lambda service: True)
    to_new = 0
    for _ in range(calls):
        call_id = uuid.UUID(int=rng.getrandbits(128)).hex
        to_new += node.is_version_allowed("caja", "v2", call_id)
    deviation = (calls * share * (1 - share)) ** 0.5
    assert abs(to_new - share * calls) <= 4 * deviation
