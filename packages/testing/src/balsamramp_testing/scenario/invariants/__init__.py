"""What must always hold, checked against the record of every scenario."""

from balsamramp_testing.scenario import record
from balsamramp_testing.scenario.invariants import configurations
from balsamramp_testing.scenario.invariants import invariant
from balsamramp_testing.scenario.invariants import requests
from balsamramp_testing.scenario.invariants import traffic

__all__ = ["INVARIANTS", "check", "count"]

MODULES = (configurations, requests, traffic)
INVARIANTS: dict[int, invariant.Invariant] = {
    item.number: item()
    for item in sorted(
        (found for module in MODULES for found in module.INVARIANTS),
        key=lambda found: found.number,
    )
}


def check(seen: record.History) -> dict[int, list[str]]:
    """Return what contradicts each line that does not hold."""
    broken = {}
    for number, item in INVARIANTS.items():
        found = item.check(seen)
        if found:
            broken[number] = found
    return broken


def count(seen: record.History) -> dict[int, int]:
    """Return how often the record put each line to the test."""
    return {number: item.count(seen) for number, item in INVARIANTS.items()}
