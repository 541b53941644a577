"""Entry ingress: takes requests to entries from callers over HTTP."""

from collections import abc
import datetime
import math

from balsamramp_core import header_names
from balsamramp_core import verdict
from balsamramp_node.outbound import entry_proxy
from balsamramp_node.outbound import retry_after_jitter
from balsamramp_node.process import caller_connection
from balsamramp_wire import messages

__all__ = ["EntryIngress"]

TIMEOUT_DEFAULT = datetime.timedelta(seconds=5)
TIMEOUT_MAX = datetime.timedelta(minutes=10)
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
STATUS_BAD_GATEWAY = 502
STATUS_TIMEOUT = 504
STATUSES_NOT_RUN = {
    verdict.Reason.BAD_REQUEST: 400,
    verdict.Reason.TOO_LARGE: 413,
    verdict.Reason.UNKNOWN_SERVICE: STATUS_NOT_FOUND,
}
RAW_HOP_HEADERS = frozenset(
    name.encode() for name in header_names.HOP_BY_HOP_HEADERS
)


class _RequestError(Exception):
    """The request is not acceptable."""

    def __init__(self, reason: verdict.Reason, text: str) -> None:
        super().__init__(text)
        self.failure = verdict.Failure(verdict.Verdict.NOT_RUN, reason, text)


class EntryIngress:
    """Answers every request to an entry.

    ``caller_service`` names the service of this VM, which targets are
    told whatever the caller says. While ``is_stopping``, each answer ends
    its connection.
    """

    def __init__(
        self,
        service: entry_proxy.EntryProxy,
        names: header_names.HeaderNames,
        caller_service: abc.Callable[[], str],
        is_stopping: abc.Callable[[], bool],
        retry_jitter: retry_after_jitter.RetryAfterJitter,
    ) -> None:
        self._calls = service
        self._names = names
        self._caller_service = caller_service
        self._is_stopping = is_stopping
        self._returns = retry_jitter
        self._request_id_header = names.request_id.encode()
        self._timeout_header = names.timeout_ms.encode()
        own = (names.caller_service, names.target, names.timeout_ms)
        self._left_out = RAW_HOP_HEADERS.union(name.encode() for name in own)

    async def answer(
        self, raw: caller_connection.RawRequest
    ) -> caller_connection.RawResponse:
        """Return the answer to one request."""
        try:
            request = self._read(raw)
        except _RequestError as error:
            return self._failure(error.failure)
        reply = await self._calls.call(request)
        if isinstance(reply, messages.CallFailure):
            return self._failure(reply.failure)
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in reply.headers
            if name not in header_names.HOP_BY_HOP_HEADERS
        ]
        return self._response(reply.status, headers, reply.body)

    def _read(
        self, raw: caller_connection.RawRequest
    ) -> entry_proxy.EntryRequest:
        given = dict(raw.headers)
        host = given.get(b"host", b"").decode("latin-1")
        if not host:
            text = "the request has no Host header"
            raise _RequestError(verdict.Reason.BAD_REQUEST, text)
        request_id = given.get(self._request_id_header, b"")
        return entry_proxy.EntryRequest(
            request_id=request_id.decode("latin-1"),
            host=host,
            method=raw.method,
            path=raw.target.decode("latin-1"),
            headers=self._forwarded(raw.headers),
            body=raw.body,
            timeout=self._timeout(given),
        )

    def _timeout(self, given: dict[bytes, bytes]) -> datetime.timedelta:
        value = given.get(self._timeout_header)
        if value is None:
            return TIMEOUT_DEFAULT
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number) or number <= 0:
            text = f"{self._names.timeout_ms} is {value!r}"
            raise _RequestError(verdict.Reason.BAD_REQUEST, text)
        return min(datetime.timedelta(milliseconds=number), TIMEOUT_MAX)

    def _forwarded(
        self, raw: caller_connection.RawHeaders
    ) -> messages.Headers:
        """Return the headers that concern more than one connection."""
        left_out = self._left_out
        for name, value in raw:
            if name == b"connection":
                named = (item.strip() for item in value.lower().split(b","))
                left_out = left_out.union(named)
        kept = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in raw
            if name not in left_out
        ]
        kept.append((self._names.caller_service, self._caller_service()))
        return tuple(kept)

    def _failure(
        self, failure: verdict.Failure
    ) -> caller_connection.RawResponse:
        status = _status(failure)
        headers = [(b"content-type", b"text/plain; charset=utf-8")]
        if status == STATUS_UNAVAILABLE:
            wait = self._returns.delay_for(failure).total_seconds()
            headers.append((b"retry-after", f"{wait:.3f}".encode()))
        text = f"{failure.verdict.value}: {failure.message}\n"
        return self._response(status, headers, text.encode())

    def _response(
        self, status: int, headers: caller_connection.RawHeaders, body: bytes
    ) -> caller_connection.RawResponse:
        return caller_connection.RawResponse(
            status=status,
            headers=headers,
            body=body,
            close=self._is_stopping(),
        )


def _status(failure: verdict.Failure) -> int:
    """Return the status of a failure.

    503 says that the request has not run and will not, so only a request
    of which that is known gets it.
    """
    if failure.verdict is verdict.Verdict.NOT_RUN:
        return STATUSES_NOT_RUN.get(failure.reason, STATUS_UNAVAILABLE)
    if failure.reason is verdict.Reason.DEADLINE:
        return STATUS_TIMEOUT
    return STATUS_BAD_GATEWAY
