"""Hears the signals that ask a process to stop, from start to end."""

from collections import abc
import os
import signal
import typing

__all__ = ["StopSignals", "exit_on_stop_signal", "unblock_signals"]

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)
STDERR_DESCRIPTOR = 2
EXIT_OK = 0


def unblock_signals() -> None:
    """Unblock the signals that a supervisor may have blocked.

    A process inherits the mask of the one that starts it.
    """
    signal.pthread_sigmask(
        signal.SIG_UNBLOCK, (*STOP_SIGNALS, signal.SIGHUP, signal.SIGALRM)
    )


def exit_on_stop_signal(program: str) -> None:
    """End the process at a stop signal, as long as it has started nothing."""

    def end(number: int, frame: typing.Any) -> typing.NoReturn:
        text = f"{program}: stop signal before the start; exiting\n"
        try:
            os.write(STDERR_DESCRIPTOR, text.encode())
        finally:
            os._exit(EXIT_OK)

    for number in STOP_SIGNALS:
        signal.signal(number, end)


class StopSignals:
    """Remembers a stop signal until there is someone to tell.

    These are not handlers of the event loop: closing the loop would restore
    the default action, and a repeated signal would end the process before
    its last log line.

    Example::

        signals = StopSignals()
        signals.listen()
        ...
        signals.tell(lambda: loop.call_soon_threadsafe(stop))
        ...
        signals.ignore()
    """

    def __init__(self) -> None:
        self._received = False
        self._on_signal: abc.Callable[[], object] | None = None

    def listen(self) -> None:
        """Take the signals from now on."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._handle)

    def tell(self, on_signal: abc.Callable[[], object]) -> None:
        """Call ``on_signal`` at each signal, and now if one has come."""
        self._on_signal = on_signal
        if self._received:
            on_signal()

    def ignore(self) -> None:
        """Ignore the signals, as the process ends."""
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _handle(self, number: int, frame: typing.Any) -> None:
        self._received = True
        if self._on_signal is not None:
            self._on_signal()
