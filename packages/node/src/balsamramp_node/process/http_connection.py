"""HTTP connection: one client connection, one request at a time."""

import asyncio
from collections import abc
import datetime
import enum
import re
import typing

import attrs
import httptools

from balsamramp_core import settings

__all__ = ["ResponseError", "Ending", "HttpResponse", "HttpConnection"]

KEEP_ALIVE_PATTERN = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)
BODILESS_STATUSES = frozenset([204, 304])
STATUS_INFORMATIONAL_MAX = 199


class Ending(enum.Enum):
    """How a connection failed to bring the answer."""

    LOST = "connection lost"
    MALFORMED = "bytes that are no answer"
    TOO_LARGE = "answer over the limit"


class ResponseError(Exception):
    """A request was sent and its whole answer did not come."""

    def __init__(self, ending: Ending) -> None:
        super().__init__(ending.value)
        self.ending = ending


@attrs.frozen(kw_only=True)
class HttpResponse:
    """One whole answer; header names are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the value of a header, or None."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


@attrs.define
class _Reading:
    """The answer that is being parsed."""

    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    body: list[bytes] = attrs.field(factory=list)
    size: int = 0
    head_done: bool = False


class HttpConnection(asyncio.Protocol):
    """Sends requests one after another and parses their answers.

    ``accepts`` tells whether an answer belongs to the request; one that
    does not is skipped, and the connection is not used again. Bytes that
    come while no request waits end the connection.
    """

    def __init__(self, body_max_bytes: int) -> None:
        self._body_max_bytes = body_max_bytes
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._reading = _Reading()
        self._waiting: asyncio.Future[HttpResponse] | None = None
        self._accepts: abc.Callable[[HttpResponse], bool] = lambda answer: True
        self._bodiless = False
        self._reusable = True
        self._closed = False
        self._keep_alive_seconds: int | None = None

    @property
    def reusable(self) -> bool:
        """Tell whether a further request may be sent."""
        if not self._reusable or self._closed or self._transport is None:
            return False
        return not self._transport.is_closing()

    @property
    def keep_alive_seconds(self) -> int | None:
        """Return how long the server keeps an idle connection, if told."""
        return self._keep_alive_seconds

    @classmethod
    async def open(
        cls, address: settings.Address, body_max_bytes: int
    ) -> "HttpConnection":
        """Connect; raises OSError."""
        loop = asyncio.get_running_loop()
        _, made = await loop.create_connection(
            lambda: cls(body_max_bytes), address.host, address.port
        )
        return made

    async def send_request(
        self,
        data: bytes,
        bodiless: bool,
        accepts: abc.Callable[[HttpResponse], bool],
        timeout: datetime.timedelta,
    ) -> HttpResponse:
        """Send a whole request and return its whole answer.

        Raises ResponseError, and TimeoutError after ``timeout``. Then, and
        when cancelled, the connection is closed, so that the server drops
        the request.
        """
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        self._waiting = loop.create_future()
        timer = loop.call_later(timeout.total_seconds(), self._expire)
        self._accepts = accepts
        self._bodiless = bodiless
        self._transport.write(data)
        try:
            return await self._waiting
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            timer.cancel()
            self._waiting = None

    def set_options(self, options: abc.Iterable[tuple[int, int, int]]) -> None:
        """Set socket options, each given as level, name and value."""
        assert self._transport is not None
        found = self._transport.get_extra_info("socket")
        for option in options:
            found.setsockopt(*option)

    def abort(self) -> None:
        """Close the connection at once."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close a connection on which nothing waits."""
        self._reusable = False
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Transports of other event loops don't derive from asyncio's.
        self._transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self._waiting is None or self._waiting.done():
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(Ending.MALFORMED)
        except httptools.HttpParserError:
            self._reusable = False
            self._fail(Ending.MALFORMED)
        if self._waiting is None or self._waiting.done():
            self._settle()

    def eof_received(self) -> bool:
        self._reusable = False
        if self._ends_with_connection():
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._closed = True
        self._fail(Ending.LOST)

    def on_message_begin(self) -> None:
        """Start the next answer; called by the parser."""
        if self._waiting is None or self._waiting.done():
            self._reusable = False
        self._reading = _Reading()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; called by the parser."""
        self._reading.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Note the end of the headers; called by the parser."""
        self._reading.head_done = True
        if self._bodiless and not self._is_informational():
            self._reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body; called by the parser."""
        self._reading.body.append(body)
        self._reading.size += len(body)
        if self._reading.size > self._body_max_bytes:
            self._fail(Ending.TOO_LARGE)
            self.abort()

    def on_message_complete(self) -> None:
        """End the answer; called by the parser."""
        if self._is_informational() or self._bodiless:
            return
        if not self._parser.should_keep_alive():
            self._reusable = False
        self._complete()

    def _is_informational(self) -> bool:
        return self._parser.get_status_code() <= STATUS_INFORMATIONAL_MAX

    def _ends_with_connection(self) -> bool:
        """Tell whether the present answer is whole once the peer ends."""
        if not self._reading.head_done:
            return False
        if self._waiting is None or self._waiting.done():
            return False
        names = {name for name, _ in self._reading.headers}
        return not names & {b"content-length", b"transfer-encoding"}

    def _complete(self) -> None:
        if self._waiting is None or self._waiting.done():
            return
        reading = self._reading
        answer = HttpResponse(
            status=self._parser.get_status_code(),
            headers=tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in reading.headers
            ),
            body=b"".join(reading.body),
        )
        if not self._accepts(answer):
            self._reusable = False
            return
        for name, value in reading.headers:
            if name == b"keep-alive":
                found = KEEP_ALIVE_PATTERN.search(value)
                if found is not None:
                    self._keep_alive_seconds = int(found[1])
        self._waiting.set_result(answer)

    def _expire(self) -> None:
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_exception(TimeoutError())
        self.abort()

    def _settle(self) -> None:
        """Close what cannot be used again once the answer is there."""
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size():
            self._reusable = False
        if not self._reusable:
            self._transport.close()

    def _fail(self, ending: Ending) -> None:
        self._reusable = False
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_exception(ResponseError(ending))
