"""HTTP/1.1 client connection with one request at a time."""

import asyncio
from collections import abc
import datetime
import enum
import re
import typing

import attrs
import httptools

from balsamramp_core import http_status
from balsamramp_core import settings
from balsamramp_node.process import body_budget
from balsamramp_node.process import body_parts
from balsamramp_node.process import socket_queue

__all__ = [
    "ExchangeProgress",
    "ResponseError",
    "ResponseFailure",
    "HttpResponse",
    "HttpConnection",
]

KEEP_ALIVE_PATTERN = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)
BODILESS_STATUSES = frozenset([204, 304])
# Bytes received for one request that are not body: status lines, headers,
# trailers and chunk extensions, also of informational and skipped responses.
RESPONSE_HEAD_MAX_BYTES = 64 * 1024
# Bodies received for one request: its own and that of a skipped response.
RESPONSE_BODIES_MAX = 2
# The limits are checked each time that so much has been parsed.
PARSED_AT_ONCE_MAX_BYTES = 16 * 1024


class ResponseFailure(enum.Enum):
    """Why no complete response was received."""

    LOST = "connection lost"
    MALFORMED = "bytes that are no answer"
    TOO_LARGE = "answer over the limit"
    NO_ROOM = "no memory for the answer"
    INVALID_STATUS = "status that is not HTTP"


class ResponseError(Exception):
    """A request was sent, but no complete response was received."""

    def __init__(self, ending: ResponseFailure, detail: str = "") -> None:
        super().__init__(
            f"{ending.value}: {detail}" if detail else ending.value
        )
        self.failure = ending


