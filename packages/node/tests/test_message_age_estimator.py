"""The age estimator recognises late messages on any connection."""

import datetime

from balsamramp_node.inbound import message_age_estimator
from balsamramp_wire import messages

SECOND = datetime.timedelta(seconds=1)
# How far the sender's clock is behind the receiver's.
CLOCK_OFFSET = datetime.timedelta(days=3)
FAST_TRANSIT = SECOND / 1000
PEER = messages.Hello("peer", 1)


def _age(
    estimator: message_age_estimator.MessageAgeEstimator,
    sent_seconds: float,
    transit: datetime.timedelta,
    sender: messages.Hello = PEER,
) -> datetime.timedelta:
    sent_at = sent_seconds * SECOND
    return estimator.age(sender, sent_at, sent_at + CLOCK_OFFSET + transit)


def test_age_is_the_excess_over_the_fastest_message() -> None:
    estimator = message_age_estimator.MessageAgeEstimator()
    assert _age(estimator, 0, FAST_TRANSIT) == datetime.timedelta()
    assert _age(estimator, 1, FAST_TRANSIT + SECOND) == SECOND


def test_first_messages_read_late_are_recognised_as_old() -> None:
    """A node that is short of CPU reads its sockets seconds late."""
    estimator = message_age_estimator.MessageAgeEstimator()
    _age(estimator, 0, FAST_TRANSIT)
    hello, request = (
        _age(estimator, 5, 2 * SECOND),
        _age(estimator, 5.1, 2 * SECOND),
    )
    assert hello == 2 * SECOND - FAST_TRANSIT
    assert request == 2 * SECOND - FAST_TRANSIT


def test_each_incarnation_has_its_own_clock_offset() -> None:
    estimator = message_age_estimator.MessageAgeEstimator()
    _age(estimator, 0, FAST_TRANSIT)
    restarted = messages.Hello("peer", 2)
    assert _age(estimator, 0, -CLOCK_OFFSET, restarted) == datetime.timedelta()
    assert _age(estimator, 1, SECOND - CLOCK_OFFSET, restarted) == SECOND
    assert _age(estimator, 2, FAST_TRANSIT) == datetime.timedelta()


def test_slow_clock_drift_causes_a_bounded_error() -> None:
    estimator = message_age_estimator.MessageAgeEstimator()
    drift = SECOND / 10_000
    worst = datetime.timedelta()
    for second in range(1000):
        worst = max(
            worst, _age(estimator, second, FAST_TRANSIT + second * drift)
        )
    assert worst <= 2 * message_age_estimator.WINDOW / SECOND * drift


def test_oldest_peer_beyond_the_maximum_is_removed() -> None:
    estimator = message_age_estimator.MessageAgeEstimator()
    for number in range(message_age_estimator.PEERS_MAX + 1):
        _age(estimator, 0, FAST_TRANSIT, messages.Hello(f"peer-{number}", 1))
    late = messages.Hello(f"peer-{message_age_estimator.PEERS_MAX}", 1)
    assert _age(estimator, 1, SECOND + FAST_TRANSIT, late) == SECOND
    assert (
        _age(estimator, 1, SECOND, messages.Hello("peer-0", 1)) == 0 * SECOND
    )
