"""HTTP server: a falcon application on uvicorn, as a kernel service."""

import asyncio
from collections import abc
import contextlib
import datetime
import math
import socket
import typing

import uvicorn
from uvicorn.protocols.http import httptools_impl

from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_node.process import certificate_files

__all__ = ["BoundedProtocol", "HttpServer"]

BACKLOG_CONNECTIONS = 1024
HEAD_MAX_BYTES = 64 * 1024
START_CHECK_INTERVAL = datetime.timedelta(milliseconds=5)
SHUTDOWN_TIMEOUT = datetime.timedelta(seconds=10)

AsgiApplication = abc.Callable[..., typing.Any]
ProtocolFactory = abc.Callable[..., asyncio.Protocol]


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """Refuses a request whose line and headers do not end in time."""

    _head_bytes = 0
    _in_head = True

    def data_received(self, data: bytes) -> None:
        if self._in_head and self._head_bytes > HEAD_MAX_BYTES:
            self.send_400_response(f"headers are over {HEAD_MAX_BYTES} bytes")
            return
        super().data_received(data)
        if self._in_head:
            self._head_bytes += len(data)

    def on_message_begin(self) -> None:
        self._head_bytes = 0
        self._in_head = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        self._in_head = False
        super().on_headers_complete()


class _Server(uvicorn.Server):
    """Uvicorn without its signal handlers: the node has its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Iterator[None]:
        yield


class HttpServer(service_manager.Service):
    """Serves one ASGI application on one port.

    Instances differ in ``name``, which is given when they are made, and
    talk TLS when they have the files for it.
    """

    def __init__(
        self,
        name: str,
        application: AsgiApplication,
        listen: settings.Address,
        requires: tuple[str, ...] = (),
        security: certificate_files.CertificateFiles | None = None,
        protocol: ProtocolFactory | None = None,
        shutdown: datetime.timedelta = SHUTDOWN_TIMEOUT,
        also_listen: tuple[settings.Address, ...] = (),
    ) -> None:
        self._also_listen = also_listen
        self._protocol = protocol or BoundedProtocol
        self._shutdown = shutdown
        self.name = name  # type: ignore[misc]
        self.requires = requires  # type: ignore[misc]
        self._application = application
        self._listen = listen
        self._security = security
        self._address = listen
        self._server: _Server | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> settings.Address:
        """Return the address in use, with the port that was bound."""
        return self._address

    async def start(self) -> None:
        bound = [_bind(self._listen)]
        for further in self._also_listen:
            bound.append(_bind(further))
        port = bound[0].getsockname()[1]
        self._address = settings.Address(self._listen.host, port)
        config = uvicorn.Config(
            self._application,
            log_config=None,
            access_log=False,
            lifespan="off",
            http=typing.cast(typing.Any, self._protocol),
            ws="none",
            server_header=False,
            date_header=False,
            ssl_keyfile=self._security.key if self._security else None,
            ssl_certfile=(
                self._security.certificate if self._security else None
            ),
            timeout_graceful_shutdown=math.ceil(
                self._shutdown.total_seconds()
            ),
        )
        self._server = _Server(config)
        self._task = asyncio.create_task(self._server.serve(bound))
        while not self._server.started:
            if self._task.done():
                await self._task
            await asyncio.sleep(START_CHECK_INTERVAL.total_seconds())

    async def stop(self) -> None:
        if self._server is None or self._task is None:
            return
        self._server.should_exit = True
        await self._task


def _bind(address: settings.Address) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((address.host, address.port))
    except OSError as error:
        bound.close()
        text = f"cannot listen on {address}: {error.strerror}"
        raise OSError(text) from error
    bound.listen(BACKLOG_CONNECTIONS)
    return bound
