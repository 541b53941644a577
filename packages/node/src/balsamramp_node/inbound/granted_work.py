"""Measures which calls the slots of a target are granted to.

It answers the load in which calls of a better rank keep arriving. A queued
call waits for those that are ahead of it now and for those that overtake it
until it gets a slot. When calls of better rank take all slots, it gets none,
and holding it in the queue only delays its refusal.
"""

import datetime
import math

from balsamramp_node.inbound import queue_discipline

__all__ = ["GrantedWork"]

# Time over which grants are averaged. Targets grant a slot every few tens of
# milliseconds, and bursts begin and end within a second or two.
AVERAGING_TIME = datetime.timedelta(seconds=1)
# Shorter times change the averages by less than a hundredth.
DECAY_INTERVAL = datetime.timedelta(milliseconds=10)
# Highest share of the slots that calls of better rank are taken to need. The
# wait is then twenty times that for the calls ahead.
OVERTAKING_SHARE_MAX = 0.95
# Levels that are kept; a configuration has a few priorities.
LEVELS_MAX = 100
# A level with less work than this is forgotten.
WORK_MIN = datetime.timedelta(milliseconds=1)


class GrantedWork:
    """Averages the work that was granted slots, by level.

    Example::

        granted.record(level, service_time, now)
        wait = work_ahead / slots / (1 - granted.share_before(level, slots))
    """

    def __init__(self) -> None:
        self._work: dict[queue_discipline.Rank, datetime.timedelta] = {}
        self._updated_at = datetime.timedelta()

    def record(
        self,
        level: queue_discipline.Rank,
        work: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Record that a call that takes ``work`` was granted a slot."""
        self._decay(now)
        if level not in self._work and len(self._work) >= LEVELS_MAX:
            return
        self._work[level] = self._work.get(level, datetime.timedelta()) + work

    def share_before(
        self,
        level: queue_discipline.Rank,
        slots: int,
        now: datetime.timedelta,
    ) -> float:
        """Return the share of the slots that better levels have used."""
        self._decay(now)
        work = datetime.timedelta()
        for other, granted in self._work.items():
            if other < level:
                work += granted
        share = work / AVERAGING_TIME / max(slots, 1)
        return min(share, OVERTAKING_SHARE_MAX)

    def _decay(self, now: datetime.timedelta) -> None:
        age = now - self._updated_at
        if age < DECAY_INTERVAL:
            return
        factor = math.exp(-(age / AVERAGING_TIME))
        self._updated_at = now
        self._work = {
            level: work * factor
            for level, work in self._work.items()
            if work * factor >= WORK_MIN
        }
