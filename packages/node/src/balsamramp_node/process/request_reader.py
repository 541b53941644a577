"""Parses the requests that arrive on one connection."""

import abc as abstract
from collections import abc
import http

from absl import logging
import attrs
import httptools

from balsamramp_core.resources import caller_limits
from balsamramp_node.process import body_budget
from balsamramp_node.process import body_parts
from balsamramp_node.process import caller_messages

__all__ = ["Limits", "ReceivedRequest", "RequestListener", "RequestReader"]

# The limits are checked, and the memory is reserved, each time that so much
# has been parsed.
PARSED_AT_ONCE_MAX_BYTES = 4 * 1024
# Memory of a header field beside its bytes: as parsed, and as converted for
# the target or the node beside it.
FIELD_BYTES = 400
# Memory of a request beside its fields and its body.
REQUEST_BYTES = 1024
# A request may have this much without a reservation if no other request of
# its connection waits.
REQUEST_FREE_BYTES = 4 * 1024
# Larger ones reserve in steps of this size, up to the steps of all bodies.
REQUEST_STEP_BYTES = 16 * 1024
# Those that wait behind others, of which a connection may have many.
PIPELINED_STEP_BYTES = 1024
# A request line without its target.
REQUEST_LINE_MAX_BYTES = 32
# ": " and the end of the line.
FIELD_FRAMING_BYTES = 4
# Header fields that tell where a body ends.
BODY_HEADERS = (body_parts.LENGTH_HEADER, b"transfer-encoding")

Limits = abc.Callable[[], caller_limits.CallerLimits]


@attrs.define
class _PartialRequest:
    """The request that is being parsed.

    ``header_bytes`` counts the target and the parsed header names and
    values, ``received_bytes`` all bytes received before the headers were
    complete, and ``framing_bytes`` those received later that are not body:
    the framing of chunks, and trailers. ``unreserved_bytes`` is memory of
    the headers that is not reserved yet.
    """

    started_at: float
    target: bytes = b""
    headers: caller_messages.RawHeaders = attrs.field(factory=list)
    header_bytes: int = 0
    received_bytes: int = 0
    headers_complete: bool = False
    upgraded_method: str = ""
    framing_bytes: int = 0
    unreserved_bytes: int = REQUEST_BYTES
    body: body_parts.BodyParts = attrs.field(factory=body_parts.BodyParts)
    reservation: body_budget.Reservation | None = None

    @property
    def body_headers(self) -> caller_messages.RawHeaders:
        """Return the header fields that tell where the body ends."""
        return [item for item in self.headers if item[0] in BODY_HEADERS]

    @property
    def received_min_bytes(self) -> int:
        """Return how many bytes the parsed headers had at least."""
        return self.header_bytes + len(self.headers)

    @property
    def unfinished_bytes(self) -> int:
        """Return how many of the received bytes the headers had at least."""
        return (
            self.received_bytes
            - REQUEST_LINE_MAX_BYTES
            - FIELD_FRAMING_BYTES * len(self.headers)
        )


@attrs.frozen
class ReceivedRequest:
    """A complete request and the time of the event loop at its end.

    ``reservation`` is its memory, until its response is written.
    """

    request: caller_messages.RawRequest
    received_at: float
    reservation: body_budget.Reservation | None = None

    def release(self) -> None:
        """Release the memory of the request."""
        if self.reservation is not None:
            self.reservation.release()


class RequestListener(abstract.ABC):
    """What a reader passes the requests of its connection to."""

    @property
    @abstract.abstractmethod
    def may_read(self) -> bool:
        """Return whether another request may be parsed."""

    @property
    @abstract.abstractmethod
    def waiting(self) -> bool:
        """Return whether an earlier request has no response yet."""

    @abstract.abstractmethod
    def handle_head(self, expects_continue: bool) -> None:
        """Handle that all headers of a request were received."""

    @abstract.abstractmethod
    def handle_request(self, received: ReceivedRequest) -> None:
        """Handle a complete request."""

    @abstract.abstractmethod
    def handle_reject(self, status: http.HTTPStatus) -> None:
        """Handle a request that must not be read further."""


