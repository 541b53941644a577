"""What a process sets up for itself before it imports anything large."""

import os
import sys
import typing

__all__ = ["open_standard_streams"]

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_standard_streams() -> None:
    """Open those of the standard streams that are closed on the null device.

    Otherwise the next file or socket gets the number of a standard stream.
    The event loop ends the process when it closes such a socket.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free number is the one that is missing.
            os.open(os.devnull, os.O_RDWR)
    # The interpreter has none for descriptors that were closed at its start.
    if sys.stdin is None:
        sys.stdin = _open_stream(0, "r")
    if sys.stdout is None:
        sys.stdout = _open_stream(1, "w")
    if sys.stderr is None:
        sys.stderr = _open_stream(2, "w")


def _open_stream(
    descriptor: int, mode: typing.Literal["r", "w"]
) -> typing.TextIO:
    return open(
        descriptor,
        mode,
        encoding="utf-8",
        errors="backslashreplace",
        closefd=False,
    )
