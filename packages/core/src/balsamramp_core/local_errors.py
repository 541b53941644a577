"""Tells errors of this process from those of the other side."""

import errno

__all__ = ["is_local"]

# No descriptor, memory, buffer or port is left here.
LOCAL_ERRNOS = frozenset(
    [
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
    ]
)


def is_local(error: BaseException) -> bool:
    """Return whether a connect failed for lack of resources here.

    It tells nothing about the peer then.
    """
    if isinstance(error, MemoryError):
        return True
    return isinstance(error, OSError) and error.errno in LOCAL_ERRNOS
