"""Takes the ports of a node before its other services act."""

import asyncio
from collections import abc
import contextlib
import datetime
import errno
import socket
import typing

from absl import logging
import attrs

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_node.process import decision_log

__all__ = ["BackgroundServer", "ListeningPorts", "RetryIntervals"]

# A predecessor releases the port, or the address is assigned to the VM.
TEMPORARY_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
# Connections that may wait until the server of a port has started, which then
# sets its own limit.
BACKLOG_CONNECTIONS = 64


@attrs.frozen
class RetryIntervals:
    """Time between attempts to take a port, and between log lines."""

    attempt: datetime.timedelta = datetime.timedelta(milliseconds=100)
    log: datetime.timedelta = datetime.timedelta(seconds=10)


@attrs.frozen
class _Missing:
    """A port that cannot be taken now."""

    port: str
    address: settings.Address
    cause: str


@attrs.define
class _Wait:
    """Time since when a port is missing, and of the last log line."""

    missing: _Missing
    began_at: datetime.timedelta
    logged_at: datetime.timedelta


class ListeningPorts(service_manager.Service):
    """Listens on all ports at once, as soon as each of them is free.

    While one is in use or its address does not exist, none is held: other
    programs are not kept from them, and connections are refused instead of
    waiting for a node that does not serve. Other errors end the start.

    Example::

        ports = ListeningPorts("ports", {"callers": address}, ...)
        await ports.start()
        server = await loop.create_server(factory, sock=ports.take("callers"))
    """

    def __init__(
        self,
        name: str,
        addresses: abc.Mapping[str, settings.Address],
        time: clock.Clock,
        counters: metrics.Metrics,
        decisions: decision_log.DecisionLog,
        requires: tuple[str, ...] = (),
        intervals: RetryIntervals | None = None,
    ) -> None:
        self.name = name  # type: ignore[misc]
        self.requires = requires  # type: ignore[misc]
        self._addresses = addresses
        self._clock = time
        self._metrics = counters
        self._decisions = decisions
        self._intervals = intervals or RetryIntervals()
        self._listeners: dict[str, socket.socket] = {}
        self._wait: _Wait | None = None

    @property
    def addresses(self) -> abc.Mapping[str, settings.Address]:
        """Return the addresses by the names of their ports."""
        return self._addresses

    @property
    def obstacle(self) -> str:
        """Return which port is awaited, or an empty string."""
        if self._wait is None:
            return ""
        missing = self._wait.missing
        return (
            f"waiting for {missing.port} at {missing.address}: {missing.cause}"
        )

    async def start(self) -> None:
        """Wait until all ports are taken.

        Raises OSError for an error that does not pass by waiting.
        """
        while True:
            missing = self._listen()
            self._record(missing)
            if missing is None:
                return
            await self._clock.sleep(self._intervals.attempt)

    async def stop(self) -> None:
        """Release the ports that no server has taken over."""
        for listener in self._listeners.values():
            listener.close()
        self._listeners.clear()

    def take(self, port: str) -> socket.socket:
        """Return the listening socket of a port; the caller closes it."""
        return self._listeners.pop(port)

    def release(self, port: str) -> None:
        """Close the socket of a port, for a server that binds it itself."""
        self._listeners.pop(port).close()

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {"obstacle": self.obstacle}

    def _listen(self) -> _Missing | None:
        """Listen on all ports, or on none; return one that is missing."""
        with contextlib.ExitStack() as stack:
            listeners: dict[str, socket.socket] = {}
            for port, address in self._addresses.items():
                try:
                    listeners[port] = stack.enter_context(_bind(address))
                except OSError as error:
                    return _check_temporary(port, address, error)
            for port, listener in listeners.items():
                # Two sockets may be bound to a port while neither listens.
                try:
                    listener.listen(BACKLOG_CONNECTIONS)
                except OSError as error:
                    return _check_temporary(port, self._addresses[port], error)
            stack.pop_all()
        self._listeners = listeners
        return None

    def _record(self, missing: _Missing | None) -> None:
        now = self._clock.monotonic()
        wait = self._wait
        if wait is not None and wait.missing != missing:
            self._log("port_wait_over", wait, now)
            self._wait = wait = None
        if missing is None:
            return
        if wait is None:
            wait = self._wait = _Wait(missing, now, now)
            self._metrics.count("port_waits_total", port=missing.port)
            self._log("port_wait", wait, now)
            return
        if now - wait.logged_at >= self._intervals.log:
            wait.logged_at = now
            self._log("port_wait", wait, now)

    def _log(self, event: str, wait: _Wait, now: datetime.timedelta) -> None:
        self._decisions.write(
            event,
            port=wait.missing.port,
            address=str(wait.missing.address),
            cause=wait.missing.cause,
            seconds=round((now - wait.began_at).total_seconds(), 3),
        )


class BackgroundServer(service_manager.Service):
    """Starts a server once its port is free; the node does not wait for it."""

    def __init__(
        self, ports: ListeningPorts, server: service_manager.Service
    ) -> None:
        self.name = server.name  # type: ignore[misc]
        self.requires = server.requires  # type: ignore[misc]
        self._ports = ports
        self._server = server
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._server.stop()
        await self._ports.stop()

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return self._ports.dump()

    async def _run(self) -> None:
        try:
            await self._ports.start()
            await self._server.start()
        except Exception:
            logging.exception(
                "server %s cannot start; the node goes on without it",
                self.name,
            )


def _bind(address: settings.Address) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # Connections of a predecessor that has ended may linger.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address.host, address.port))
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


def _check_temporary(
    port: str, address: settings.Address, error: OSError
) -> _Missing:
    """Return what is missing, or raise OSError if waiting does not help."""
    cause = error.strerror or str(error)
    if error.errno in TEMPORARY_ERRORS:
        return _Missing(port, address, cause)
    raise OSError(f"cannot listen for {port} at {address}: {cause}") from error
