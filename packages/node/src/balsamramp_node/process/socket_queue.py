"""Asks the kernel what waits in the queues of a socket."""

import array
import asyncio
import fcntl
import select
import termios

from absl import logging

__all__ = ["SocketProbe", "has_unread_data", "unacknowledged_bytes"]

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


class SocketProbe:
    """Asks for the state of one socket again and again.

    A transport without a socket has no data and no close.
    """

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._poll = select.poll()
        sock = transport.get_extra_info("socket")
        if sock is not None and not transport.is_closing():
            self._poll.register(sock, select.POLLIN | select.POLLRDHUP)

    def has_peer_closed(self) -> bool:
        """Return whether the peer has closed its side, or reset it.

        The close may lie behind data that is not read yet, and is seen also
        while reading is paused.
        """
        return bool(self._events() & PEER_CLOSED)

    def has_unread_data(self) -> bool:
        """Return whether data, or the peer's close, waits in the socket.

        The event loop may not have read it yet when it runs late.
        """
        return self._events() != 0

    def _events(self) -> int:
        # The number of a closed socket may be another one's by now.
        if self._transport.is_closing():
            return 0
        for _, events in self._poll.poll(0):
            return events
        return 0


def has_unread_data(transport: asyncio.BaseTransport) -> bool:
    """Return whether data, or the peer's close, waits in the socket."""
    return SocketProbe(transport).has_unread_data()
