"""Tells which routes a target serves too rarely.

It answers a load above capacity in which priorities alone would refuse all
calls of a route for as long as the load lasts.
"""

import collections
import datetime
import math

__all__ = ["RouteCredits"]

# Time constant of the share of all calls that is served.
MEMORY = datetime.timedelta(seconds=5)
# Part of the share of all that each route is served at least. Twice the part
# below which operators count it as starved.
SHARE_RATIO_MIN = 0.5
# Calls by which a route may be behind or ahead. What it was served in a calm
# before a burst hardly counts, however often it is called.
CREDIT_MAX = 2.0
CREDIT_MIN = -1.0
ROUTES_MAX = 1024


class RouteCredits:
    """Credits each route a part of a grant for each call that comes.

    A route whose credit has grown to a whole grant is behind. The route of
    which no call came for the longest time is forgotten when there are more
    than ``ROUTES_MAX``.

    Example::

        credits.record_arrival("read", now)
        if credits.is_behind("read"):
            credits.record_grant("read", now)
    """

    def __init__(self) -> None:
        self._credits: collections.OrderedDict[str, float]
        self._credits = collections.OrderedDict()
        self._came = 0.0
        self._served = 0.0
        self._updated_at = datetime.timedelta()

    def __len__(self) -> int:
        return len(self._credits)

    def record_arrival(self, route: str, now: datetime.timedelta) -> None:
        """Count one call that came."""
        self._decay(now)
        self._came += 1
        earned = SHARE_RATIO_MIN * min(self._served / self._came, 1.0)
        credit = self._credits.get(route, 0.0) + earned
        self._credits[route] = min(credit, CREDIT_MAX)
        self._credits.move_to_end(route)
        while len(self._credits) > ROUTES_MAX:
            self._credits.popitem(last=False)

    def record_grant(self, route: str, now: datetime.timedelta) -> None:
        """Count one call that got a slot."""
        self._decay(now)
        self._served += 1
        if route in self._credits:
            credit = self._credits[route] - 1
            self._credits[route] = max(credit, CREDIT_MIN)

    def is_behind(self, route: str) -> bool:
        """Return whether one more call has to be served to keep up."""
        return self._credits.get(route, 0.0) >= 1

    def _decay(self, now: datetime.timedelta) -> None:
        factor = math.exp((self._updated_at - now) / MEMORY)
        self._updated_at = now
        self._came *= factor
        self._served *= factor
