"""Bench of what rollouts cost a node: processor time and bytes."""

import datetime
import itertools
import time

import attrs
import msgspec

from balsamramp_node.rollouts import evidence_recorder
from balsamramp_node.rollouts import rollout_evidence
from balsamramp_node.rollouts import rollout_state
from balsamramp_node.rollouts.policies import evidence
from balsamramp_testing import rollout_fixtures
from balsamramp_wire import rollout_messages

__all__ = ["main"]

ROUNDS = 20_000
DECISIONS = 20
ROUTES = tuple(f"route-{number}" for number in range(4))
ZONES = ("zone-a", "zone-b", "zone-c")
BUCKETS = 8
CALLS = 200
FAILURES = 2
NODES_PER_ZONE = 2
MICROSECOND = 1e-6


def main() -> None:
    """Print a table of costs, each the mean over many runs."""
    clock = rollout_fixtures.ManualClock()
    node = rollout_fixtures.make_rollouts(
        clock, rollout_fixtures.SAMPLE_ROLLOUT
    )
    clock.passed = datetime.timedelta(seconds=11)
    node.decide(lambda service: True)
    intent_id = rollout_state.intent_id(rollout_fixtures.SAMPLE_ROLLOUT)
    held = rollout_evidence.Evidence()
    rows = _rows(intent_id)
    for row in rows:
        held.merge(row)
    state = node.state(intent_id)
    assert state is not None
    policy = evidence.EvidencePolicy()
    record = evidence_recorder.CallSample(
        route=ROUTES[0],
        version="v1",
        failed=False,
        refused=False,
        latency=datetime.timedelta(milliseconds=3),
    )
    counted = itertools.count(CALLS + 1)

    def decide_again() -> None:
        held.merge(attrs.evolve(rows[-1], calls=next(counted)))
        policy.decide(
            rollout_fixtures.SAMPLE_ROLLOUT, state, held, clock.now()
        )

    print(f"Evidence of {len(rows)} rows; mean of {ROUNDS} runs.\n")
    print("| what | cost |")
    print("|---|---|")
    ask = _measure(
        ROUNDS, lambda: node.is_version_allowed("caja", "v2", "0123456789")
    )
    print(f"| may a call go to a version | {ask:.1f} us |")
    count = _measure(ROUNDS, lambda: node.record("caja", record))
    print(f"| count a call as evidence | {count:.1f} us |")
    merge = _measure(DECISIONS, lambda: _merge_all(rows)) / len(rows)
    print(f"| take in a row | {merge:.1f} us |")
    decide = _measure(DECISIONS, decide_again)
    print(f"| decide again after a new row | {decide:.0f} us |")
    print(f"| a row of evidence | {_size(rows[0])} bytes |")
    print(f"| a state, all marks | {_size(_full_state(state))} bytes |")
    exchange = rollout_messages.StatesRequest(node="node-12345", digest=1)
    print(f"| an exchange of equal digests | {2 * _size(exchange)} bytes |")


def _measure(rounds: int, work: object) -> float:
    assert callable(work)
    began = time.perf_counter()
    for _ in range(rounds):
        work()
    return (time.perf_counter() - began) / rounds / MICROSECOND


def _merge_all(rows: list[rollout_messages.EvidenceRow]) -> None:
    held = rollout_evidence.Evidence()
    for row in rows:
        held.merge(row)


def _rows(intent_id: str) -> list[rollout_messages.EvidenceRow]:
    rows = []
    for window in range(rollout_evidence.RETAINED_WINDOWS):
        for zone in ZONES:
            for route in ROUTES:
                for number in range(2 * NODES_PER_ZONE):
                    row = _row(intent_id, window, zone, route, number)
                    rows.append(row)
    return rows


def _row(
    intent_id: str, window: int, zone: str, route: str, number: int
) -> rollout_messages.EvidenceRow:
    return rollout_messages.EvidenceRow(
        intent=intent_id,
        node=f"{zone}-node-{number}",
        incarnation=1_700_000_000_000_000_000,
        zone=zone,
        window=window,
        epoch=1,
        route=route,
        new=number >= NODES_PER_ZONE,
        calls=CALLS,
        failures=FAILURES,
        latencies=dict.fromkeys(range(BUCKETS), CALLS // BUCKETS),
    )


def _full_state(
    state: rollout_messages.RolloutState,
) -> rollout_messages.RolloutState:
    at = rollout_fixtures.START
    for step in range(1, len(evidence.EvidencePolicy.shares)):
        state = rollout_state.advance_to_step(state, step, at)
    for phase in rollout_state.RolloutPhase:
        state = rollout_state.enter_phase(
            state, phase, at, "failures", 60 * "x"
        )
    return state


def _size(message: object) -> int:
    return len(msgspec.msgpack.encode(message))


if __name__ == "__main__":
    main()
