"""The callers that wait for the response to one call."""

import asyncio
import contextlib
import datetime

from balsamramp_node.process import caller_presence

__all__ = ["REPEAT_GRACE", "WaitingCallers"]

# How long a call goes on after its caller's connection was lost, unless it is
# repeated on another connection.
REPEAT_GRACE = datetime.timedelta(milliseconds=250)


class WaitingCallers(caller_presence.CallerPresence):
    """Those that sent the call, one for each copy of its message.

    A sender that lost its connection may repeat the call on another.
    """

    def __init__(self, sender: caller_presence.CallerPresence | None) -> None:
        self._senders = [sender]
        self._added: asyncio.Event | None = None

    def add(self, sender: caller_presence.CallerPresence | None) -> None:
        """Add a sender; None stands for one that never leaves."""
        self._senders.append(sender)
        if self._added is not None:
            self._added.set()

    def may_have_left(self) -> bool:
        """Return whether none is known to wait."""
        for sender in self._senders:
            if sender is None or not sender.may_have_left():
                return False
        return True

    async def has_left(self) -> bool:
        """Return whether all have left and the call is not repeated."""
        while True:
            self._added = asyncio.Event()
            for sender in reversed(self._senders):
                if sender is None or not await sender.has_left():
                    return False
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REPEAT_GRACE.total_seconds()):
                    await self._added.wait()
            if not self._added.is_set():
                return True
