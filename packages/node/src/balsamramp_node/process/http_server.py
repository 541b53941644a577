"""Runs an ASGI application on uvicorn as a service of the node."""

import asyncio
from collections import abc
import contextlib
import datetime
import socket
import typing

from absl import logging
import uvicorn
from uvicorn.protocols.http import httptools_impl

from balsamramp_core import clock
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_node.process import certificate_files
from balsamramp_node.process import shutdown_schedule

__all__ = ["BoundedProtocol", "HttpServer"]

BACKLOG_CONNECTIONS = 1024
REQUEST_HEAD_MAX_BYTES = 64 * 1024
START_CHECK_INTERVAL = datetime.timedelta(milliseconds=5)
# Uvicorn waits in steps of a tenth of a second after its time-out.
STOP_MARGIN = datetime.timedelta(milliseconds=200)

AsgiApplication = abc.Callable[..., typing.Any]
ProtocolFactory = abc.Callable[..., asyncio.Protocol]


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """Rejects a request whose request line and headers are too large."""

    _received_bytes = 0
    _reading_head = True

    def data_received(self, data: bytes) -> None:
        if (
            self._reading_head
            and self._received_bytes > REQUEST_HEAD_MAX_BYTES
        ):
            self.send_400_response(
                f"headers are over {REQUEST_HEAD_MAX_BYTES} bytes"
            )
            return
        super().data_received(data)
        if self._reading_head:
            self._received_bytes += len(data)

    def on_message_begin(self) -> None:
        self._received_bytes = 0
        self._reading_head = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        self._reading_head = False
        super().on_headers_complete()


class _Server(uvicorn.Server):
    """Uvicorn without its signal handlers; the node installs its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Iterator[None]:
        yield


class HttpServer(service_manager.Service):
    """Serves one ASGI application on one or more addresses.

    ``name`` and ``requires`` are those of the service. With ``tls_files``
    the server uses TLS. Open requests get time until responses must be sent,
    and at most ``shutdown_timeout`` if that is set. The server listens on
    the socket that ``take_listener`` returns, or on a new one.
    """

    def __init__(
        self,
        name: str,
        application: AsgiApplication,
        listen_address: settings.Address,
        requires: tuple[str, ...] = (),
        tls_files: certificate_files.CertificateFiles | None = None,
        protocol: ProtocolFactory | None = None,
        shutdown_timeout: datetime.timedelta | None = None,
        extra_addresses: tuple[settings.Address, ...] = (),
        shutdown: shutdown_schedule.ShutdownSchedule | None = None,
        take_listener: abc.Callable[[], socket.socket] | None = None,
    ) -> None:
        self._take_listener = take_listener
        self._shutdown = shutdown or shutdown_schedule.ShutdownSchedule(
            clock.SystemClock()
        )
        self._extra_addresses = extra_addresses
        self._protocol = protocol or BoundedProtocol
        self._shutdown_timeout = shutdown_timeout
        self.name = name  # type: ignore[misc]
        self.requires = requires  # type: ignore[misc]
        self._application = application
        self._listen_address = listen_address
        self._tls_files = tls_files
        self._address = listen_address
        self._server: _Server | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> settings.Address:
        """Return the listen address with the port that was bound."""
        return self._address

    async def start(self) -> None:
        if self._take_listener is not None:
            sockets = [self._take_listener()]
            sockets[0].listen(BACKLOG_CONNECTIONS)
        else:
            sockets = [_bind(self._listen_address)]
        for address in self._extra_addresses:
            sockets.append(_bind(address))
        port = sockets[0].getsockname()[1]
        self._address = settings.Address(self._listen_address.host, port)
        config = uvicorn.Config(
            self._application,
            log_config=None,
            access_log=False,
            lifespan="off",
            http=typing.cast(typing.Any, self._protocol),
            ws="none",
            server_header=False,
            date_header=False,
            ssl_keyfile=self._tls_files.key if self._tls_files else None,
            ssl_certfile=(
                self._tls_files.certificate if self._tls_files else None
            ),
        )
        self._server = _Server(config)
        self._task = asyncio.create_task(self._server.serve(sockets))
        while not self._server.started:
            if self._task.done():
                await self._task
            await asyncio.sleep(START_CHECK_INTERVAL.total_seconds())

    async def stop(self) -> None:
        if self._server is None or self._task is None:
            return
        shutdown = self._shutdown
        shutdown.begin()
        timeout = shutdown.seconds_until(shutdown.answers_end)
        if self._shutdown_timeout is not None:
            timeout = min(timeout, self._shutdown_timeout.total_seconds())
        # Uvicorn passes the value to asyncio.timeout, which takes fractions.
        config: typing.Any = self._server.config
        config.timeout_graceful_shutdown = timeout
        self._server.should_exit = True
        done, _ = await asyncio.wait(
            [self._task],
            timeout=min(
                timeout + STOP_MARGIN.total_seconds(),
                shutdown.seconds_until(shutdown.close_end),
            ),
        )
        if done:
            await self._task
            return
        logging.warning(
            "server %s still has open connections; leaving them", self.name
        )
        self._task.cancel()


def _bind(address: settings.Address) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address.host, address.port))
    except OSError as error:
        listener.close()
        text = f"cannot listen on {address}: {error.strerror}"
        raise OSError(text) from error
    listener.listen(BACKLOG_CONNECTIONS)
    return listener
