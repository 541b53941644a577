"""ASGI application that dispatches requests by their port."""

from collections import abc
import typing

__all__ = ["PortDispatcher"]

Application = abc.Callable[..., abc.Awaitable[None]]


class PortDispatcher:
    """Forwards a request to the application of its server port.

    One server with several ports is cheaper than several servers.
    """

    def __init__(self, applications: abc.Mapping[int, Application]) -> None:
        self._applications = applications

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        port = scope["server"][1]
        await self._applications[port](scope, receive, send)
