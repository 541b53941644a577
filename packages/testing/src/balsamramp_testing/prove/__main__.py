"""Runs the cases and prints each line that must hold, with its counts."""

import argparse
import collections
from collections import abc
import pathlib
import sys

import attrs

from balsamramp_testing import known_red
from balsamramp_testing.prove import cases
from balsamramp_testing.scenario import invariants
from balsamramp_testing.scenario import runner

__all__ = ["main"]

TESTS = "packages/testing/tests/test_prove.py"


@attrs.define
class _Tally:
    runs: int = 0
    checks: int = 0
    broken: dict[str, str] = attrs.field(factory=dict)


def test_name(number: int, case: str) -> str:
    """Return the test by which a line and a case are known red."""
    return f"{TESTS}::test_line_holds[{case}-{number:02d}]"


def _run(chosen: list[cases.Case], show: bool) -> dict[int, _Tally]:
    tallies = {number: _Tally() for number in invariants.INVARIANTS}
    for case in chosen:
        outcome = runner.run_in_memory(case.text, case.seed, case.name)
        if show:
            print(f"{case.name}: {sorted(outcome.broken)}", flush=True)
        counts = invariants.count(outcome.record)
        for number, tally in tallies.items():
            tally.runs += 1
            tally.checks += counts[number]
            for message in outcome.broken.get(number, [])[:1]:
                tally.broken[case.name] = message
    return tallies


def _print(tallies: dict[int, _Tally], known: abc.Set[str]) -> bool:
    good = True
    for number, tally in tallies.items():
        item = invariants.INVARIANTS[number]
        red = [
            case for case in tally.broken if test_name(number, case) in known
        ]
        new = [case for case in tally.broken if case not in red]
        state = "held"
        if tally.broken:
            state = "BROKEN" if new else "known red"
        good = good and not new
        print(
            f"{number:2d} {state:9s} {tally.runs:5d} runs "
            f"{tally.checks:8d} checks {len(tally.broken):4d} broken  "
            f"{item.doc}"
        )
        for case in red:
            print(f"     known red {case}: {tally.broken[case]}")
        for case in new:
            print(f"     broken {case}: {tally.broken[case]}")
    return good


def main() -> None:
    """Run the chosen cases, or all of them, and print the lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--full", action="store_true", help="run all cases")
    parser.add_argument("--show", action="store_true", help="print each case")
    parser.add_argument("--case", action="append", help="run only this case")
    arguments = parser.parse_args()
    found = cases.all_cases() if arguments.full else cases.chosen_cases()
    if arguments.case:
        by_name = {case.name: case for case in cases.all_cases()}
        found = [by_name[name] for name in arguments.case]
    kinds = collections.Counter(case.seed for case in found)
    print(f"{len(found)} scenarios, by seed: {dict(sorted(kinds.items()))}")
    entries = known_red.read(pathlib.Path(known_red.FILE))
    known = {entry.test for entry in entries}
    if not _print(_run(found, arguments.show), known):
        sys.exit(1)


if __name__ == "__main__":
    main()
