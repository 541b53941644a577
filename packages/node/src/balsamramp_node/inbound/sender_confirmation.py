"""Asks the sender of calls that arrive late whether it waits for them.

A call may have lain unread here, or been held up by the network, for longer
than its caller waited. What takes it back then arrives behind it.
"""

import asyncio
from collections import abc
import datetime

from balsamramp_core import clock

__all__ = ["SenderConfirmation"]

# Calls that arrive within this time share a round trip.
SHARED_WINDOW = datetime.timedelta(milliseconds=100)


class SenderConfirmation:
    """Round trips to the sender on one connection.

    The reply to a ping is read after all that its sender wrote before it, so
    the calls that are not cancelled by then were wanted when it was written.
    """

    def __init__(
        self, send_ping: abc.Callable[[int], None], time: clock.Clock
    ) -> None:
        self._send_ping = send_ping
        self._clock = time
        self._number = 0
        self._pending: dict[int, asyncio.Future[bool]] = {}
        self._sent_at = datetime.timedelta()
        self._ended = False

    async def confirm(self) -> bool:
        """Return whether the sender replied before the connection ended."""
        if self._ended:
            return False
        now = self._clock.monotonic()
        future = self._pending.get(self._number)
        if future is None or now - self._sent_at > SHARED_WINDOW:
            self._number += 1
            self._sent_at = now
            future = asyncio.get_running_loop().create_future()
            self._pending[self._number] = future
            self._send_ping(self._number)
        return await asyncio.shield(future)

    def handle_pong(self, number: int) -> bool:
        """End the wait for the reply; return whether it was awaited."""
        future = self._pending.pop(number, None)
        if future is None:
            return False
        future.set_result(True)
        return True

    def end(self) -> None:
        """End all waits when the connection ends."""
        self._ended = True
        for future in self._pending.values():
            future.set_result(False)
        self._pending.clear()
