"""Caller server: the port on which callers send their requests."""

import asyncio
import datetime

from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_node.process import caller_connection

__all__ = ["CallerServer"]

# All callers of a VM may connect at once after a node has started.
BACKLOG_CONNECTIONS = 1024


class CallerServer(service_manager.Service):
    """Listens for callers; a stop answers what has been read.

    Connections on which requests are still answered after ``shutdown``
    are closed.
    """

    def __init__(
        self,
        name: str,
        handler: caller_connection.Handler,
        limits: caller_connection.Limits,
        listen: settings.Address,
        requires: tuple[str, ...],
        shutdown: datetime.timedelta,
    ) -> None:
        self.name = name  # type: ignore[misc]
        self.requires = requires  # type: ignore[misc]
        self._handler = handler
        self._limits = limits
        self._listen = listen
        self._shutdown = shutdown
        self._address = listen
        self._server: asyncio.Server | None = None
        self._connections: set[caller_connection.CallerConnection] = set()

    @property
    def address(self) -> settings.Address:
        """Return the address in use, with the port that was bound."""
        return self._address

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            self._listen.host,
            self._listen.port,
            backlog=BACKLOG_CONNECTIONS,
        )
        port = self._server.sockets[0].getsockname()[1]
        self._address = settings.Address(self._listen.host, port)

    async def stop(self) -> None:
        if self._server is None:
            return
        self._server.close()
        left = list(self._connections)
        for connection in left:
            connection.finish()
        try:
            async with asyncio.timeout(self._shutdown.total_seconds()):
                for connection in left:
                    await connection.closed.wait()
        except TimeoutError:
            for connection in list(self._connections):
                connection.abort()

    def _accept(self) -> caller_connection.CallerConnection:
        return caller_connection.CallerConnection(
            self._handler, self._limits, self._connections
        )
