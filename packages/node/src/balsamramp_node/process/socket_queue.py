"""Asks the kernel what the peer of a connection has not received yet."""

import array
import asyncio
import fcntl
import termios

from absl import logging

__all__ = ["unacknowledged_bytes"]


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how much written data the peer has not acknowledged.

    That is the queue of the socket (SIOCOUTQ, tcp(7)), without what the
    transport itself still holds; 0 for a closed transport, and where the
    system does not tell.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return 0
    size = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, size)
    except (OSError, ValueError) as error:
        logging.log_first_n(
            logging.WARNING,
            "the system does not tell what is unsent in a socket (%r);"
            " connections close a fixed time after their last response",
            1,
            error,
        )
        return 0
    return size[0]