@attrs.frozen(kw_only=True)
class HttpResponse:
    """One complete response; header names are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None


@attrs.frozen(kw_only=True)
class ExchangeProgress:
    """How much of the last response was received, and when it began.

    ``first_byte_after`` is counted from the sending of the request.
    """

    received_bytes: int
    first_byte_after: datetime.timedelta | None


@attrs.define
class _PartialResponse:
    """The response that is being parsed."""

    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    body: body_parts.BodyParts = attrs.field(factory=body_parts.BodyParts)
    headers_complete: bool = False


class HttpConnection(asyncio.Protocol):
    """Sends requests one at a time and parses their responses.

    Bytes received while no request is pending abort the connection, and so
    does a response that is larger than the limits allow, or than the room
    that is left in ``budget``.
    """

    def __init__(
        self,
        body_max_bytes: int,
        budget: body_budget.BodyBudget | None = None,
    ) -> None:
        self._body_max_bytes = body_max_bytes
        self._reservation = None if budget is None else budget.open(self._cut)
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._partial = _PartialResponse()
        self._pending: asyncio.Future[HttpResponse] | None = None
        self._accepts: abc.Callable[[HttpResponse], bool] = lambda response: (
            True
        )
        self._bodiless = False
        self._reusable = True
        self._closed = False
        self._keep_alive_seconds: int | None = None
        self._received_bytes = 0
        self._body_bytes = 0
        self._sent_at: float | None = None
        self._first_byte_at: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._pause_max = 0.0
        self._ends_at = 0.0

    @property
    def progress(self) -> ExchangeProgress:
        """Return the progress of the last response, complete or not."""
        first_byte_after = None
        if self._first_byte_at is not None and self._sent_at is not None:
            first_byte_after = datetime.timedelta(
                seconds=self._first_byte_at - self._sent_at
            )
        return ExchangeProgress(
            received_bytes=self._received_bytes,
            first_byte_after=first_byte_after,
        )

    @property
    def reusable(self) -> bool:
        """Return whether another request may be sent."""
        if not self._reusable or self._closed or self._transport is None:
            return False
        if self._transport.is_closing():
            return False
        return not socket_queue.has_unread_data(self._transport)

    @property
    def is_new(self) -> bool:
        """Return whether no request was sent yet."""
        return self._sent_at is None

    @property
    def keep_alive_seconds(self) -> int | None:
        """Return the timeout of the last Keep-Alive header, if any."""
        return self._keep_alive_seconds

    @classmethod
    async def open(
        cls,
        address: settings.Address,
        body_max_bytes: int,
        budget: body_budget.BodyBudget | None = None,
    ) -> "HttpConnection":
        """Connect to ``address``; raises OSError."""
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: cls(body_max_bytes, budget), address.host, address.port
        )
        return connection

    async def send_request(
        self,
        data: bytes,
        bodiless: bool,
        accepts: abc.Callable[[HttpResponse], bool],
        timeout: datetime.timedelta,
        body_timeout: datetime.timedelta | None = None,
    ) -> HttpResponse:
        """Send a complete request and return the complete response.

        With ``body_timeout``, a response may take that long, as long as no
        part of its body takes longer than ``timeout``.

        ``bodiless`` states that the response has no body, as for HEAD.
        A response for which ``accepts`` returns False does not belong to
        the request: it is skipped, and the connection is not reused.

        Raises ResponseError, and TimeoutError after ``timeout``. After a
        timeout or a cancellation the connection is aborted, so that the
        server drops the request.
        """
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        self._pending = loop.create_future()
        self._pause_max = timeout.total_seconds()
        self._timer = loop.call_later(self._pause_max, self._on_timeout)
        self._ends_at = loop.time() + (body_timeout or timeout).total_seconds()
        self._accepts = accepts
        self._bodiless = bodiless
        self._received_bytes = 0
        self._body_bytes = 0
        self._sent_at = loop.time()
        self._first_byte_at = None
        self._transport.write(data)
        try:
            return await self._pending
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._timer.cancel()
            self._pending = None

    def set_options(
        self, options: abc.Iterable[tuple[int, int, int | bytes]]
    ) -> None:
        """Set socket options, each a tuple of level, name and value."""
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        for option in options:
            sock.setsockopt(*option)

    def abort(self) -> None:
        """Close the connection immediately and drop buffered output."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close a connection without a pending request."""
        self._reusable = False
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Transports of other event loops don't derive from asyncio.Transport.
        self._transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        view = memoryview(data)
        for start in range(0, len(data), PARSED_AT_ONCE_MAX_BYTES):
            if self._pending is None or self._pending.done():
                self.abort()
                return
            self._parse(view[start : start + PARSED_AT_ONCE_MAX_BYTES])

    def _parse(self, data: memoryview) -> None:
        self._received_bytes += len(data)
        if self._first_byte_at is None:
            self._first_byte_at = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(ResponseFailure.MALFORMED)
        except httptools.HttpParserError:
            self._reusable = False
            self._fail(ResponseFailure.MALFORMED)
        if self._pending is None or self._pending.done():
            self._close_unless_reusable()
        elif self._exceeds_limits():
            self._fail(ResponseFailure.TOO_LARGE)

    def _exceeds_limits(self) -> bool:
        head_bytes = self._received_bytes - self._body_bytes
        framing_max_bytes = (
            self._body_bytes * body_parts.CHUNK_FRAMING_RATIO_MAX
        )
        if head_bytes > RESPONSE_HEAD_MAX_BYTES + framing_max_bytes:
            return True
        return self._body_bytes > self._body_max_bytes * RESPONSE_BODIES_MAX

    def eof_received(self) -> bool:
        self._reusable = False
        if self._body_ends_at_eof():
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._closed = True
        self._fail(ResponseFailure.LOST)
        # The parser refers to the connection and keeps it until a garbage
        # collection.
        self._start_response()

    def on_message_begin(self) -> None:
        """Start a new response (parser callback)."""
        if self._pending is None or self._pending.done():
            self._reusable = False
        self._start_response()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header (parser callback)."""
        self._partial.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Complete a response without a body (parser callback)."""
        status = self._parser.get_status_code()
        if not (
            http_status.is_interim(status) or http_status.is_final(status)
        ):
            self._fail(ResponseFailure.INVALID_STATUS, f"{status:03}")
            return
        self._partial.headers_complete = True
        if self._bodiless and not self._is_informational():
            self._reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (parser callback)."""
        self._partial.body.append(body)
        self._body_bytes += len(body)
        self._extend_timeout()
        if self._partial.body.size > self._body_max_bytes:
            self._fail(ResponseFailure.TOO_LARGE)
        elif self._reservation is not None and not self._reservation.grow(
            len(body)
        ):
            self._fail(ResponseFailure.NO_ROOM)

    def on_message_complete(self) -> None:
        """Complete the response (parser callback)."""
        if self._is_informational() or self._bodiless:
            return
        if not self._parser.should_keep_alive():
            self._reusable = False
        status = self._parser.get_status_code()
        if status not in BODILESS_STATUSES and not (
            self._partial.body.has_stated_length(self._partial.headers)
        ):
            self._fail(ResponseFailure.MALFORMED)
            return
        self._complete()

    def _is_informational(self) -> bool:
        return http_status.is_interim(self._parser.get_status_code())

    def _body_ends_at_eof(self) -> bool:
        """Return whether the body ends when the peer closes (RFC 9112)."""
        if not self._partial.headers_complete or self._is_informational():
            return False
        if self._pending is None or self._pending.done():
            return False
        names = {name for name, _ in self._partial.headers}
        return not names & {b"content-length", b"transfer-encoding"}

    def _complete(self) -> None:
        if self._pending is None or self._pending.done():
            return
        partial = self._partial
        response = HttpResponse(
            status=self._parser.get_status_code(),
            headers=tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in partial.headers
            ),
            body=partial.body.join(),
        )
        self._start_response()
        if not self._accepts(response):
            self._reusable = False
            return
        for name, value in partial.headers:
            if name == b"keep-alive":
                match = KEEP_ALIVE_PATTERN.search(value)
                if match is not None:
                    self._keep_alive_seconds = int(match[1])
        self._pending.set_result(response)

    def _start_response(self) -> None:
        """Forget the parsed response, and what its body has reserved."""
        self._partial = _PartialResponse()
        if self._reservation is not None:
            self._reservation.release()

    def _cut(self) -> None:
        self._fail(ResponseFailure.NO_ROOM)
        self._partial = _PartialResponse()

    def _extend_timeout(self) -> None:
        """Allow the full pause before the next part of the body."""
        if self._timer is None:
            return
        loop = asyncio.get_running_loop()
        timeout_at = min(loop.time() + self._pause_max, self._ends_at)
        if timeout_at > self._timer.when():
            self._timer.cancel()
            self._timer = loop.call_at(timeout_at, self._on_timeout)

    def _on_timeout(self) -> None:
        if self._pending is not None and not self._pending.done():
            self._pending.set_exception(TimeoutError())
        self.abort()

    def _close_unless_reusable(self) -> None:
        """Close a connection that cannot be reused after its response."""
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size():
            self._reusable = False
        if not self._reusable:
            self._transport.close()

    def _fail(self, ending: ResponseFailure, detail: str = "") -> None:
        self._reusable = False
        if self._pending is not None and not self._pending.done():
            self._pending.set_exception(ResponseError(ending, detail))
            self.abort()
