"""Server side of one HTTP/1.1 connection from a caller."""

import asyncio
import collections
from collections import abc
import datetime
import http
import typing

from absl import logging
import attrs
import httptools

from balsamramp_core.resources import caller_limits
from balsamramp_node.process import body_budget
from balsamramp_node.process import body_parts
from balsamramp_node.process import caller_connection_log

__all__ = ["CallerConnection", "Handler", "RawRequest", "RawResponse"]

STATUS_REASONS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Requests that a caller may pipeline before it has received the responses.
# Reading from the connection pauses beyond that.
PIPELINED_REQUESTS_MAX = 8
# The event loop reads from its sockets once within this time. When it runs
# late, a request may wait unread in the socket when a timer expires.
UNREAD_DATA_DELAY = datetime.timedelta(milliseconds=1)
# How long a caller has to close its side after the last response was sent.
LINGER_TIMEOUT = datetime.timedelta(milliseconds=500)

# Time between the accept of a connection and its first request for which the
# connection is kept while the server stops.
FIRST_REQUEST_TIMEOUT = datetime.timedelta(milliseconds=500)

RawHeaders = list[tuple[bytes, bytes]]
Limits = abc.Callable[[], caller_limits.CallerLimits]
HandlerFailure = caller_connection_log.HandlerFailure
UnansweredReason = caller_connection_log.UnansweredReason


@attrs.define(kw_only=True)
class RawRequest:
    """One complete request; header names are in lower case.

    ``target`` is the undecoded path and query of the request line.
    """

    method: str
    target: bytes
    headers: RawHeaders
    body: bytes
    keep_alive: bool


@attrs.define(kw_only=True)
class RawResponse:
    """One complete response; ``close`` closes the connection after it."""

    status: int
    headers: RawHeaders
    body: bytes
    close: bool = False


Handler = abc.Callable[[RawRequest], abc.Awaitable[RawResponse]]


@attrs.define
class _PartialRequest:
    """The request that is being parsed.

    ``header_bytes`` counts the parsed header names and values,
    ``received_bytes`` all bytes received before the headers were complete,
    and ``framing_bytes`` those received later that are not body: the framing
    of chunks, and trailers.
    """

    target: bytes = b""
    headers: RawHeaders = attrs.field(factory=list)
    header_bytes: int = 0
    received_bytes: int = 0
    headers_complete: bool = False
    framing_bytes: int = 0
    body: body_parts.BodyParts = attrs.field(factory=body_parts.BodyParts)
    reservation: body_budget.Reservation | None = None


@attrs.frozen
class _ReceivedRequest:
    """A complete request and the time of the event loop at its end.

    ``reservation`` is the memory of its body, until it has a response.
    """

    request: RawRequest
    received_at: float
    reservation: body_budget.Reservation | None = None

    def release(self) -> None:
        """Release the memory of the body."""
        if self.reservation is not None:
            self.reservation.release()


