"""Limits how many connections a server holds open."""

import abc as abstract
from collections import abc
import heapq

from absl import logging

from balsamramp_core import metrics

__all__ = ["ConnectionLimit", "LimitedConnection"]

# Connections that are closed at once when there is no room, so that a server
# at its limit does not search all of them for each new one.
CLOSED_SHARE = 1 / 32
CLOSED_LOG_SECONDS = 10
# Connections that are looked at for each that is closed.
CANDIDATES_EACH = 4
# Connections that may wait to be accepted, in relation to those that may be
# open, and at least as long as there are few of these.
BACKLOG_SHARE = 1 / 2
BACKLOG_MIN = 64


class LimitedConnection(abstract.ABC):
    """A connection that may have to give way to a new one."""

    @property
    @abstract.abstractmethod
    def progress_at(self) -> float | None:
        """Return when its peer last made progress.

        None states that the peer waits for this process.
        """

    @property
    @abstract.abstractmethod
    def undelivered_bytes(self) -> int:
        """Return how much its peer has not received of what was sent."""

    @abstract.abstractmethod
    def give_way(self) -> None:
        """Close the connection immediately."""


class ConnectionLimit:
    """Closes connections without progress when too many are open.

    Of those without progress for longest, connections whose peers have
    received everything go first. A connection whose request is being handled
    is never closed for another. There is no limit for each address: many
    users may share one.
    """

    def __init__(
        self, server: str, maximum: int, counters: metrics.Metrics
    ) -> None:
        self._server = server
        self._maximum = maximum
        self._metrics = counters

    @property
    def maximum(self) -> int:
        """Return how many connections may be open."""
        return self._maximum

    @property
    def backlog(self) -> int:
        """Return how many connections may wait to be accepted."""
        least = min(self._maximum, BACKLOG_MIN)
        return max(int(self._maximum * BACKLOG_SHARE), least)

    def make_room(
        self, connections: abc.Collection[LimitedConnection]
    ) -> bool:
        """Return whether there is room for one more connection."""
        if len(connections) < self._maximum:
            return True
        waiting: list[tuple[float, int, LimitedConnection]] = []
        for number, connection in enumerate(connections):
            progress_at = connection.progress_at
            if progress_at is None:
                continue
            waiting.append((progress_at, number, connection))
        count = max(int(self._maximum * CLOSED_SHARE), 1)
        longest = heapq.nsmallest(CANDIDATES_EACH * count, waiting)
        closed = sorted(longest, key=_has_undelivered)[:count]
        self._metrics.count(
            "connections_closed_for_others_total",
            by=max(len(closed), 1),
            server=self._server,
        )
        logging.log_every_n_seconds(
            logging.WARNING,
            "%d connections are open at the server %s, the maximum is %d;"
            " closing those without progress",
            CLOSED_LOG_SECONDS,
            len(connections),
            self._server,
            self._maximum,
        )
        for _, _, connection in closed:
            connection.give_way()
        return bool(closed)


def _has_undelivered(candidate: tuple[float, int, LimitedConnection]) -> bool:
    return candidate[2].undelivered_bytes > 0
