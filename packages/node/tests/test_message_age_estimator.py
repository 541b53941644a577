"""Message ages: late messages are known as late on any connection."""

import datetime

from balsamramp_node.inbound import message_age_estimator
from balsamramp_wire import messages

SECOND = datetime.timedelta(seconds=1)
# The sender's clock is behind the receiver's by this.
OFFSET = datetime.timedelta(days=3)
FAST = SECOND / 1000
PEER = messages.Hello("peer", 1)


def _age(
    ages: message_age_estimator.MessageAgeEstimator,
    sent_seconds: float,
    took: datetime.timedelta,
    sender: messages.Hello = PEER,
) -> datetime.timedelta:
    sent_at = sent_seconds * SECOND
    return ages.age(sender, sent_at, sent_at + OFFSET + took)


def test_a_message_is_as_old_as_it_exceeds_the_fastest() -> None:
    ages = message_age_estimator.MessageAgeEstimator()
    assert _age(ages, 0, FAST) == datetime.timedelta()
    assert _age(ages, 1, FAST + SECOND) == SECOND


def test_a_new_connection_that_is_read_late_has_old_messages() -> None:
    """A node short of processor time reads its sockets seconds late."""
    ages = message_age_estimator.MessageAgeEstimator()
    _age(ages, 0, FAST)
    hello, request = _age(ages, 5, 2 * SECOND), _age(ages, 5.1, 2 * SECOND)
    assert hello == 2 * SECOND - FAST
    assert request == 2 * SECOND - FAST


def test_each_start_of_a_node_has_a_clock_of_its_own() -> None:
    ages = message_age_estimator.MessageAgeEstimator()
    _age(ages, 0, FAST)
    again = messages.Hello("peer", 2)
    assert _age(ages, 0, -OFFSET, again) == datetime.timedelta()
    assert _age(ages, 1, SECOND - OFFSET, again) == SECOND
    assert _age(ages, 2, FAST) == datetime.timedelta()


def test_clocks_may_drift_apart_slowly() -> None:
    ages = message_age_estimator.MessageAgeEstimator()
    drift = SECOND / 10_000
    worst = datetime.timedelta()
    for second in range(1000):
        worst = max(worst, _age(ages, second, FAST + second * drift))
    assert worst <= 2 * message_age_estimator.WINDOW / SECOND * drift


def test_peers_beyond_the_bound_are_forgotten() -> None:
    ages = message_age_estimator.MessageAgeEstimator()
    for number in range(message_age_estimator.PEERS_MAX + 1):
        _age(ages, 0, FAST, messages.Hello(f"peer-{number}", 1))
    late = messages.Hello(f"peer-{message_age_estimator.PEERS_MAX}", 1)
    assert _age(ages, 1, SECOND + FAST, late) == SECOND
    assert _age(ages, 1, SECOND, messages.Hello("peer-0", 1)) == 0 * SECOND