class CallerConnection(asyncio.Protocol):
    """Parses requests and writes the responses of ``handler`` in order.

    A request that is larger or slower than ``limits`` allow is rejected and
    closes the connection. A request whose caller disconnects is cancelled.

    After the last response the connection is closed for writing first, and
    data that still arrives is discarded for up to ``LINGER_TIMEOUT``. Closing
    a socket with unread data resets the connection, and a reset discards
    whatever of the response the caller has not received.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Limits,
        connections: set["CallerConnection"],
        log: caller_connection_log.CallerConnectionLog | None = None,
        budget: body_budget.BodyBudget | None = None,
    ) -> None:
        self._budget = budget
        self._handler = handler
        self._get_limits = limits
        self._connections = connections
        self._log = log
        self._closed = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._partial: _PartialRequest | None = None
        self._message_completed = False
        self._pipelined: collections.deque[_ReceivedRequest] = (
            collections.deque()
        )
        self._handled: _ReceivedRequest | None = None
        # The last request whose response was passed to the transport.
        self._responded: _ReceivedRequest | None = None
        self._close_reason: UnansweredReason | None = None
        self._task: asyncio.Task[None] | None = None
        self._header_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._opened_at = self._last_active_at = self._loop.time()
        self._has_received = False
        self._writable = True
        self._close_when_idle = False
        self._rejected = False
        self._lingering = False
        self._unsent_bytes = 0

    @property
    def busy(self) -> bool:
        """Return whether a request is being received or handled."""
        if self._task is not None or self._pipelined:
            return True
        return self._partial is not None

    @property
    def unsent_bytes(self) -> int:
        """Return how much of the responses is not sent yet."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def unsent(self) -> bool:
        """Return whether a part of a response is not sent yet."""
        return self.unsent_bytes > 0

    @property
    def closed(self) -> asyncio.Event:
        """Return the event that is set once the connection is closed."""
        return self._closed

    @property
    def _closing(self) -> bool:
        """Return whether no further response can be written."""
        if self._lingering or self._transport is None:
            return True
        return self._transport.is_closing()

    def finish(self) -> None:
        """Close the connection after responding to all received requests.

        A new connection is kept for its first request.
        """
        self._close_when_idle = True
        if self.busy:
            return
        if self._has_received:
            self._after_unread_data(self._close_unless_busy)
            return
        wait = FIRST_REQUEST_TIMEOUT + UNREAD_DATA_DELAY
        self._loop.call_at(
            self._opened_at + wait.total_seconds(),
            self._after_unread_data,
            self._close_unless_busy,
        )

    def abort(self) -> None:
        """Close the connection immediately and drop buffered output."""
        self._close_reason = UnansweredReason.SHUTDOWN
        if self._transport is None:
            return
        responded, self._responded = self._responded, None
        if responded is not None and self._transport.get_write_buffer_size():
            self._record(responded, self._close_reason, started=True)
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Transports of other event loops don't derive from asyncio.Transport.
        self._transport = typing.cast(asyncio.Transport, transport)
        self._connections.add(self)
        self._schedule_idle_check(
            self._get_limits().idle_timeout.total_seconds()
        )

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.discard(self)
        self._closed.set()
        self._record_unanswered(exc)
        for received in self._pipelined:
            received.release()
        self._pipelined.clear()
        self._drop_partial()
        for timer in (self._header_timer, self._idle_timer):
            if timer is not None:
                timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._writable = False

    def resume_writing(self) -> None:
        self._writable = True
        self._start_next_response()

    def data_received(self, data: bytes) -> None:
        if self._lingering or self._rejected:
            return
        self._last_active_at = self._loop.time()
        self._message_completed = False
        received, body_bytes = self._partial, 0
        if received is not None and received.headers_complete:
            body_bytes = received.body.size
        else:
            received = None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No protocol upgrade is supported: the request gets a normal
            # response, and the connection closes after it.
            self._close_when_idle = True
        except httptools.HttpParserError:
            self._reject(http.HTTPStatus.BAD_REQUEST)
            return
        partial = self._partial
        if partial is not None and partial is received:
            # The data is body and framing of this request alone.
            body_bytes = partial.body.size - body_bytes
            self._add_framing(partial, len(data) - body_bytes)
            return
        if partial is None or partial.headers_complete:
            return
        if self._message_completed:
            # The data starts with the rest of the request before.
            partial.received_bytes += len(partial.target)
            partial.received_bytes += partial.header_bytes
        else:
            partial.received_bytes += len(data)
        if partial.received_bytes > self._get_limits().header_max_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif self._header_timer is None:
            delay = self._get_limits().header_timeout.total_seconds()
            self._header_timer = self._loop.call_later(
                delay, self._on_header_timeout
            )

    def _add_framing(self, partial: _PartialRequest, size: int) -> None:
        partial.framing_bytes += size
        framing_max_bytes = self._get_limits().header_max_bytes + (
            partial.body.size * body_parts.CHUNK_FRAMING_RATIO_MAX
        )
        if partial.framing_bytes > framing_max_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Start a new request (parser callback)."""
        self._has_received = True
        self._partial = _PartialRequest()
        if self._budget is not None:
            self._partial.reservation = self._budget.open(self._cut)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target (parser callback)."""
        assert self._partial is not None
        self._partial.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped (parser callback)."""
        partial = self._partial
        if partial is None or partial.headers_complete:
            # Trailers follow the body and are not forwarded.
            return
        partial.headers.append((name.lower(), value.strip()))
        partial.header_bytes += len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Check the header size and send 100 Continue (parser callback)."""
        partial = self._partial
        assert partial is not None and self._transport is not None
        partial.headers_complete = True
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None
        if partial.header_bytes > self._get_limits().header_max_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        for name, value in partial.headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self._transport.write(CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (parser callback)."""
        partial = self._partial
        if partial is None:
            return
        partial.body.append(body)
        if partial.body.size > self._get_limits().body_max_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif partial.reservation is not None and not (
            partial.reservation.grow(len(body))
        ):
            self._cut()

    def _cut(self) -> None:
        """Reject the request being received for lack of memory."""
        self._reject(http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _drop_partial(self) -> None:
        partial, self._partial = self._partial, None
        if partial is not None and partial.reservation is not None:
            partial.reservation.release()

    def on_message_complete(self) -> None:
        """Queue the complete request for the handler (parser callback)."""
        self._message_completed = True
        partial, self._partial = self._partial, None
        if partial is None or self._rejected:
            return
        request = RawRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=partial.target,
            headers=partial.headers,
            body=partial.body.join(),
            keep_alive=self._parser.should_keep_alive(),
        )
        if partial.reservation is not None:
            partial.reservation.keep()
        self._pipelined.append(
            _ReceivedRequest(request, self._loop.time(), partial.reservation)
        )
        if (
            len(self._pipelined) > PIPELINED_REQUESTS_MAX
            and self._transport is not None
        ):
            self._transport.pause_reading()
        self._start_next_response()

    def _start_next_response(self) -> None:
        if self._task is not None or not self._pipelined or not self._writable:
            return
        self._handled = received = self._pipelined.popleft()
        if (
            len(self._pipelined) == PIPELINED_REQUESTS_MAX
            and self._transport is not None
        ):
            self._transport.resume_reading()
        self._task = self._loop.create_task(self._respond(received))

    async def _respond(self, received: _ReceivedRequest) -> None:
        request = received.request
        try:
            response = await self._handler(request)
        except Exception:
            logging.exception("request handler failed; responding with 502")
            response = self._failure_response(HandlerFailure.EXCEPTION)
        except asyncio.CancelledError:
            if self._closed.is_set():
                raise
            logging.error(
                "request handler was cancelled while its caller waits;"
                " responding with 502"
            )
            response = self._failure_response(HandlerFailure.CANCELLED)
        finally:
            self._task = None
            received.release()
        self._last_active_at = self._loop.time()
        self._write_response(request, response)

    def _failure_response(self, cause: HandlerFailure) -> RawResponse:
        if self._log is not None:
            self._log.record_handler_failure(cause)
        return _empty_response(http.HTTPStatus.BAD_GATEWAY)

    def _write_response(
        self, request: RawRequest, response: RawResponse
    ) -> None:
        transport = self._transport
        if transport is None or self._closing:
            return
        closes = (
            response.close or not request.keep_alive or self._close_when_idle
        ) and not self._pipelined
        omit_body = request.method == "HEAD"
        try:
            data = _encode_response(response, omit_body, closes)
        except Exception:
            logging.exception(
                "response cannot be encoded; responding with 502"
            )
            response = self._failure_response(HandlerFailure.INVALID_RESPONSE)
            data = _encode_response(response, omit_body, closes)
        transport.write(data)
        self._responded, self._handled = self._handled, None
        self._unsent_bytes = transport.get_write_buffer_size()
        if closes:
            self._linger()
            return
        self._start_next_response()

    def _on_header_timeout(self) -> None:
        self._header_timer = self._after_unread_data(
            self._reject, http.HTTPStatus.REQUEST_TIMEOUT
        )

    def _reject(self, status: http.HTTPStatus) -> None:
        """Reject the request being received and close the connection."""
        transport = self._transport
        if transport is None or self._closing:
            return
        self._drop_partial()
        self._rejected = self._close_when_idle = True
        transport.pause_reading()
        if self._task is not None or self._pipelined:
            # Earlier requests of the connection get their responses first.
            return
        response = _empty_response(status)
        transport.write(_encode_response(response, False, True))
        self._linger()

    def _linger(self) -> None:
        """Close for writing and wait for the caller to close its side."""
        assert self._transport is not None
        self._lingering = True
        self._drop_partial()
        self._transport.write_eof()
        self._transport.resume_reading()
        for timer in (self._header_timer, self._idle_timer):
            if timer is not None:
                timer.cancel()
        self._schedule_linger_check()

    def _schedule_linger_check(self) -> None:
        self._idle_timer = self._loop.call_later(
            LINGER_TIMEOUT.total_seconds(), self._check_linger
        )

    def _check_linger(self) -> None:
        assert self._transport is not None
        unsent_before = self._unsent_bytes
        self._update_progress()
        idle_timeout = self._get_limits().idle_timeout.total_seconds()
        if not unsent_before and not self._unsent_bytes:
            self._transport.close()
        elif self._loop.time() - self._last_active_at >= idle_timeout:
            self._transport.abort()
        else:
            self._schedule_linger_check()

    def _update_progress(self) -> None:
        """Treat the connection as active if its caller reads a response."""
        assert self._transport is not None
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes < self._unsent_bytes:
            self._last_active_at = self._loop.time()
        self._unsent_bytes = unsent_bytes

    def _schedule_idle_check(self, delay: float) -> None:
        self._idle_timer = self._loop.call_later(delay, self._check_idle)

    def _check_idle(self) -> None:
        self._update_progress()
        idle = self._get_limits().idle_timeout.total_seconds()
        remaining = self._last_active_at + idle - self._loop.time()
        if self._task is not None:
            remaining = idle
        if remaining > 0:
            self._schedule_idle_check(remaining)
            return
        self._idle_timer = self._after_unread_data(
            self._end_idle, self._last_active_at
        )

    def _end_idle(self, last_active_at: float) -> None:
        if self._last_active_at != last_active_at:
            self._check_idle()
            return
        if self._partial is not None:
            self._reject(http.HTTPStatus.REQUEST_TIMEOUT)
            return
        assert self._transport is not None
        self._close_reason = UnansweredReason.IDLE_TIMEOUT
        if self._unsent_bytes:
            # A close would wait until the caller reads the response.
            self._transport.abort()
        else:
            self._transport.close()

    def _close_unless_busy(self) -> None:
        if self.busy or self._lingering or self._transport is None:
            return
        self._transport.close()

    def _after_unread_data(
        self, callback: abc.Callable[..., None], *arguments: object
    ) -> asyncio.TimerHandle:
        """Schedule a call after the data that waits in the socket is read."""
        return self._loop.call_later(
            UNREAD_DATA_DELAY.total_seconds(), callback, *arguments
        )

    def _record_unanswered(self, error: Exception | None) -> None:
        """Record the requests that the closed connection leaves."""
        reason = self._close_reason
        if reason is None and error is not None:
            reason = UnansweredReason.TRANSPORT_ERROR
        reason = reason or UnansweredReason.CALLER_CLOSED
        self._record_handled(reason)
        for received in self._pipelined:
            self._record(received, reason, started=False)

    def _record_handled(self, reason: UnansweredReason) -> None:
        received, self._handled = self._handled, None
        if received is not None:
            self._record(received, reason, started=True)

    def _record(
        self,
        received: _ReceivedRequest,
        reason: UnansweredReason,
        started: bool,
    ) -> None:
        if self._log is None:
            return
        open_seconds = self._loop.time() - received.received_at
        self._log.record_unanswered(
            received.request.headers,
            reason,
            datetime.timedelta(seconds=open_seconds),
            started,
        )


def _empty_response(status: http.HTTPStatus) -> RawResponse:
    return RawResponse(status=status.value, headers=[], body=b"")


def _encode_response(
    response: RawResponse, omit_body: bool, closes: bool
) -> bytes:
    reason = STATUS_REASONS.get(response.status, b"")
    parts = [b"HTTP/1.1 %d %b\r\n" % (response.status, reason)]
    for name, value in response.headers:
        parts.append(b"%b: %b\r\n" % (name, value))
    if closes:
        parts.append(b"connection: close\r\n")
    parts.append(b"content-length: %d\r\n\r\n" % len(response.body))
    if not omit_body:
        parts.append(response.body)
    return b"".join(parts)
