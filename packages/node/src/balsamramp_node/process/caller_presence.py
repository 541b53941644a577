"""Tells whether the caller of a request still waits for its response.

Each request runs in a task whose context holds the presence of its caller.
Whoever sends it on asks there last, after everything that was awaited.
"""

import abc
import asyncio
import contextvars

__all__ = [
    "CallerPresence",
    "confirm",
    "current",
    "read_sockets",
    "set_current",
]

# The event loop reads a socket in one turn, and the task that awaits the data
# runs in the next.
READ_TURNS = 2


class CallerPresence(abc.ABC):
    """The connection over which the caller of a request is reached."""

    @abc.abstractmethod
    def may_have_left(self) -> bool:
        """Return whether something tells, or may tell, that it has left."""

    @abc.abstractmethod
    async def has_left(self) -> bool:
        """Return whether the caller left, by all that has arrived from it.

        What is not read yet is read before.
        """


_current: contextvars.ContextVar[CallerPresence | None] = (
    contextvars.ContextVar("caller_presence", default=None)
)


def set_current(presence: CallerPresence) -> None:
    """Set the presence for the current task and those that it creates."""
    _current.set(presence)


def current() -> CallerPresence | None:
    """Return the presence of the current request, None if there is none."""
    return _current.get()


async def confirm() -> None:
    """Raise CancelledError if the caller of the current request has left."""
    presence = _current.get()
    if presence is None or not presence.may_have_left():
        return
    if await presence.has_left():
        raise asyncio.CancelledError("the caller has left")


async def read_sockets() -> None:
    """Let the event loop read its sockets, and the tasks handle the data."""
    for _ in range(READ_TURNS):
        await asyncio.sleep(0)
