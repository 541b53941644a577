"""Bench of outcomes: rollouts good and bad, and zone moves, by tables.

Whole nodes in virtual time, with fixed seeds; the figures are the same
on every machine.
"""

import argparse
from collections import abc
import statistics

from absl import logging
import attrs

from balsamramp_node.rollouts import rollout_state
from balsamramp_testing import rollout_trial
from balsamramp_testing import zone_trial
from balsamramp_testing.benches import outcome_kinds

__all__ = ["main"]

POLICIES = ("evidence", "by-time", "error-rate")
BAD_CAUSES = (
    rollout_state.Cause.FAILURES.value,
    rollout_state.Cause.SLOWNESS.value,
)
ZONE_OUT = 10.0
ZONE_IN = 30.0
RETURNED = 60.0
END = 75.0
SPANS = {
    "before": (0.0, ZONE_OUT),
    "out": (ZONE_OUT, ZONE_IN),
    "returning": (ZONE_IN, RETURNED),
    "after": (RETURNED, END),
}


def main(arguments: abc.Sequence[str] | None = None) -> None:
    """Run the trials and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seeds", type=int, default=5, help="rollouts a kind; 0 for none"
    )
    parser.add_argument(
        "--zone-seeds", type=int, default=2, help="zone moves; 0 for none"
    )
    parsed = parser.parse_args(arguments)
    logging.set_verbosity(logging.ERROR)
    seeds = range(1, parsed.seeds + 1)
    if seeds:
        _print_rollouts(seeds)
    zone_seeds = range(1, parsed.zone_seeds + 1)
    if zone_seeds:
        _print_zones(zone_seeds)


def _print_rollouts(seeds: range) -> None:
    print(f"Rollouts, {len(seeds)} seeds a kind; medians over the seeds.\n")
    print(
        "| kind | policy | right | share of calls to new | calls to new "
        "| bad calls | first sign to last call, s "
        "| decision to last call, s "
        "| forecast at half time wrong by, s | extrapolation, s |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    for kind in outcome_kinds.KINDS:
        for policy in POLICIES:
            found = [
                rollout_trial.run(
                    attrs.evolve(kind.plan, policy=policy, seed=seed)
                )
                for seed in seeds
            ]
            print(_rollout_line(kind, policy, found), flush=True)


def _rollout_line(
    kind: outcome_kinds.Kind,
    policy: str,
    found: list[rollout_trial.TrialResult],
) -> str:
    right = sum(_is_right(kind, item) for item in found)
    cells = (
        kind.name,
        policy,
        f"{right} of {len(found)}",
        f"{statistics.median(item.share for item in found):.3f}",
        f"{statistics.median(item.new_calls for item in found):.0f}",
        f"{statistics.median(item.new_bad for item in found):.0f}",
        "-" if kind.good else _median(item.sign_to_last for item in found),
        "-" if kind.good else _median(item.decision_to_last for item in found),
        _median(item.forecast_error for item in found) if kind.good else "-",
        _median(item.extrapolation_error for item in found)
        if kind.good
        else "-",
    )
    return f"| {' | '.join(cells)} |"


def _median(values: abc.Iterable[float | None]) -> str:
    known = [value for value in values if value is not None]
    return f"{statistics.median(known):.1f}" if known else "-"


def _is_right(
    kind: outcome_kinds.Kind, found: rollout_trial.TrialResult
) -> bool:
    if kind.good:
        return found.report.outcome.startswith("completed at")
    return found.cause in BAD_CAUSES


async def _move_zone(trial: zone_trial.Trial) -> None:
    await trial.wait_until(ZONE_OUT)
    await trial.declare("zone-c", out=True)
    await trial.wait_until(ZONE_IN)
    trial.restart_targets("zone-c")
    await trial.declare("zone-c", out=False)
    await trial.wait_until(END)


def _print_zones(seeds: range) -> None:
    print(f"\nZone out and in, {len(seeds)} seeds, sums and worst 1%.\n")
    print(
        "| way | span | calls | answered in time | refused | lost "
        "| slowest 1%, ms |"
    )
    print("|---|---|---|---|---|---|---|")
    for name, plan in outcome_kinds.ZONE_PLANS.items():
        trials = [
            zone_trial.run(attrs.evolve(plan, seed=seed), _move_zone)
            for seed in seeds
        ]
        for span, (begin, end) in SPANS.items():
            phases = [
                zone_trial.summarize(trial, begin, end) for trial in trials
            ]
            print(_zone_line(name, span, phases), flush=True)


def _zone_line(name: str, span: str, phases: list[zone_trial.Phase]) -> str:
    cells = (
        name,
        span,
        str(sum(phase.calls for phase in phases)),
        str(sum(phase.answered for phase in phases)),
        str(sum(phase.refused for phase in phases)),
        str(sum(phase.lost for phase in phases)),
        f"{1000 * max(phase.slowest for phase in phases):.0f}",
    )
    return f"| {' | '.join(cells)} |"


if __name__ == "__main__":
    main()
