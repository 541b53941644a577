"""Counts which share of its calls each organisation is served."""

import datetime
import math

import attrs

__all__ = ["ServedShares"]

# Time constant of the counts. Most organisations send a few calls a minute
# to one target.
MEMORY = datetime.timedelta(seconds=30)
ORGANISATIONS_MAX = 1024
# An organisation that is served a smaller part of the share of all is behind.
# Twice the part below which operators count it as starved.
SHARE_RATIO_MIN = 0.5


@attrs.define
class _Tally:
    """Decaying counts of calls that came and that got a slot."""

    updated_at: datetime.timedelta
    came: float = 0.0
    served: float = 0.0

    def decay(self, now: datetime.timedelta) -> None:
        factor = math.exp((self.updated_at - now) / MEMORY)
        self.came *= factor
        self.served *= factor
        self.updated_at = now


class ServedShares:
    """Finds the organisations that a target serves too rarely.

    It answers a load above capacity in which priorities and fair shares alone
    would refuse nearly all calls of an organisation, because it has the
    lowest priority or sends a large part of all calls. Calls without an
    organisation count among all, since they take slots as well. The
    organisation that has sent nothing for the longest time is forgotten when
    there are more than ``ORGANISATIONS_MAX``.
    """

    def __init__(self) -> None:
        self._all = _Tally(datetime.timedelta())
        self._named = _Tally(datetime.timedelta())
        self._unnamed = _Tally(datetime.timedelta())
        self._tallies: dict[str, _Tally] = {}

    @property
    def counts(self) -> bool:
        """Whether an organisation is known, so that there are shares."""
        return bool(self._tallies)

    def record_arrival(
        self, organisation: str, now: datetime.timedelta, from_target: bool
    ) -> None:
        """Count one call that came, of no organisation if that is empty."""
        counts = [self._all]
        if organisation:
            counts.append(self._named)
        elif not from_target:
            counts.append(self._unnamed)
        for item in counts:
            item.decay(now)
            item.came += 1
        if not organisation:
            return
        tally = self._tallies.pop(organisation, None) or _Tally(now)
        while len(self._tallies) >= ORGANISATIONS_MAX:
            del self._tallies[next(iter(self._tallies))]
        self._tallies[organisation] = tally
        tally.decay(now)
        tally.came += 1

    def record_grant(self, organisation: str, now: datetime.timedelta) -> None:
        """Count one call that got a slot."""
        for item in (self._tallies.get(organisation), self._all):
            if item is not None:
                item.decay(now)
                item.served += 1

    def unnamed_ratio(self, now: datetime.timedelta) -> float:
        """Return the calls without an organisation for each one with it.

        Those by targets don't count, as they have no share.
        """
        for item in (self._named, self._unnamed):
            item.decay(now)
        if not self._named.came:
            return 0.0
        return self._unnamed.came / self._named.came

    def is_behind(self, organisation: str, now: datetime.timedelta) -> bool:
        """Return whether one more call has to be served to keep up.

        That is a whole call, so that an organisation that has only just sent
        its first ones is not behind.
        """
        tally = self._tallies.get(organisation)
        if tally is None or not self._all.came:
            return False
        tally.decay(now)
        share = self._all.served / self._all.came
        return SHARE_RATIO_MIN * share * tally.came - tally.served >= 1
