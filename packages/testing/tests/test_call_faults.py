"""Calls under faults: none doubled or lost, more in time than a baseline."""

import pytest

from balsamramp_testing.benches import call_faults

BASELINE = call_faults.VARIANTS[3]
PRODUCT = call_faults.VARIANTS[-1]
FAULTS = (
    "half of the targets restart",
    "silent connections",
    "lying health endpoint",
    "zone gone",
)


@pytest.mark.parametrize("fault", FAULTS)
def test_product_answers_more_in_time(fault: str) -> None:
    found = call_faults.run(PRODUCT, fault)
    baseline = call_faults.run(BASELINE, fault)
    assert found.sent == baseline.sent
    assert found.in_time > baseline.in_time
    for outcomes in (found, baseline):
        assert outcomes.doubled == 0
        assert outcomes.lost == 0
        assert outcomes.false_verdicts == 0
    assert found.falls == 0
