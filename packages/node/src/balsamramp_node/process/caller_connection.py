"""Server side of one HTTP/1.1 connection from a caller."""

import asyncio
from collections import abc
import datetime
import http
import typing

from absl import logging

from balsamramp_node.process import body_budget
from balsamramp_node.process import caller_connection_log
from balsamramp_node.process import caller_messages
from balsamramp_node.process import caller_presence
from balsamramp_node.process import connection_limit
from balsamramp_node.process import handler_runner
from balsamramp_node.process import lingering_close
from balsamramp_node.process import request_pipeline
from balsamramp_node.process import request_reader
from balsamramp_node.process import response_delivery
from balsamramp_node.process import socket_queue
from balsamramp_node.process import transfer_progress

__all__ = ["CallerConnection", "Handler", "RawRequest", "RawResponse"]

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Requests of a connection that run at a time or have a response that waits for
# an earlier one. Reading pauses when more have arrived.
PIPELINED_REQUESTS_MAX = 8
# The next response is written, the next request starts, and a response that is
# not sent needs no reservation, up to so many unsent bytes.
UNSENT_FREE_BYTES = 4 * 1024
# A request that is received at less than this rate gives way to others.
GIVE_WAY_BYTES_PER_SECOND = 16 * 1024
# The event loop reads from its sockets once within this time. When it runs
# late, a request may wait unread in the socket when a timer expires.
UNREAD_DATA_DELAY = datetime.timedelta(milliseconds=1)
# Time between the accept of a connection and its first request for which the
# connection is kept while the server stops.
FIRST_REQUEST_TIMEOUT = datetime.timedelta(milliseconds=500)
# While reading is paused, a close is seen by asking the kernel for it.
CLOSE_CHECK_INTERVAL = datetime.timedelta(milliseconds=100)

TRANSFER_SECONDS = transfer_progress.TRANSFER_TIMEOUT.total_seconds()

Limits = request_reader.Limits
RawHeaders = caller_messages.RawHeaders
RawRequest = caller_messages.RawRequest
RawResponse = caller_messages.RawResponse
UnansweredReason = caller_connection_log.UnansweredReason
Handler = handler_runner.Handler


class _ConnectedCaller(caller_presence.CallerPresence):
    """The caller of the requests of one connection."""

    def __init__(self, leave_if_closed: abc.Callable[[], bool]) -> None:
        self._leave_if_closed = leave_if_closed

    def may_have_left(self) -> bool:
        return self._leave_if_closed()

    async def has_left(self) -> bool:
        return self._leave_if_closed()


