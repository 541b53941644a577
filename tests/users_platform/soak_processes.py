"""What the soak did to a process, and whether that explains its end."""

import pathlib
import signal

import attrs

__all__ = ["ProcessHistory"]

STOP_SIGNALS = frozenset((signal.SIGINT, signal.SIGTERM))
# Until then a signal may come before the first line of the program.
INTERPRETER_START_SECONDS = 0.5
# Exit code of a process whose time to stop is over.
EXIT_FORCED = 3
# In /proc/PID/status; a blocked signal waits for its handler.
PROVIDED_FIELDS = ("SigBlk:", "SigIgn:", "SigCgt:")


@attrs.define(eq=False, kw_only=True)
class ProcessHistory:
    """Signals that the soak sent to one process, and its handlers."""

    started_at: float
    _sent: set[int] = attrs.field(factory=set, init=False)
    _provided: set[int] = attrs.field(factory=set, init=False)
    _paused_in_stop: bool = attrs.field(default=False, init=False)

    @property
    def asked(self) -> bool:
        """Whether the process was asked to end, or was killed."""
        return bool(self._sent & {*STOP_SIGNALS, signal.SIGKILL})

    def read_status(self, pid: int) -> None:
        """Note which signals the process provides for by now."""
        try:
            status = pathlib.Path(f"/proc/{pid}/status").read_text()
        except OSError:
            return
        self.note_status(status)

    def note_status(self, status: str) -> None:
        """Note the signals blocked, ignored or handled in ``status``."""
        for line in status.splitlines():
            name, _, value = line.partition("\t")
            if name not in PROVIDED_FIELDS:
                continue
            for number in (*STOP_SIGNALS, signal.SIGHUP):
                if int(value, 16) & 1 << (number - 1):
                    self._provided.add(number)

    def note_signal(self, number: int) -> None:
        """Note a signal sent while the process ran."""
        if number == signal.SIGSTOP and self._sent & STOP_SIGNALS:
            self._paused_in_stop = True
        self._sent.add(number)

    def explains(self, code: int, at: float) -> bool:
        """Tell whether the soak made the process end, at ``at``, so.

        The default action of a signal explains an end only if the process
        never provided for the signal.
        """
        if code == 0:
            return bool(self._sent & STOP_SIGNALS)
        if code == EXIT_FORCED:
            # Its time to stop goes on while it stands still.
            return self._paused_in_stop
        if code == -signal.SIGKILL:
            return signal.SIGKILL in self._sent
        if -code not in self._sent - self._provided:
            return False
        if code == -signal.SIGHUP:
            return at - self.started_at <= INTERPRETER_START_SECONDS
        return -code in STOP_SIGNALS
