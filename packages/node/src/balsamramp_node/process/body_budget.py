"""Limits the memory that a process uses for the bodies of messages."""

from collections import abc

from absl import logging

from balsamramp_core import metrics

__all__ = ["BodyBudget", "Reservation"]

# A body may have this much without a reservation, so that small messages cost
# nothing. Larger bodies reserve their memory in steps of this size.
STEP_BYTES = 64 * 1024
CUT_LOG_SECONDS = 10

OnCut = abc.Callable[[], None]
CountBytes = abc.Callable[[], int]


class Reservation:
    """The memory reserved for the body of one message.

    Example::

        reservation = budget.open(on_cut=connection.abort)
        if not reservation.grow(len(part)):
            connection.abort()
        ...
        reservation.release()
    """

    def __init__(self, budget: "BodyBudget", on_cut: OnCut | None) -> None:
        self._budget = budget
        self._on_cut = on_cut
        self._body_bytes = 0
        self._reserved_bytes = 0

    @property
    def reserved_bytes(self) -> int:
        """Return how much is reserved, in whole steps."""
        return self._reserved_bytes

    @property
    def can_be_cut(self) -> bool:
        """Return whether the body may be given up while it is received."""
        return self._on_cut is not None

    def grow(self, size: int) -> bool:
        """Add ``size`` bytes to the body; return False if there is no room.

        The reservation is released then.
        """
        self._body_bytes += size
        missing = self._body_bytes - self._reserved_bytes - STEP_BYTES
        if missing <= 0:
            return True
        step = -(-missing // STEP_BYTES) * STEP_BYTES
        if not self._budget.make_room(self, step):
            self.release()
            return False
        self._reserved_bytes += step
        return True

    def keep(self) -> None:
        """Rule out that the body, complete now, is given up."""
        self._on_cut = None

    def cut(self) -> None:
        """Give up the body and release its memory."""
        on_cut, self._on_cut = self._on_cut, None
        self.release()
        if on_cut is not None:
            on_cut()

    def release(self) -> None:
        """Release the memory; the reservation may be used again."""
        self._body_bytes = self._reserved_bytes = 0
        self._budget.forget(self)


class BodyBudget:
    """Memory for the bodies that a process receives and sends.

    It is shared by all connections. When it is used up, the largest body
    that is still being received is given up: a peer that sends without end
    does not crowd out the others. Complete bodies are kept.
    """

    def __init__(self, limit_bytes: int, counters: metrics.Metrics) -> None:
        self._limit_bytes = limit_bytes
        self._metrics = counters
        self._reservations: set[Reservation] = set()
        self._unsent: list[CountBytes] = []

    @property
    def held_bytes(self) -> int:
        """Return how much is reserved, or waits to be sent."""
        reserved = sum(item.reserved_bytes for item in self._reservations)
        return reserved + sum(count() for count in self._unsent)

    def count_unsent(self, count: CountBytes) -> None:
        """Count the bytes that ``count`` returns, which wait to be sent."""
        self._unsent.append(count)

    def open(self, on_cut: OnCut) -> Reservation:
        """Return a reservation; ``on_cut`` is called when it is given up."""
        return Reservation(self, on_cut)

    def make_room(self, asking: Reservation, size: int) -> bool:
        """Return whether ``asking`` may reserve ``size`` more bytes.

        Larger bodies than that of ``asking`` are given up for it.
        """
        self._reservations.add(asking)
        while self.held_bytes + size > self._limit_bytes:
            largest = max(
                (item for item in self._reservations if item.can_be_cut),
                key=lambda item: item.reserved_bytes,
                default=asking,
            )
            self._metrics.count("bodies_cut_total")
            logging.log_every_n_seconds(
                logging.WARNING,
                "gave up a body of over %d bytes: all bodies may have %d",
                CUT_LOG_SECONDS,
                largest.reserved_bytes,
                self._limit_bytes,
            )
            if largest is asking:
                return False
            largest.cut()
        return True

    def forget(self, reservation: Reservation) -> None:
        """Remove a reservation that holds nothing."""
        self._reservations.discard(reservation)
