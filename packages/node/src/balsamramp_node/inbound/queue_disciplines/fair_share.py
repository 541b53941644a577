"""Queue discipline that shares the slots among organisations."""

from collections import abc
import datetime

import attrs

from balsamramp_node.inbound import queue_discipline
from balsamramp_node.inbound import served_shares
from balsamramp_node.inbound.queue_disciplines import priority

__all__ = ["FairShareDiscipline"]

# Time of the target that an organisation gets in each round, before the calls
# of its next round. Within a round calls are ordered by their objectives, so
# a shorter one would make more of them late.
ROUND = datetime.timedelta(milliseconds=500)
# Most that calls without an organisation may use for each use by one, so
# that the turns of organisations come again however rare their calls are.
CREDIT_RATIO_MAX = 10.0
# Organisations of one priority whose use is known at a time.
ORGANISATIONS_MAX = 1024
NONE = datetime.timedelta()

QueuedCalls = abc.Sequence[queue_discipline.QueuedCall]


@attrs.define
class _Level:
    """The use of the target by the organisations of one priority.

    ``start`` is the begin of the current round. ``used`` holds what each
    organisation has used, if that is after the start; the others have not
    used any of the current round. Calls without an organisation count as one
    with an empty name. ``credit`` is what they may use besides their turn
    in the current round.
    """

    start: datetime.timedelta = NONE
    used: dict[str, datetime.timedelta] = attrs.field(factory=dict)
    credit: datetime.timedelta = NONE

    def position(
        self, organisation: str, work: datetime.timedelta = NONE
    ) -> datetime.timedelta:
        """Return where a call begins that follows ``work``."""
        if not organisation:
            if work < self.credit:
                return self.start
            work -= self.credit
        return max(self.used.get(organisation, NONE), self.start) + work

    def record_use(
        self, organisation: str, work: datetime.timedelta, ratio: float
    ) -> None:
        """Charge ``work``, and credit ``ratio`` of it if that is named."""
        if organisation:
            self.credit += work * min(ratio, CREDIT_RATIO_MAX)
        else:
            free = min(self.credit, work)
            self.credit -= free
            work -= free
        if work:
            used = self.used.get(organisation, NONE)
            self.used[organisation] = max(used, self.start) + work


class FairShareDiscipline(priority.PriorityDiscipline):
    """Shares the slots evenly among organisations of equal priority.

    Calls by targets and the priority come first, as without organisations.
    At each priority the organisations then take turns: in each round every
    one of them may use the target for ``ROUND``, and a call that begins in a
    later round is served after those of the current one. Within a round the
    order is that of ``PriorityDiscipline``, and so it is as long as no
    organisation is known.

    Calls without an organisation have a turn together, like one, and besides
    for each use by an organisation as much as fits their part of the calls
    that come, up to ``CREDIT_RATIO_MAX``. So they are not squeezed to the
    turn of one among dozens, and organisations that use their turns get
    together at least half of what fits their part.

    Rounds end as soon as no organisation waits in them, and all use is
    forgotten when no call of the priority waits: what was free may be used.

    An organisation is within its share while its call belongs to the current
    round. Then no other organisation of the priority gets more than ``ROUND``
    and one call before it, so with n organisations the call waits for n times
    that work of the target at most, besides the calls by targets, those of
    higher priority and what is credited to those without an organisation.

    An organisation of which the target serves a much smaller share of calls
    than of all is not left behind: its first call precedes, but only every
    second time. This doubles the number of calls above.
    """

    doc = (
        "calls by targets, priority, share of the organisation,"
        " on time before late, objective"
    )

    def __init__(self) -> None:
        self._levels: dict[int, _Level] = {}
        self._shares = served_shares.ServedShares()
        self._preferred_last = False

    def ranks(
        self, calls: QueuedCalls, now: datetime.timedelta
    ) -> list[queue_discipline.Rank]:
        return self._ranks(calls, now, True)

    def next_call(
        self, calls: QueuedCalls, now: datetime.timedelta
    ) -> queue_discipline.QueuedCall:
        ranks = self._ranks(calls, now, not self._preferred_last)
        index = min(range(len(calls)), key=ranks.__getitem__)
        return calls[index]

    def on_arrival(
        self, call: queue_discipline.QueuedCall, now: datetime.timedelta
    ) -> None:
        if call.organisation or self._shares.counts:
            self._shares.record_arrival(
                call.organisation, now, call.from_target
            )

    def on_granted(
        self,
        call: queue_discipline.QueuedCall,
        waiting: QueuedCalls,
        now: datetime.timedelta,
    ) -> None:
        if not call.organisation and not self._shares.counts:
            return
        self._preferred_last = not self._preferred_last and (
            self._shares.is_behind(call.organisation, now)
        )
        self._shares.record_grant(call.organisation, now)
        if not _has_share(call):
            return
        level = self._levels.setdefault(call.priority, _Level())
        ratio = self._shares.unnamed_ratio(now)
        level.record_use(call.organisation, call.service_time, ratio)
        self._end_rounds(call.priority, waiting)

    def on_left(
        self,
        call: queue_discipline.QueuedCall,
        waiting: QueuedCalls,
        now: datetime.timedelta,
    ) -> None:
        self._end_rounds(call.priority, waiting)

    def _end_rounds(self, call_priority: int, waiting: QueuedCalls) -> None:
        """End the rounds of a priority in which nobody waits."""
        level = self._levels.get(call_priority)
        if level is None:
            return
        positions = [
            level.position(other.organisation)
            for other in waiting
            if other.priority == call_priority and _has_share(other)
        ]
        if not positions:
            del self._levels[call_priority]
            return
        start = min(positions) // ROUND * ROUND
        if start > level.start:
            level.credit = NONE
        level.start = start
        level.used = {
            name: used
            for name, used in level.used.items()
            if used > level.start
        }
        if len(level.used) > ORGANISATIONS_MAX:
            del level.used[min(level.used, key=level.used.__getitem__)]

    def displaced(
        self,
        calls: QueuedCalls,
        call: queue_discipline.QueuedCall,
        ranks: abc.Sequence[queue_discipline.Rank],
    ) -> queue_discipline.QueuedCall | None:
        index = max(range(len(calls)), key=ranks.__getitem__)
        last = calls[index]
        if last.from_target or last.organisation == call.organisation:
            return None
        return last if ranks[-1] < ranks[index] else None

    def _ranks(
        self, calls: QueuedCalls, now: datetime.timedelta, prefers: bool
    ) -> list[queue_discipline.Rank]:
        ranks = super().ranks(calls, now)
        if not any(call.organisation for call in calls):
            return ranks
        # Work of the calls ahead of the next one of the same organisation.
        ahead: dict[tuple[int, str], datetime.timedelta] = {}
        first_of: set[str] = set()
        for index in sorted(range(len(calls)), key=ranks.__getitem__):
            call = calls[index]
            name = call.organisation
            preferred = prefers and bool(name) and name not in first_of
            if preferred:
                preferred = self._shares.is_behind(name, now)
            first_of.add(name)
            level = self._levels.get(call.priority) or _Level()
            position = level.start
            if _has_share(call):
                key = (call.priority, name)
                work = ahead.get(key, NONE)
                ahead[key] = work + call.service_time
                position = level.position(name, work)
            from_caller, call_priority, *rest = ranks[index]
            ranks[index] = (
                from_caller,
                not preferred,
                call_priority,
                position // ROUND,
                *rest,
            )
        return ranks


def _has_share(call: queue_discipline.QueuedCall) -> bool:
    return not call.from_target
