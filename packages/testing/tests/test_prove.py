"""Each line of what must always hold, under the chosen cases."""

import functools

import pytest

from balsamramp_testing.prove import cases
from balsamramp_testing.scenario import invariants
from balsamramp_testing.scenario import runner

CASES = {case.name: case for case in cases.chosen_cases()}


@functools.cache
def _checked(name: str) -> tuple[dict[int, list[str]], dict[int, int]]:
    case = CASES[name]
    outcome = runner.run_in_memory(case.text, case.seed, case.name)
    return outcome.broken, invariants.count(outcome.record)


@pytest.mark.parametrize("number", invariants.INVARIANTS, ids="{:02d}".format)
@pytest.mark.parametrize("name", CASES)
def test_line_holds(name: str, number: int) -> None:
    broken, _ = _checked(name)
    assert broken.get(number, []) == []


def test_cases_put_every_line_to_the_test() -> None:
    totals = dict.fromkeys(invariants.INVARIANTS, 0)
    for name in CASES:
        _, counts = _checked(name)
        for number, count in counts.items():
            totals[number] += count
    assert min(totals.values()) > 0, totals
    assert sorted({case.seed for case in CASES.values()}) == [1, 2, 3]


def test_full_set_has_every_fault_alone_twice_and_in_pairs() -> None:
    names = {case.name for case in cases.all_cases()}
    assert {"node-killed-3", "node-killed-twice-3"} <= names
    assert "node-killed-and-zones-cut-3" in names
    assert len(names) == len(cases.all_cases())
