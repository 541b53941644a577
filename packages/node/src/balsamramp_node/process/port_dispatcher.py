"""Port switch: an ASGI application for each of several ports."""

from collections import abc
import typing

__all__ = ["PortDispatcher"]

Application = abc.Callable[..., abc.Awaitable[None]]


class PortDispatcher:
    """Hands a request to the application of the port it came to.

    One server with several ports costs less than several servers.
    """

    def __init__(self, applications: abc.Mapping[int, Application]) -> None:
        self._applications = applications

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        port = scope["server"][1]
        await self._applications[port](scope, receive, send)
