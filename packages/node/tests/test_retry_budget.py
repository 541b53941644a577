"""The retry budget: all nodes together stay within the fleet's limit."""

import datetime
import random

import pytest

from balsamramp_node.outbound import retry_budget

RATIO = 0.2
WINDOW = datetime.timedelta(seconds=10)
SLACK = 60.0
STEP = datetime.timedelta(milliseconds=10)


@pytest.mark.parametrize("nodes", [1, 3, 13])
@pytest.mark.parametrize("per_second", [2, 40, 400])
def test_retries_in_any_window_stay_within_the_limit(
    nodes: int, per_second: int
) -> None:
    rng = random.Random(nodes * per_second)
    budgets = [
        retry_budget.RetryBudget(RATIO, WINDOW, SLACK) for _ in range(nodes)
    ]
    for budget in budgets:
        budget.set_fleet_size(nodes)
    now = datetime.timedelta()
    requests: list[datetime.timedelta] = []
    retries: list[datetime.timedelta] = []
    while now < 3 * WINDOW:
        now += STEP
        for budget in budgets:
            if rng.random() < per_second * STEP.total_seconds() / nodes:
                budget.deposit("caja", now)
                requests.append(now)
                while budget.try_withdraw("caja", now):
                    retries.append(now)
    for end in range(10, 31):
        last = datetime.timedelta(seconds=end)
        first = last - WINDOW
        requests_in_window = sum(first < at <= last for at in requests)
        retries_in_window = sum(first < at <= last for at in retries)
        assert retries_in_window <= RATIO * requests_in_window + SLACK


def test_idle_node_can_retry_once() -> None:
    budget = retry_budget.RetryBudget(RATIO, WINDOW, SLACK)
    budget.set_fleet_size(13)
    budget.deposit("caja", datetime.timedelta())
    assert budget.try_withdraw("caja", datetime.timedelta())


def test_services_have_separate_budgets() -> None:
    budget = retry_budget.RetryBudget(RATIO, WINDOW, 2.0)
    now = datetime.timedelta()
    budget.deposit("caja", now)
    while budget.try_withdraw("caja", now):
        continue
    assert budget.try_withdraw("reservas", now)
