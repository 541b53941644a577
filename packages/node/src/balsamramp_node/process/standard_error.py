"""Messages for operators on standard error."""

import contextlib
import os

__all__ = ["write_line"]

DESCRIPTOR = 2


def write_line(text: str) -> None:
    """Write ``text`` if standard error takes it, and never wait for that.

    A process must end also when nobody reads its standard error any more.
    """
    data = f"{text}\n".encode(errors="backslashreplace")
    with contextlib.suppress(OSError):
        os.set_blocking(DESCRIPTOR, False)
        os.write(DESCRIPTOR, data)
