"""Logs how long each phase of a shutdown takes."""

import datetime

from balsamramp_core import clock
from balsamramp_node.process import decision_log

__all__ = ["ShutdownLog"]

# A service that stops within this time is not logged.
SLOW_STOP = datetime.timedelta(milliseconds=50)
MILLISECOND = datetime.timedelta(milliseconds=1)


class ShutdownLog:
    """Writes a line for each phase and each service that is slow to stop.

    The first phase starts the time that the lines give as ``elapsed_ms``.
    """

    def __init__(
        self, time: clock.Clock, decisions: decision_log.DecisionLog
    ) -> None:
        self._clock = time
        self._decisions = decisions
        self._started_at: datetime.timedelta | None = None
        self._stopping_since: dict[str, datetime.timedelta] = {}

    def write_phase(self, phase: str) -> None:
        """Log that the shutdown has reached ``phase``."""
        self._decisions.write(
            "stop", phase=phase, elapsed_ms=self._elapsed_ms()
        )

    def on_service_stopping(self, name: str) -> None:
        """Start to measure the stop of a service."""
        self._stopping_since[name] = self._clock.monotonic()

    def on_service_stopped(self, name: str) -> None:
        """Log the stop of a service if it was slow."""
        now = self._clock.monotonic()
        took = now - self._stopping_since.pop(name, now)
        if took < SLOW_STOP:
            return
        self._decisions.write(
            "service_stopped",
            service=name,
            milliseconds=round(took / MILLISECOND, 1),
            elapsed_ms=self._elapsed_ms(),
        )

    def _elapsed_ms(self) -> float:
        now = self._clock.monotonic()
        if self._started_at is None:
            self._started_at = now
        return round((now - self._started_at) / MILLISECOND, 1)