class CallerConnection(
    asyncio.Protocol,
    request_reader.RequestListener,
    connection_limit.LimitedConnection,
):
    """Passes requests to ``handler`` and writes its responses in order.

    A request that is larger or slower than ``limits`` allow is rejected and
    closes the connection, and so is one without room in ``budget``. A
    request whose caller disconnects is cancelled, and does not start if the
    close has arrived by then. A caller that closes only its writing side is
    taken for disconnected.

    Pipelined requests run side by side as far as RequestPipeline allows; none
    starts, and no further response is written, while one before it is not
    sent. Once a response is to close the connection nothing more is read,
    and the last request that was read gets the response that closes it.

    After the last response the connection is closed for writing first, and
    data that still arrives is discarded as LingeringClose says. A connection
    without a request is closed once its caller has received all responses.
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
        self._get_limits = limits
        self._connections = connections
        self._log = log
        self._closed = asyncio.Event()
        # The caller waits for no response any more.
        self._departed = asyncio.Event()
        self._runner = handler_runner.HandlerRunner(
            handler, self._departed, log
        )
        self._presence = _ConnectedCaller(self._leave_if_closed)
        self._probe: socket_queue.SocketProbe | None = None
        self._close_timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._reader = request_reader.RequestReader(
            limits, budget, self._loop.time, self
        )
        self._unsent_reservation: body_budget.Reservation | None = None
        self._transport: asyncio.Transport | None = None
        self._pipeline = request_pipeline.RequestPipeline(
            PIPELINED_REQUESTS_MAX
        )
        self._delivery = response_delivery.ResponseDelivery()
        self._close_reason: UnansweredReason | None = None
        self._header_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._opened_at = self._loop.time()
        self._progress = transfer_progress.TransferProgress(self._opened_at)
        self._reading = self._writable = True
        self._close_when_idle = False
        # Data of the caller is not read any more.
        self._discarding = False
        self._rejected_with: http.HTTPStatus | None = None
        self._refused = False
        self._linger: lingering_close.LingeringClose | None = None

    @property
    def busy(self) -> bool:
        """Return whether a request is being received or handled."""
        return self.waiting or self._reader.receiving

    @property
    def waiting(self) -> bool:
        """Return whether a complete request has no response yet."""
        return len(self._pipeline) > 0

    @property
    def may_read(self) -> bool:
        """Return whether another request may be parsed."""
        return len(self._pipeline) <= PIPELINED_REQUESTS_MAX

    @property
    def progress_at(self) -> float | None:
        """Return when the caller last made progress; None if it waits."""
        if self.unsent:
            return self._progress.last_at
        if self.waiting:
            return None
        if not self._reader.receiving:
            return self._progress.last_at
        credit = self._reader.body_bytes / GIVE_WAY_BYTES_PER_SECOND
        return min(self._progress.last_at, self._reader.started_at + credit)

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
    def undelivered_bytes(self) -> int:
        """Return how much of the responses has not reached the caller."""
        if self._transport is None:
            return 0
        return self.unsent_bytes + socket_queue.unacknowledged_bytes(
            self._transport
        )

    @property
    def _unreceived_bytes(self) -> int:
        """Return the size of the responses that are not sent yet."""
        return self.unsent_bytes + self._pipeline.held_bytes

    @property
    def closed(self) -> asyncio.Event:
        """Return the event that is set once the connection is closed."""
        return self._closed

    @property
    def _closing(self) -> bool:
        """Return whether no further response can be written."""
        if self._linger is not None or self._transport is None:
            return True
        return self._transport.is_closing()

    def finish(self) -> None:
        """Close the connection after responding to all received requests.

        A new connection is kept for its first request. A request that is
        being received is read to its end only if no other waits.
        """
        self._close_when_idle = True
        self._pipeline.run_one_by_one()
        if self.waiting:
            self._discard_input()
        if self.busy:
            return
        if self._reader.has_received:
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
        self._abort(UnansweredReason.SHUTDOWN)

    def give_way(self) -> None:
        """Close the connection immediately to make room for another."""
        # It is lost only after other connections have been accepted.
        self._connections.discard(self)
        self._abort(UnansweredReason.CONNECTION_LIMIT)

    def refuse(self) -> None:
        """Close the connection as soon as it is made."""
        self._refused = True

    def _abort(self, reason: UnansweredReason) -> None:
        self._close_reason = reason
        if self._transport is None:
            return
        for response in self._delivery.take(self.undelivered_bytes):
            self._record(
                response.request_id, response.received_at, reason, started=True
            )
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Transports of other event loops don't derive from asyncio.Transport.
        self._transport = typing.cast(asyncio.Transport, transport)
        if self._refused:
            self._transport.abort()
            return
        self._transport.set_write_buffer_limits(UNSENT_FREE_BYTES, 0)
        self._connections.add(self)
        self._schedule_idle_check(
            self._get_limits().idle_timeout.total_seconds()
        )

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.discard(self)
        self._closed.set()
        self._end_requests(exc)
        self._release_unsent()
        for timer in (
            self._header_timer,
            self._idle_timer,
            self._close_timer,
        ):
            if timer is not None:
                timer.cancel()

    def eof_received(self) -> None:
        """Cancel the requests; the transport sends what was written."""
        self._leave(caller_connection_log.CloseSeen.READ)

    def _leave_if_closed(self) -> bool:
        """Cancel the requests if the close of the caller has arrived."""
        if self._departed.is_set():
            return True
        if self._transport is None:
            return False
        if self._probe is None:
            self._probe = socket_queue.SocketProbe(self._transport)
        if not self._probe.has_peer_closed():
            return False
        self._leave(caller_connection_log.CloseSeen.BEHIND_DATA)
        return True

    def _leave(self, seen: caller_connection_log.CloseSeen) -> None:
        if self._departed.is_set():
            return
        if self._log is not None and self.waiting:
            self._log.record_departed(seen, len(self._pipeline))
        self._end_requests(None)
        self._discarding = True
        if self._transport is not None:
            self._transport.close()

    def _end_requests(self, error: Exception | None) -> None:
        self._departed.set()
        self._record_unanswered(error)
        self._pipeline.close()
        self._reader.close()

    def _pause_reading(self) -> None:
        """Read nothing more for now; look for a close meanwhile."""
        if self._transport is None:
            return
        self._transport.pause_reading()
        if self._close_timer is None:
            self._schedule_close_check()

    def _schedule_close_check(self) -> None:
        self._close_timer = self._loop.call_later(
            CLOSE_CHECK_INTERVAL.total_seconds(), self._check_close
        )

    def _check_close(self) -> None:
        self._close_timer = None
        if self._transport is None or self._transport.is_reading():
            return
        if not self._leave_if_closed():
            self._schedule_close_check()

    def pause_writing(self) -> None:
        self._writable = False

    def resume_writing(self) -> None:
        self._writable = True
        self._reserve_unsent()
        self._write_responses()

    def data_received(self, data: bytes) -> None:
        if self._linger is not None:
            self._linger.record_received(self._elapsed())
            return
        if self._discarding:
            return
        now = self._loop.time()
        received_before = self._reader.receiving
        self._reader.feed(data)
        if received_before and self._reader.receiving:
            self._progress.record_received(len(data), now)
        else:
            self._progress.record_step(now)
        self._after_parsing()

    def _after_parsing(self) -> None:
        """Read on, or pause until the requests read so far are answered."""
        transport = self._transport
        if transport is None or self._linger or self._discarding:
            return
        if self._reader.upgrades or (self._close_when_idle and self.waiting):
            self._discard_input()
            return
        if self._reader.has_unparsed or not self.may_read:
            self._reading = False
            self._pause_reading()
            # The rest of the headers may have arrived unread.
            self._stop_header_timer()
            return
        if not self._reading:
            self._reading = True
            transport.resume_reading()
        if self._reader.receiving_head and self._header_timer is None:
            delay = self._get_limits().header_timeout.total_seconds()
            self._header_timer = self._loop.call_later(
                delay, self._on_header_timeout
            )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def handle_head(self, expects_continue: bool) -> None:
        """Send 100 Continue if the caller waits for it."""
        self._stop_header_timer()
        if expects_continue and self._transport is not None:
            self._transport.write(CONTINUE_RESPONSE)
            self._delivery.add_other(len(CONTINUE_RESPONSE))

    def handle_request(self, received: request_reader.ReceivedRequest) -> None:
        """Queue a complete request for the handler."""
        self._pipeline.add(received)
        if not received.request.keep_alive:
            self._discard_input()
        self._start_requests()

    def handle_reject(self, status: http.HTTPStatus) -> None:
        """Reject the request being received and close the connection."""
        transport = self._transport
        if transport is None or self._closing:
            return
        if self._log is not None:
            self._log.record_rejected(status)
        self._discard_input()
        self._pause_reading()
        if self.waiting:
            # Earlier requests of the connection get their responses first.
            self._rejected_with = status
            return
        self._write_rejection(transport, status)

    def _write_rejection(
        self, transport: asyncio.Transport, status: http.HTTPStatus
    ) -> None:
        response = caller_messages.encode_response(
            caller_messages.empty_response(status)
        )
        data = response.join(closes=True)
        transport.write(data)
        self._delivery.add_other(len(data))
        self._start_linger()

    def _discard_input(self) -> None:
        """Parse nothing more; close when the received requests are answered.

        The transport is read on, so that a disconnect is noticed.
        """
        self._discarding = self._close_when_idle = True
        self._reader.close()
        self._stop_header_timer()
        if not self._reading and self._transport is not None:
            self._reading = True
            self._transport.resume_reading()

    def _start_requests(self) -> None:
        while self._writable and not self._closing:
            if not self._pipeline.may_start or self._leave_if_closed():
                return
            item = self._pipeline.start_next()
            if item is None:
                return
            item.task = self._loop.create_task(self._respond(item))

    async def _respond(self, item: request_pipeline.PipelinedRequest) -> None:
        caller_presence.set_current(self._presence)
        received = item.received
        if self._log is not None:
            waited = self._loop.time() - received.received_at
            self._log.record_start(received.request.headers, waited)
        response = await self._runner.run(received.request)
        if self._departed.is_set():
            return
        try:
            self._pipeline.finish(item, response)
            if response.close:
                self._pipeline.run_one_by_one()
                self._discard_input()
            self._write_responses()
            self._reserve_unsent()
        except Exception:
            logging.exception(
                "a response cannot be written; closing its connection"
            )
            self._abort(UnansweredReason.UNEXPECTED_ERROR)

    def _write_responses(self) -> None:
        """Write the responses whose turn it is; start requests behind them."""
        transport = self._transport
        while transport is not None and self._writable and not self._closing:
            found = self._pipeline.next_response()
            if found is None:
                break
            item, response = found
            last = self._close_when_idle and not self.waiting
            closes = last and self._rejected_with is None
            data = response.join(closes)
            transport.write(data)
            self._record_written(item.received, len(data))
            self._reserve_unsent()
            if closes:
                self._start_linger()
            elif last and self._rejected_with is not None:
                self._write_rejection(transport, self._rejected_with)
        self._start_requests()
        if not self._reading and self.may_read:
            self._reader.parse()
            self._after_parsing()

    def _record_written(
        self, received: request_reader.ReceivedRequest, size: int
    ) -> None:
        if self._delivery.full:
            self._delivery.confirm(self.undelivered_bytes)
        headers = received.request.headers
        request_id = (
            b"" if self._log is None else self._log.request_id(headers)
        )
        self._delivery.add(size, request_id, received.received_at)
        now = self._loop.time()
        self._progress.record_step(now)
        self._progress.record_written(self.unsent_bytes, now)

    def _reserve_unsent(self) -> None:
        """Reserve memory for what the caller has not received in time."""
        transport, size = self._transport, self._unreceived_bytes
        if transport is None or transport.is_closing():
            # What is held is dropped when the connection is lost.
            return
        if size <= UNSENT_FREE_BYTES:
            self._release_unsent()
            return
        if self._budget is None:
            return
        if self._unsent_reservation is None:
            self._unsent_reservation = self._budget.open_for_caller(
                self._on_unsent_cut,
                body_budget.STEP_BYTES,
                free_bytes=UNSENT_FREE_BYTES,
            )
        if not self._unsent_reservation.resize(size):
            self._on_unsent_cut()

    def _release_unsent(self) -> None:
        if self._unsent_reservation is not None:
            self._unsent_reservation.release()
            self._unsent_reservation = None

    def _on_unsent_cut(self) -> None:
        self._unsent_reservation = None
        if self._unreceived_bytes > UNSENT_FREE_BYTES:
            self._abort(UnansweredReason.NO_MEMORY)

    def _on_header_timeout(self) -> None:
        self._header_timer = self._after_unread_data(
            self.handle_reject, http.HTTPStatus.REQUEST_TIMEOUT
        )

    def _start_linger(self) -> None:
        """Close for writing and wait for the caller to close its side."""
        assert self._transport is not None
        self._linger = lingering_close.LingeringClose(self._elapsed())
        self._reader.close()
        self._transport.write_eof()
        self._transport.resume_reading()
        for timer in (self._header_timer, self._idle_timer):
            if timer is not None:
                timer.cancel()
        self._schedule_linger_check()

    def _schedule_linger_check(self) -> None:
        self._idle_timer = self._loop.call_later(
            lingering_close.CHECK_INTERVAL.total_seconds(), self._check_linger
        )

    def _check_linger(self) -> None:
        assert self._transport is not None and self._linger is not None
        self._update_progress()
        undelivered = self._progress.unsent_bytes
        self._linger.record_undelivered(undelivered, self._elapsed())
        if undelivered and self._idle_seconds_left() <= 0:
            self._transport.abort()
        elif self._linger.is_over(self._elapsed()):
            self._idle_timer = self._after_unread_data(self._end_linger)
        else:
            self._schedule_linger_check()

    def _end_linger(self) -> None:
        assert self._transport is not None and self._linger is not None
        if self._linger.is_over(self._elapsed()):
            self._transport.close()
        else:
            self._schedule_linger_check()

    def _elapsed(self) -> datetime.timedelta:
        return datetime.timedelta(seconds=self._loop.time())

    def _update_progress(self) -> None:
        """Record how far the caller has received the responses."""
        now, undelivered = self._loop.time(), self.undelivered_bytes
        if undelivered <= self._progress.unsent_bytes:
            self._progress.record_unsent(undelivered, now)
            return
        # The kernel had taken it when the response was written.
        self._progress.record_step(now)
        self._progress.record_written(undelivered, now)

    def _idle_seconds_left(self) -> float:
        now = self._loop.time()
        if self._progress.is_read_too_long(now):
            return 0.0
        idle = self._get_limits().idle_timeout.total_seconds()
        left = self._progress.last_at + idle - now
        if self._reader.receiving:
            ends_at = self._reader.started_at + TRANSFER_SECONDS
            left = min(left, ends_at - now)
        return left

    def _schedule_idle_check(self, delay: float) -> None:
        self._idle_timer = self._loop.call_later(delay, self._check_idle)

    def _check_idle(self) -> None:
        self._update_progress()
        remaining = self._idle_seconds_left()
        if self._pipeline.running:
            remaining = self._get_limits().idle_timeout.total_seconds()
        if remaining > 0:
            self._schedule_idle_check(remaining)
            return
        self._idle_timer = self._after_unread_data(self._end_idle)

    def _end_idle(self) -> None:
        if self._idle_seconds_left() > 0:
            self._check_idle()
            return
        if self._reader.receiving and not self.waiting:
            self.handle_reject(http.HTTPStatus.REQUEST_TIMEOUT)
            return
        assert self._transport is not None
        self._close_reason = UnansweredReason.IDLE_TIMEOUT
        if self._progress.unsent_bytes:
            # A close would wait until the caller reads the response.
            self._transport.abort()
        else:
            self._transport.close()

    def _close_unless_busy(self) -> None:
        if self.busy or self._linger is not None or self._transport is None:
            return
        if self.undelivered_bytes:
            # A request that arrives meanwhile is still answered.
            self._loop.call_later(
                lingering_close.CHECK_INTERVAL.total_seconds(),
                self._close_unless_busy,
            )
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
        if self._log is None:
            return
        for started, items in (
            (True, self._pipeline.started),
            (False, self._pipeline.waiting),
        ):
            for item in items:
                headers = item.received.request.headers
                self._record(
                    self._log.request_id(headers),
                    item.received.received_at,
                    reason,
                    started,
                )

    def _record(
        self,
        request_id: bytes,
        received_at: float,
        reason: UnansweredReason,
        started: bool,
    ) -> None:
        if self._log is None:
            return
        open_seconds = self._loop.time() - received_at
        self._log.record_unanswered(
            request_id,
            reason,
            datetime.timedelta(seconds=open_seconds),
            started,
        )
