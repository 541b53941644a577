"""Limits the memory that a process uses for the messages that it holds."""

from collections import abc
import datetime

from absl import logging

from balsamramp_core import clock
from balsamramp_core import metrics

__all__ = ["BodyBudget", "Reservation"]

# A body may have this much without a reservation, so that small messages cost
# nothing. Larger bodies reserve their memory in steps of this size.
STEP_BYTES = 64 * 1024
# Share for what callers send and for responses that they do not read. The
# rest is left for the responses of targets.
CALLERS_SHARE = 0.75
# Messages are given up until this share is free, so that a process at its
# limit does not search them for each part that arrives.
SPARE_SHARE = 1 / 16
# A message that was given no more memory for a time counts as much larger.
STALLED_UNIT = datetime.timedelta(seconds=1)
CUT_LOG_SECONDS = 10

OnCut = abc.Callable[[], None]
CountBytes = abc.Callable[[], int]


class Reservation:
    """The memory reserved for one message.

    Example::

        reservation = budget.open(on_cut=connection.abort)
        if not reservation.grow(len(part)):
            connection.abort()
        ...
        reservation.release()
    """

    def __init__(
        self,
        budget: "BodyBudget",
        on_cut: OnCut | None,
        step_bytes: int = STEP_BYTES,
        free_bytes: int = STEP_BYTES,
        from_caller: bool = False,
    ) -> None:
        self._budget = budget
        self._on_cut = on_cut
        self._step_bytes = step_bytes
        self._free_bytes = free_bytes
        self._from_caller = from_caller
        self._held_bytes = 0
        self._reserved_bytes = 0
        self._grown_at = datetime.timedelta()

    @property
    def reserved_bytes(self) -> int:
        """Return how much is reserved, in whole steps."""
        return self._reserved_bytes

    @property
    def can_be_cut(self) -> bool:
        """Return whether the message may be given up."""
        return self._on_cut is not None

    @property
    def from_caller(self) -> bool:
        """Return whether a caller sends the message or is to read it."""
        return self._from_caller

    def weight(self, now: datetime.timedelta) -> float:
        """Return the reserved bytes times the seconds since the last step.

        What is held for long without progress is given up first.
        """
        stalled = max((now - self._grown_at) / STALLED_UNIT, 1.0)
        return self._reserved_bytes * stalled

    def grow(self, size: int) -> bool:
        """Add ``size`` bytes to the message; return False without room.

        The reservation is released then.
        """
        self._held_bytes += size
        missing = self._held_bytes - self._reserved_bytes - self._free_bytes
        if missing <= 0:
            return True
        step = self._step_bytes
        if self._reserved_bytes >= STEP_BYTES:
            step = max(step, STEP_BYTES)
        size = -(-missing // step) * step
        if not self._budget.reserve(self, size):
            self.release()
            return False
        self._reserved_bytes += size
        self._grown_at = self._budget.now
        return True

    def resize(self, size: int) -> bool:
        """Set the message to ``size`` bytes; return False without room."""
        if size > self._held_bytes:
            return self.grow(size - self._held_bytes)
        self._held_bytes = size
        needed = max(size - self._free_bytes, 0)
        reserved = -(-needed // self._step_bytes) * self._step_bytes
        if reserved < self._reserved_bytes:
            self._budget.give_back(self, self._reserved_bytes - reserved)
            self._reserved_bytes = reserved
            self._grown_at = self._budget.now
        return True

    def keep(self) -> None:
        """Rule out that the message, complete now, is given up."""
        self._on_cut = None

    def cut(self) -> None:
        """Give up the message and release its memory."""
        on_cut, self._on_cut = self._on_cut, None
        self.release()
        if on_cut is not None:
            on_cut()

    def release(self) -> None:
        """Release the memory; the reservation may be used again."""
        self._budget.give_back(self, self._reserved_bytes)
        self._held_bytes = self._reserved_bytes = 0
        self._budget.forget(self)


class BodyBudget:
    """Memory for the messages that a process receives and sends.

    It is shared by all connections. When it is used up, messages that are
    still being received, or that a caller does not read, are given up: the
    largest first, and those that have not moved for long. Callers use a
    share of it only, and responses of targets are not given up for them.
    Complete messages are kept.
    """

    def __init__(
        self,
        limit_bytes: int,
        counters: metrics.Metrics,
        time: clock.Clock | None = None,
    ) -> None:
        self._limit_bytes = limit_bytes
        self._callers_limit_bytes = int(limit_bytes * CALLERS_SHARE)
        self._spare_bytes = int(limit_bytes * SPARE_SHARE)
        self._metrics = counters
        self._clock = time or clock.SystemClock()
        self._reservations: set[Reservation] = set()
        self._reserved_bytes = 0
        self._callers_bytes = 0
        self._unsent: list[CountBytes] = []

    @property
    def now(self) -> datetime.timedelta:
        """Return the time, to compare how long messages are held."""
        return self._clock.monotonic()

    @property
    def held_bytes(self) -> int:
        """Return how much is reserved, or waits to be sent."""
        return self._reserved_bytes + sum(count() for count in self._unsent)

    @property
    def callers_limit_bytes(self) -> int:
        """Return how much may be held for callers."""
        return self._callers_limit_bytes

    def count_unsent(self, count: CountBytes) -> None:
        """Count the bytes that ``count`` returns, which wait to be sent."""
        self._unsent.append(count)

    def open(self, on_cut: OnCut) -> Reservation:
        """Return a reservation; ``on_cut`` is called when it is given up."""
        return Reservation(self, on_cut)

    def open_for_caller(
        self, on_cut: OnCut, step_bytes: int, free_bytes: int
    ) -> Reservation:
        """Return a reservation for what a caller sends or is to read.

        It grows by ``step_bytes`` until it has STEP_BYTES, and the first
        ``free_bytes`` are not reserved.
        """
        return Reservation(
            self, on_cut, step_bytes, free_bytes, from_caller=True
        )

    def reserve(self, asking: Reservation, size: int) -> bool:
        """Return whether ``asking`` has got ``size`` more bytes.

        Messages of more weight than ``asking`` are given up for it.
        """
        self._reservations.add(asking)
        if not self._fits(asking, size):
            self._make_room(asking, size)
            if not self._fits(asking, size):
                self._report_cut(asking)
                return False
        self._reserved_bytes += size
        if asking.from_caller:
            self._callers_bytes += size
        return True

    def give_back(self, reservation: Reservation, size: int) -> None:
        """Take back ``size`` bytes of a reservation."""
        self._reserved_bytes -= size
        if reservation.from_caller:
            self._callers_bytes -= size

    def forget(self, reservation: Reservation) -> None:
        """Remove a reservation that holds nothing."""
        self._reservations.discard(reservation)

    def _fits(self, asking: Reservation, size: int) -> bool:
        if asking.from_caller and (
            self._callers_bytes + size > self._callers_limit_bytes
        ):
            return False
        return self.held_bytes + size <= self._limit_bytes

    def _make_room(self, asking: Reservation, size: int) -> None:
        now = self.now
        candidates = [
            item
            for item in self._reservations
            if item.can_be_cut and (item.from_caller or not asking.from_caller)
        ]
        candidates.sort(
            key=lambda item: (item.from_caller, item.weight(now)),
            reverse=True,
        )
        for item in candidates:
            if item is asking or self._fits(asking, size + self._spare_bytes):
                return
            self._report_cut(item)
            item.cut()

    def _report_cut(self, reservation: Reservation) -> None:
        self._metrics.count("bodies_cut_total")
        logging.log_every_n_seconds(
            logging.WARNING,
            "gave up a message of over %d bytes: all messages may have %d",
            CUT_LOG_SECONDS,
            reservation.reserved_bytes,
            self._limit_bytes,
        )
