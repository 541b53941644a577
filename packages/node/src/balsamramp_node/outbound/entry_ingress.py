"""Receives requests to entries from callers over HTTP."""

from collections import abc
import datetime
import math

from balsamramp_core import clock
from balsamramp_core import header_names
from balsamramp_core import verdict
from balsamramp_node.outbound import entry_proxy
from balsamramp_node.outbound import retry_after_jitter
from balsamramp_node.process import caller_connection
from balsamramp_node.process import shutdown_schedule
from balsamramp_wire import messages

__all__ = ["EntryIngress"]

TIMEOUT_DEFAULT = datetime.timedelta(seconds=5)
TIMEOUT_MAX = datetime.timedelta(minutes=10)
STATUS_UNAUTHORISED = 401
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
STATUS_TIMEOUT = 504
STATUSES_NOT_RUN = {
    verdict.Reason.BAD_REQUEST: 400,
    verdict.Reason.TOO_LARGE: 413,
    verdict.Reason.UNKNOWN_KEY: STATUS_UNAUTHORISED,
    verdict.Reason.UNKNOWN_SERVICE: STATUS_NOT_FOUND,
}
RAW_HOP_HEADERS = frozenset(
    name.encode() for name in header_names.HOP_BY_HOP_HEADERS
)


class _RequestError(Exception):
    """The request is invalid."""

    def __init__(self, reason: verdict.Reason, text: str) -> None:
        super().__init__(text)
        self.failure = verdict.Failure(verdict.Verdict.NOT_RUN, reason, text)


class EntryIngress:
    """Converts HTTP requests to entry requests and replies to responses.

    ``caller_service`` returns the service of this VM. It is sent to targets
    and overrides any value that the caller sets, and so does the name of the
    organisation, which the proxy finds by the caller's key. During a shutdown
    each response closes its connection, and a request that is received too
    late for a target to answer it is refused.
    """

    def __init__(
        self,
        proxy: entry_proxy.EntryProxy,
        names: header_names.HeaderNames,
        caller_service: abc.Callable[[], str],
        shutdown: shutdown_schedule.ShutdownSchedule,
        time: clock.Clock,
        retry_jitter: retry_after_jitter.RetryAfterJitter,
    ) -> None:
        self._proxy = proxy
        self._names = names
        self._caller_service = caller_service
        self._shutdown = shutdown
        self._clock = time
        self._retry_jitter = retry_jitter
        self._request_id_header = names.request_id.encode()
        self._timeout_header = names.timeout_ms.encode()
        replaced = (
            names.caller_service,
            names.organisation,
            names.target,
            names.timeout_ms,
        )
        self._dropped_headers = RAW_HOP_HEADERS.union(
            name.encode() for name in replaced
        )

    async def handle_request(
        self, raw: caller_connection.RawRequest
    ) -> caller_connection.RawResponse:
        """Return the response to one request."""
        if self._is_too_late():
            return self._failure_response(_node_stops())
        try:
            request = self._parse(raw)
        except _RequestError as error:
            return self._failure_response(error.failure)
        reply = await self._proxy.call(request)
        if isinstance(reply, messages.CallFailure):
            return self._failure_response(reply.failure)
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in reply.headers
            if name not in header_names.HOP_BY_HOP_HEADERS
        ]
        return self._response(reply.status, headers, reply.body)

    def _parse(
        self, raw: caller_connection.RawRequest
    ) -> entry_proxy.EntryRequest:
        header_values = dict(raw.headers)
        host = header_values.get(b"host", b"").decode("latin-1")
        if not host:
            text = "request has no Host header"
            raise _RequestError(verdict.Reason.BAD_REQUEST, text)
        request_id = header_values.get(self._request_id_header, b"")
        return entry_proxy.EntryRequest(
            request_id=request_id.decode("latin-1"),
            host=host,
            method=raw.method,
            path=raw.target.decode("latin-1"),
            headers=self._end_to_end_headers(raw.headers),
            body=raw.body,
            timeout=self._timeout(header_values),
        )

    def _timeout(
        self, header_values: dict[bytes, bytes]
    ) -> datetime.timedelta:
        value = header_values.get(self._timeout_header)
        if value is None:
            return TIMEOUT_DEFAULT
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number) or number <= 0:
            text = (
                f"{self._names.timeout_ms} is {value!r},"
                " expected a finite number above 0"
            )
            raise _RequestError(verdict.Reason.BAD_REQUEST, text)
        return min(datetime.timedelta(milliseconds=number), TIMEOUT_MAX)

    def _end_to_end_headers(
        self, raw: caller_connection.RawHeaders
    ) -> messages.Headers:
        """Return the end-to-end headers, with the name of this service."""
        dropped = self._dropped_headers
        for name, value in raw:
            if name == b"connection":
                listed = (item.strip() for item in value.lower().split(b","))
                dropped = dropped.union(listed)
        kept = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in raw
            if name not in dropped
        ]
        kept.append((self._names.caller_service, self._caller_service()))
        return tuple(kept)

    def _failure_response(
        self, failure: verdict.Failure
    ) -> caller_connection.RawResponse:
        status = _status_code(failure)
        headers = [(b"content-type", b"text/plain; charset=utf-8")]
        if status == STATUS_UNAVAILABLE:
            wait = self._retry_jitter.delay_for(failure).total_seconds()
            headers.append((b"retry-after", f"{wait:.3f}".encode()))
        if status == STATUS_UNAUTHORISED:
            headers.append((b"www-authenticate", b"Bearer"))
        text = f"{failure.verdict.value}: {failure.message}\n"
        return self._response(status, headers, text.encode())

    def _response(
        self, status: int, headers: caller_connection.RawHeaders, body: bytes
    ) -> caller_connection.RawResponse:
        return caller_connection.RawResponse(
            status=status,
            headers=headers,
            body=body,
            close=self._shutdown.begun,
        )

    def _is_too_late(self) -> bool:
        if not self._shutdown.begun:
            return False
        return self._clock.monotonic() >= self._shutdown.forward_end


def _node_stops() -> verdict.Failure:
    return verdict.Failure(
        verdict.Verdict.NOT_RUN, verdict.Reason.DRAINING, "the node stops"
    )


def _status_code(failure: verdict.Failure) -> int:
    """Return the HTTP status of a failure.

    503 states that the request has not run and will not run, so it is used
    only if that is certain.
    """
    if failure.verdict is verdict.Verdict.NOT_RUN:
        return STATUSES_NOT_RUN.get(failure.reason, STATUS_UNAVAILABLE)
    if failure.reason is verdict.Reason.DEADLINE:
        return STATUS_TIMEOUT
    return STATUS_BAD_GATEWAY