class RequestReader:
    """Parses the bytes of one connection to requests for its listener.

    Data is parsed while the listener may read; the rest waits for the next
    call of ``parse``. A request that exceeds ``limits``, that finds no room
    in ``budget`` or that is malformed is rejected, and nothing is parsed
    after it.
    """

    def __init__(
        self,
        limits: Limits,
        budget: body_budget.BodyBudget | None,
        now: abc.Callable[[], float],
        listener: RequestListener,
    ) -> None:
        self._get_limits = limits
        self._budget = budget
        self._now = now
        self._listener = listener
        self._parser: httptools.HttpRequestParser | None
        self._parser = httptools.HttpRequestParser(self)
        self._partial: _PartialRequest | None = None
        self._message_completed = False
        self._has_received = False
        self._upgrades = False
        self._unparsed = memoryview(b"")
        self._unparsed_reservation: body_budget.Reservation | None = None

    @property
    def has_received(self) -> bool:
        """Return whether a request has begun to arrive."""
        return self._has_received

    @property
    def receiving(self) -> bool:
        """Return whether a request has arrived in part."""
        return self._partial is not None

    @property
    def receiving_head(self) -> bool:
        """Return whether a request has arrived without all its headers."""
        return self._partial is not None and not self._partial.headers_complete

    @property
    def has_unparsed(self) -> bool:
        """Return whether data waits to be parsed."""
        return bool(self._unparsed)

    @property
    def upgrades(self) -> bool:
        """Return whether a request asked for another protocol."""
        return self._upgrades

    @property
    def started_at(self) -> float:
        """Return when the request that is being received began."""
        assert self._partial is not None
        return self._partial.started_at

    @property
    def body_bytes(self) -> int:
        """Return the size of the body that is being received."""
        return 0 if self._partial is None else self._partial.body.size

    def feed(self, data: bytes) -> None:
        """Parse ``data``, or keep what may not be read yet."""
        if self._parser is None:
            return
        if self._unparsed:
            data = bytes(self._unparsed) + data
        self._unparsed = memoryview(data)
        self.parse()

    def parse(self) -> None:
        """Parse the data that waits, as far as it may be read."""
        while self._unparsed and self._parser is not None:
            if not self._listener.may_read:
                self._reserve_unparsed()
                return
            piece = self._unparsed[:PARSED_AT_ONCE_MAX_BYTES]
            self._unparsed = self._unparsed[PARSED_AT_ONCE_MAX_BYTES:]
            self._parse_piece(piece)
        self._release_unparsed()

    def close(self) -> None:
        """Drop everything that is not a complete request."""
        # The parser refers to its reader, which would be kept until a
        # garbage collection.
        self._parser = None
        self._drop_partial()
        self._unparsed = memoryview(b"")
        self._release_unparsed()

    def _parse_piece(self, data: memoryview) -> None:
        assert self._parser is not None
        self._message_completed = False
        received, body_bytes = self._partial, 0
        if received is not None and received.headers_complete:
            body_bytes = received.body.size
        else:
            received = None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            # No protocol upgrade is supported: the request gets a normal
            # response, and nothing is read after it.
            if self._partial is None:
                self.close()
                return
            self._read_body_without_upgrade(data[error.args[0] :])
            return
        except httptools.HttpParserCallbackError as error:
            logging.exception("a request cannot be read; refusing it")
            status = http.HTTPStatus.BAD_REQUEST
            if isinstance(error.__context__, MemoryError):
                status = http.HTTPStatus.SERVICE_UNAVAILABLE
            self._reject(status)
            return
        except httptools.HttpParserError:
            self._reject(http.HTTPStatus.BAD_REQUEST)
            return
        partial = self._partial
        if partial is not None and partial is received:
            # The data is body and framing of this request alone.
            body_bytes = partial.body.size - body_bytes
            self._add_framing(partial, len(data) - body_bytes)
        elif partial is not None and not partial.headers_complete:
            self._check_head(partial, len(data))

    def _read_body_without_upgrade(self, data: memoryview) -> None:
        """Read the body of a request that asked for another protocol.

        The parser ends such a request at its headers. Another parser, which
        gets only the headers that tell where the body ends, reads on.
        """
        partial = self._partial
        assert partial is not None and self._parser is not None
        partial.upgraded_method = self._parser.get_method().decode("latin-1")
        lines = [name + b": " + value for name, value in partial.body_headers]
        head = b"\r\n".join([b"POST / HTTP/1.1", *lines, b"", b""])
        self._parser = httptools.HttpRequestParser(self)
        self._parse_piece(memoryview(head))
        if data and self._parser is not None:
            self._parse_piece(data)

    def _check_head(self, partial: _PartialRequest, size: int) -> None:
        """Check the headers that are not complete yet."""
        if self._message_completed:
            # The data starts with the rest of the request before.
            partial.received_bytes += partial.received_min_bytes
        else:
            partial.received_bytes += size
        if partial.unfinished_bytes > self._get_limits().header_max_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        else:
            self._reserve_head(partial)

    def _add_framing(self, partial: _PartialRequest, size: int) -> None:
        partial.framing_bytes += size
        framing_max_bytes = self._get_limits().header_max_bytes + (
            partial.body.size * body_parts.CHUNK_FRAMING_RATIO_MAX
        )
        if partial.framing_bytes > framing_max_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Start a new request (parser callback)."""
        if self._parser is None:
            return
        if self._partial is not None:
            # The other parser goes on with the request.
            return
        self._has_received = True
        self._partial = _PartialRequest(self._now())
        if self._budget is not None:
            self._partial.reservation = self._open_reservation(self._budget)

    def _open_reservation(
        self, budget: body_budget.BodyBudget
    ) -> body_budget.Reservation:
        if self._listener.waiting:
            return budget.open_for_caller(self._cut, PIPELINED_STEP_BYTES, 0)
        return budget.open_for_caller(
            self._cut, REQUEST_STEP_BYTES, REQUEST_FREE_BYTES
        )

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target (parser callback)."""
        partial = self._partial
        if partial is None or partial.headers_complete:
            return
        partial.target += url
        self._count_header(partial, len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped (parser callback)."""
        partial = self._partial
        if partial is None or partial.headers_complete:
            # Trailers follow the body and are not forwarded.
            return
        partial.headers.append((name.lower(), value.strip()))
        partial.unreserved_bytes += FIELD_BYTES
        self._count_header(partial, len(name) + len(value))

    def _count_header(self, partial: _PartialRequest, size: int) -> None:
        partial.header_bytes += size
        partial.unreserved_bytes += size
        if partial.header_bytes > self._get_limits().header_max_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Check the length of the body (parser callback)."""
        partial = self._partial
        if partial is None or partial.headers_complete:
            return
        partial.headers_complete = True
        expects_continue = False
        for name, value in partial.headers:
            if name == b"expect" and value.lower() == b"100-continue":
                expects_continue = True
            elif name == b"content-length":
                self._check_length(int(value))
        if self._parser is not None and self._reserve_head(partial):
            self._listener.handle_head(expects_continue)

    def _check_length(self, length: int) -> None:
        """Reject a body that is too large before it is read."""
        if length > self._get_limits().body_max_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif self._budget is not None and (
            length > self._budget.callers_limit_bytes
        ):
            self._cut()

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

    def on_message_complete(self) -> None:
        """Pass the complete request on (parser callback)."""
        self._message_completed = True
        partial = self._partial
        if partial is None or self._parser is None:
            return
        if self._parser.should_upgrade():
            if partial.body_headers:
                return
            self._upgrades = True
        if not partial.body.has_stated_length(partial.headers):
            self._reject(http.HTTPStatus.BAD_REQUEST)
            return
        self._partial = None
        method = self._parser.get_method().decode("latin-1")
        request = caller_messages.RawRequest(
            method=partial.upgraded_method or method,
            target=partial.target,
            headers=partial.headers,
            body=partial.body.join(),
            keep_alive=(
                not partial.upgraded_method
                and self._parser.should_keep_alive()
            ),
        )
        if partial.reservation is not None:
            partial.reservation.keep()
        self._listener.handle_request(
            ReceivedRequest(request, self._now(), partial.reservation)
        )
        if partial.upgraded_method:
            self._upgrades = True
            self.close()

    def _reserve_head(self, partial: _PartialRequest) -> bool:
        """Reserve the memory of the headers; return whether there is room."""
        size, partial.unreserved_bytes = partial.unreserved_bytes, 0
        if partial.reservation is None or partial.reservation.grow(size):
            return True
        self._cut()
        return False

    def _reserve_unparsed(self) -> None:
        """Reserve the memory of the data that waits to be parsed."""
        if self._budget is None:
            return
        if self._unparsed_reservation is None:
            self._unparsed_reservation = self._budget.open_for_caller(
                self._cut, PIPELINED_STEP_BYTES, free_bytes=0
            )
        if not self._unparsed_reservation.resize(len(self._unparsed)):
            self._cut()

    def _release_unparsed(self) -> None:
        if self._unparsed_reservation is not None:
            self._unparsed_reservation.release()

    def _cut(self) -> None:
        """Reject the request being received for lack of memory."""
        self._reject(http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _reject(self, status: http.HTTPStatus) -> None:
        if self._parser is None:
            return
        self.close()
        self._listener.handle_reject(status)

    def _drop_partial(self) -> None:
        partial, self._partial = self._partial, None
        if partial is not None and partial.reservation is not None:
            partial.reservation.release()
