"""Runs the ASGI application of a fake server as a process."""

import argparse
import asyncio
from collections import abc
import datetime
import pathlib
import signal
import typing

import msgspec
import uvloop

from balsamramp_core import settings
from balsamramp_node.process import http_server

__all__ = ["DroppedResponseError", "parser", "run"]

DROPPED_RESPONSE_WAIT = datetime.timedelta(seconds=30)

Background = abc.Callable[
    [settings.Address], abc.Coroutine[typing.Any, typing.Any, None]
]


class DroppedResponseError(Exception):
    """Raised by a resource to withhold its response."""


class _DroppedResponseMiddleware:
    """Forwards requests and sends no response to the dropped ones.

    Waits before it returns, so that the client runs into its timeout.
    """

    def __init__(self, application: typing.Any) -> None:
        self._application = application
        application.add_error_handler(DroppedResponseError, self._reraise)

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        try:
            await self._application(scope, receive, send)
        except DroppedResponseError:
            await asyncio.sleep(DROPPED_RESPONSE_WAIT.total_seconds())

    async def _reraise(
        self,
        req: typing.Any,
        resp: typing.Any,
        error: Exception,
        params: typing.Any,
    ) -> None:
        raise error


def parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the arguments that all fake servers share."""
    argument_parser = argparse.ArgumentParser(description=description)
    argument_parser.add_argument("--port", type=int, default=0)
    argument_parser.add_argument("--addresses", type=pathlib.Path)
    return argument_parser


def run(
    application: typing.Any,
    port: int,
    addresses: pathlib.Path | None,
    background: Background | None = None,
) -> None:
    """Serve ``application`` on loopback until SIGINT or SIGTERM."""
    uvloop.run(_serve(application, port, addresses, background))


async def _serve(
    application: typing.Any,
    port: int,
    addresses: pathlib.Path | None,
    background: Background | None,
) -> None:
    server = http_server.HttpServer(
        "stand-in",
        _DroppedResponseMiddleware(application),
        settings.Address("127.0.0.1", port),
    )
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopping.set)
    await server.start()
    if addresses is not None:
        partial = addresses.with_suffix(".partial")
        partial.write_bytes(msgspec.json.encode({"http": server.address}))
        partial.replace(addresses)
    task = None
    if background is not None:
        task = asyncio.create_task(background(server.address))
    await stopping.wait()
    if task is not None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    await server.stop()
