"""HTTP server on one port, without an application framework."""

import asyncio
from collections import abc
import datetime
import socket

from absl import logging

from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_node.process import body_budget
from balsamramp_node.process import caller_connection
from balsamramp_node.process import caller_connection_log
from balsamramp_node.process import connection_limit
from balsamramp_node.process import shutdown_schedule

__all__ = ["CallerServer"]

# All callers of a VM may connect at the same time after a node has started.
BACKLOG_CONNECTIONS = 1024
# What the kernel keeps of data that is not read, before it doubles it.
RECEIVE_BUFFER_BYTES = 64 * 1024


class CallerServer(service_manager.Service):
    """Accepts connections of callers and drains them on stop.

    Connections that callers opened before the listening socket closes are
    drained too, also those that the process had not accepted yet.
    Connections with requests still in progress when the time for responses
    is over, or ``drain_timeout`` if that is set, are aborted. The server
    listens on the socket that ``take_listener`` returns, or on a new one at
    ``listen_address``.
    """

    def __init__(
        self,
        name: str,
        handler: caller_connection.Handler,
        limits: caller_connection.Limits,
        listen_address: settings.Address,
        requires: tuple[str, ...],
        shutdown: shutdown_schedule.ShutdownSchedule,
        log: caller_connection_log.CallerConnectionLog | None = None,
        drain_timeout: datetime.timedelta | None = None,
        budget: body_budget.BodyBudget | None = None,
        limit: connection_limit.ConnectionLimit | None = None,
        take_listener: abc.Callable[[], socket.socket] | None = None,
    ) -> None:
        self._take_listener = take_listener
        self._budget = budget
        self._limit = limit
        self._drain_timeout = drain_timeout
        self.name = name  # type: ignore[misc]
        self.requires = requires  # type: ignore[misc]
        self._handler = handler
        self._get_limits = limits
        self._listen_address = listen_address
        self._shutdown = shutdown
        self._log = log
        self._address = listen_address
        self._listener: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._stopping = False
        self._connections: set[caller_connection.CallerConnection] = set()

    @property
    def address(self) -> settings.Address:
        """Return the listen address with the port that was bound."""
        return self._address

    @property
    def unsent_bytes(self) -> int:
        """Return how much written data the sockets have not taken yet."""
        return sum(item.unsent_bytes for item in self._connections)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        backlog = BACKLOG_CONNECTIONS
        if self._limit is not None:
            # The event loop accepts all of them before it closes others.
            backlog = min(backlog, self._limit.backlog)
        if self._take_listener is not None:
            self._listener = self._take_listener()
        else:
            self._listener = socket.create_server(
                (self._listen_address.host, self._listen_address.port),
                backlog=backlog,
            )
        # Accepted sockets inherit it.
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._server = await loop.create_server(
            self._make_connection, sock=self._listener, backlog=backlog
        )
        port = self._listener.getsockname()[1]
        self._address = settings.Address(self._listen_address.host, port)

    async def stop(self) -> None:
        if self._server is None:
            return
        self._shutdown.begin()
        server, self._server = self._server, None
        self._stopping = True
        waiting = self._accept_waiting()
        server.close()
        busy = sum(connection.busy for connection in self._connections)
        for connection in self._connections:
            connection.finish()
        loop = asyncio.get_running_loop()
        for sock in waiting:
            await loop.connect_accepted_socket(self._make_connection, sock)
        open_count = len(self._connections)
        aborted = 0
        timeout = self._shutdown.seconds_until(self._shutdown.answers_end)
        if self._drain_timeout is not None:
            timeout = min(timeout, self._drain_timeout.total_seconds())
        try:
            async with asyncio.timeout(timeout):
                while self._connections:
                    await next(iter(self._connections)).closed.wait()
        except TimeoutError:
            for connection in list(self._connections):
                aborted += bool(
                    connection.busy or connection.undelivered_bytes
                )
                connection.abort()
        if self._log is not None:
            self._log.record_drained(open_count, busy, aborted)

    def _accept_waiting(self) -> list[socket.socket]:
        """Accept the connections that wait in the backlog.

        Closing the listening socket would reset them.
        """
        assert self._listener is not None
        accepted: list[socket.socket] = []
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                if not isinstance(error, BlockingIOError):
                    logging.warning("cannot accept a connection: %r", error)
                return accepted
            accepted.append(sock)

    def _make_connection(self) -> caller_connection.CallerConnection:
        has_room = self._limit is None or self._limit.make_room(
            self._connections
        )
        connection = caller_connection.CallerConnection(
            self._handler,
            self._get_limits,
            self._connections,
            self._log,
            self._budget,
        )
        if not has_room:
            connection.refuse()
            return connection
        self._connections.add(connection)
        if self._stopping:
            connection.finish()
        return connection
