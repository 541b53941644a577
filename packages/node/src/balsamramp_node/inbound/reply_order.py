"""Chooses which large reply is sent next on a link shared by all.

It answers the load in which the replies of one VM exceed the rate of its
link. If they shared it equally, all would be late.
"""

from collections import abc
import datetime
import typing

import attrs

__all__ = ["PendingReply", "find_next_reply"]


@attrs.define(eq=False, kw_only=True)
class PendingReply:
    """A reply that waits for the link, whole or in part.

    After ``objective_at`` it is late and has less value to the caller;
    after ``deadline`` nobody waits for it. Both are readings of this node's
    monotonic clock.
    """

    remaining_bytes: int
    objective_at: datetime.timedelta
    deadline: datetime.timedelta


_Reply = typing.TypeVar("_Reply", bound=PendingReply)


def find_next_reply(
    replies: abc.Iterable[_Reply],
    now: datetime.timedelta,
    bytes_per_second: float,
) -> _Reply | None:
    """Return the reply to send next, or None if there are none.

    As many as possible meet their objective: they go in the order of their
    objectives, and while the next one would be late, the longest is put off
    (Moore and Hodgson's algorithm). Replies that are put off follow, the
    shortest first, but none waits until its deadline can't be met.

    Example: of 500 KB and 100 KB, both due in 0.5 s, on a link of 600 KB/s
    the second is returned.
    """
    punctual: list[_Reply] = []
    put_off: list[_Reply] = []
    total_bytes = 0
    for reply in sorted(replies, key=lambda item: item.objective_at):
        punctual.append(reply)
        total_bytes += reply.remaining_bytes
        sent_at = now + datetime.timedelta(
            seconds=total_bytes / bytes_per_second
        )
        if sent_at <= reply.objective_at:
            continue
        longest = max(punctual, key=lambda item: item.remaining_bytes)
        punctual.remove(longest)
        put_off.append(longest)
        total_bytes -= longest.remaining_bytes
    if not punctual:
        return min(
            put_off, key=lambda item: item.remaining_bytes, default=None
        )
    first = punctual[0]
    for reply in put_off:
        bytes_before_deadline = (
            reply.deadline - now
        ).total_seconds() * bytes_per_second
        if first.remaining_bytes + reply.remaining_bytes > (
            bytes_before_deadline
        ):
            return reply
    return first
