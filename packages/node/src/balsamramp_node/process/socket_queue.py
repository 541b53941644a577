"""Asks the kernel what waits in the queues of a socket."""

import array
import asyncio
import fcntl
import select
import termios

from absl import logging

__all__ = ["has_peer_closed", "has_unread_data", "unacknowledged_bytes"]

# POLLHUP and POLLERR are reported in any case.
PEER_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


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


def has_peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed its side or reset the connection.

    The close may lie behind data that is not read yet, and is seen also
    while reading is paused.
    """
    return bool(_poll(transport, select.POLLRDHUP) & PEER_CLOSED)


def has_unread_data(transport: asyncio.BaseTransport) -> bool:
    """Return whether data, or the peer's close, waits in the socket.

    The event loop may not have read it yet when it runs late.
    """
    return bool(_poll(transport, select.POLLIN))


def _poll(transport: asyncio.BaseTransport, events: int) -> int:
    """Return which of ``events`` have occurred; none without a socket."""
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return 0
    poll = select.poll()
    poll.register(sock, events)
    for _, occurred in poll.poll(0):
        return occurred
    return 0
