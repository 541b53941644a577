"""The order of large replies on a link that cannot send all in time."""

import datetime

from balsamramp_node.inbound import reply_order

LINK = 600_000.0
NOW = datetime.timedelta(seconds=50)


def _reply(
    kilobytes: int, objective: float, deadline: float = 10.0
) -> reply_order.PendingReply:
    return reply_order.PendingReply(
        remaining_bytes=kilobytes * 1000,
        objective_at=NOW + datetime.timedelta(seconds=objective),
        deadline=NOW + datetime.timedelta(seconds=deadline),
    )


def _count_punctual(replies: list[reply_order.PendingReply]) -> int:
    """Send all replies in the order that is chosen."""
    now = NOW
    punctual = 0
    while replies:
        chosen = reply_order.find_next_reply(replies, now, LINK)
        assert chosen is not None
        now += datetime.timedelta(seconds=chosen.remaining_bytes / LINK)
        punctual += now <= chosen.objective_at
        replies.remove(chosen)
    return punctual


def test_no_reply_is_chosen_from_none() -> None:
    assert reply_order.find_next_reply([], NOW, LINK) is None


def test_replies_that_fit_go_by_objective() -> None:
    later, sooner = _reply(90, 2.0), _reply(200, 1.0)
    chosen = reply_order.find_next_reply([later, sooner], NOW, LINK)
    assert chosen is sooner


def test_one_long_reply_does_not_make_all_others_late() -> None:
    replies = [_reply(540, 1.0)]
    replies += [_reply(90, 1.0 + number / 100) for number in range(6)]
    assert _count_punctual(replies) == 6


def test_overload_makes_some_replies_late_instead_of_all() -> None:
    replies = [_reply(90, 1.0 + number / 100) for number in range(20)]
    assert _count_punctual(replies) >= 6


def test_a_late_reply_is_sent_before_its_deadline_passes() -> None:
    late = _reply(90, -0.5, deadline=0.2)
    punctual = _reply(90, 1.0)
    chosen = reply_order.find_next_reply([punctual, late], NOW, LINK)
    assert chosen is late
    patient = _reply(90, -0.5, deadline=5.0)
    chosen = reply_order.find_next_reply([punctual, patient], NOW, LINK)
    assert chosen is punctual
