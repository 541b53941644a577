"""Cancellation: ends the work for a caller that has gone away."""

import asyncio
from collections import abc
import typing

__all__ = ["CancelOnDisconnect"]

Event = abc.MutableMapping[str, typing.Any]
Receive = abc.Callable[[], abc.Awaitable[Event]]
Send = abc.Callable[[Event], abc.Awaitable[None]]
Application = abc.Callable[[typing.Any, Receive, Send], abc.Awaitable[None]]


class CancelOnDisconnect:
    """Cancels an ASGI application's task when the caller disconnects.

    The connection is watched once the application has read the whole
    body of the request.
    """

    def __init__(self, application: Application) -> None:
        self._application = application

    async def __call__(
        self, scope: typing.Any, receive: Receive, send: Send
    ) -> None:
        watch = _Watch(receive, send)
        try:
            await self._application(scope, watch.receive, watch.send)
        except asyncio.CancelledError:
            if not watch.disconnected:
                raise
        finally:
            watch.end()


class _Watch:
    """Watches the connection of one request."""

    def __init__(self, receive: Receive, send: Send) -> None:
        self._receive = receive
        self._send = send
        self._answered = False
        self._task: asyncio.Task[None] | None = None
        self.disconnected = False

    async def receive(self) -> Event:
        """Return the next event for the application."""
        event = await self._receive()
        if event["type"] == "http.request" and not event.get("more_body"):
            current = asyncio.current_task()
            assert current is not None
            self._task = asyncio.create_task(self._wait(current))
        return event

    async def send(self, event: Event) -> None:
        """Pass on an event of the application."""
        self._answered = True
        await self._send(event)

    def end(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()

    async def _wait(self, watched: asyncio.Task[typing.Any]) -> None:
        event = await self._receive()
        if event["type"] == "http.disconnect" and not self._answered:
            self.disconnected = True
            watched.cancel()
