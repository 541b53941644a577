"""Retry budget: the sum over all nodes stays within the fleet's bound."""

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
def test_repeats_in_any_window_stay_within_the_bound(
    nodes: int, per_second: int
) -> None:
    chance = random.Random(nodes * per_second)
    budgets = [
        retry_budget.RetryBudget(RATIO, WINDOW, SLACK) for _ in range(nodes)
    ]
    for budget in budgets:
        budget.set_fleet_size(nodes)
    now = datetime.timedelta()
    requests: list[datetime.timedelta] = []
    repeats: list[datetime.timedelta] = []
    while now < 3 * WINDOW:
        now += STEP
        for budget in budgets:
            if chance.random() < per_second * STEP.total_seconds() / nodes:
                budget.deposit("caja", now)
                requests.append(now)
                while budget.try_withdraw("caja", now):
                    repeats.append(now)
    for end in range(10, 31):
        last = datetime.timedelta(seconds=end)
        first = last - WINDOW
        asked = sum(first < at <= last for at in requests)
        again = sum(first < at <= last for at in repeats)
        assert again <= RATIO * asked + SLACK


def test_an_idle_node_has_a_repeat_to_spend() -> None:
    budget = retry_budget.RetryBudget(RATIO, WINDOW, SLACK)
    budget.set_fleet_size(13)
    budget.deposit("caja", datetime.timedelta())
    assert budget.try_withdraw("caja", datetime.timedelta())


def test_services_have_budgets_of_their_own() -> None:
    budget = retry_budget.RetryBudget(RATIO, WINDOW, 2.0)
    now = datetime.timedelta()
    budget.deposit("caja", now)
    while budget.try_withdraw("caja", now):
        continue
    assert budget.try_withdraw("reservas", now)
