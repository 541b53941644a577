"""Service times: no estimate outlasts the calls that confirm it."""

import datetime

from balsamramp_node.inbound import service_times

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)


def test_estimate_holds_while_calls_confirm_it_and_then_shrinks() -> None:
    times = service_times.ServiceTimes()
    for second in range(10):
        times.record_answer("r", 200 * MS, second * SECOND)
    assert times.expected("r", 10 * SECOND) == 200 * MS
    assert times.expected("r", 12 * SECOND) < 200 * MS
    assert times.expected("r", 20 * SECOND) < 2 * MS


def test_calls_that_end_late_without_an_answer_confirm_the_estimate() -> None:
    times = service_times.ServiceTimes()
    times.record_answer("r", 200 * MS, 0 * SECOND)
    times.record_failure("r", 250 * MS, 5 * SECOND)
    assert times.expected("r", 6 * SECOND) == 200 * MS
    times.record_failure("r", 10 * MS, 9 * SECOND)
    assert times.expected("r", 9 * SECOND) < 200 * MS


def test_number_of_routes_is_bounded() -> None:
    times = service_times.ServiceTimes()
    times.record_answer("first", 200 * MS, 0 * SECOND)
    for number in range(service_times.ROUTES_MAX):
        times.expected(str(number), 0 * SECOND)
    assert times.expected("first", 0 * SECOND) == times.mean
