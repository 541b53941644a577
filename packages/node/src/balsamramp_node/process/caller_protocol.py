"""Caller protocol: the limits on what a caller may send, and how slowly."""

import asyncio
from collections import abc
import typing

from balsamramp_core.resources import caller_limits
from balsamramp_node.process import http_server
from balsamramp_node.process import joined_writes

__all__ = ["CallerProtocol"]

REQUEST_TIMEOUT = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
HEADERS_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)

Limits = abc.Callable[[], caller_limits.CallerLimits]


class CallerProtocol(http_server.BoundedProtocol):
    """Ends requests whose headers are too large or take too long.

    The limits are those in force when a request begins, so that a change
    needs no new connections.
    """

    def __init__(
        self, *arguments: typing.Any, limits: Limits, **options: typing.Any
    ) -> None:
        super().__init__(*arguments, **options)
        self._limits = limits
        self._header_bytes = 0
        self._header_timer: asyncio.TimerHandle | None = None
        self._reads_header = False

    def connection_made(self, transport: typing.Any) -> None:
        joined = joined_writes.JoinedWrites(transport, self.loop)
        super().connection_made(typing.cast(asyncio.Transport, joined))
        idle = self._limits().idle_timeout.total_seconds()
        self.timeout_keep_alive_task = self.loop.call_later(
            idle, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        self._end_header()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._reads_header:
            self._header_bytes += len(data)
            if self._header_bytes > self._limits().header_max_bytes:
                self._refuse(HEADERS_TOO_LARGE)
                return
        super().data_received(data)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._reads_header = True
        self._header_bytes = 0
        wait = self._limits().header_timeout.total_seconds()
        self._header_timer = self.loop.call_later(wait, self._header_late)

    def on_headers_complete(self) -> None:
        self._end_header()
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        self.timeout_keep_alive = int(
            self._limits().idle_timeout.total_seconds() + 1
        )
        super().on_response_complete()

    def _end_header(self) -> None:
        self._reads_header = False
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _header_late(self) -> None:
        self._refuse(REQUEST_TIMEOUT)

    def _refuse(self, answer: bytes) -> None:
        self._end_header()
        if self.transport.is_closing():
            return
        if self.cycle is None or self.cycle.response_complete:
            self.transport.write(answer)
        self.transport.close()
