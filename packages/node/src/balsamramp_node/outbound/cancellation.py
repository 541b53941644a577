"""Cancels the work for a caller that has disconnected."""

import asyncio
from collections import abc
import typing

from balsamramp_node.process import caller_presence

__all__ = ["CancelOnDisconnect"]

# Turns of the event loop from data in the socket to the event for the
# application: it reads the close, and three callbacks pass it on.
DISCONNECT_TURNS = 6

Event = abc.MutableMapping[str, typing.Any]
Receive = abc.Callable[[], abc.Awaitable[Event]]
Send = abc.Callable[[Event], abc.Awaitable[None]]
Application = abc.Callable[[typing.Any, Receive, Send], abc.Awaitable[None]]


class CancelOnDisconnect:
    """Cancels an ASGI application's task when the caller disconnects.

    Monitoring starts once the application has read the whole body of the
    request.
    """

    def __init__(self, application: Application) -> None:
        self._application = application

    async def __call__(
        self, scope: typing.Any, receive: Receive, send: Send
    ) -> None:
        monitor = _DisconnectMonitor(receive, send)
        caller_presence.set_current(monitor)
        try:
            await self._application(scope, monitor.receive, monitor.send)
        except asyncio.CancelledError:
            if not monitor.disconnected:
                raise
        finally:
            monitor.stop()


class _DisconnectMonitor(caller_presence.CallerPresence):
    """Monitors the connection of one request."""

    def __init__(self, receive: Receive, send: Send) -> None:
        self._receive = receive
        self._send = send
        self._response_started = False
        self._task: asyncio.Task[None] | None = None
        self.disconnected = False

    async def receive(self) -> Event:
        """Return the next event for the application."""
        event = await self._receive()
        if event["type"] == "http.request" and not event.get("more_body"):
            current = asyncio.current_task()
            assert current is not None
            self._task = asyncio.create_task(
                self._cancel_on_disconnect(current)
            )
        return event

    async def send(self, event: Event) -> None:
        """Forward an event of the application."""
        self._response_started = True
        await self._send(event)

    def may_have_left(self) -> bool:
        return True

    async def has_left(self) -> bool:
        for _ in range(DISCONNECT_TURNS):
            if self.disconnected:
                break
            await asyncio.sleep(0)
        return self.disconnected

    def stop(self) -> None:
        """Stop monitoring the connection."""
        if self._task is not None:
            self._task.cancel()

    async def _cancel_on_disconnect(
        self, request_task: asyncio.Task[typing.Any]
    ) -> None:
        event = await self._receive()
        if event["type"] == "http.disconnect" and not self._response_started:
            self.disconnected = True
            request_task.cancel()
