"""Entry ingress: takes requests to entries from callers over HTTP."""

from collections import abc
import datetime
import math
import typing

from balsamramp_core import dialect
from balsamramp_core import verdict
from balsamramp_core.resources import caller_limits
from balsamramp_node.calls import cancellation
from balsamramp_node.calls import entry_calls
from balsamramp_node.calls import return_time
from balsamramp_wire import messages

__all__ = ["EntryIngress", "make_application"]

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
RAW_HOP_HEADERS = frozenset(name.encode() for name in dialect.HOP_HEADERS)

Limits = abc.Callable[[], caller_limits.CallerLimits]
Scope = abc.Mapping[str, typing.Any]


class _RequestError(Exception):
    """The request is not acceptable."""

    def __init__(self, reason: verdict.Reason, text: str) -> None:
        super().__init__(text)
        self.failure = verdict.Failure(verdict.Verdict.NOT_RUN, reason, text)


class EntryIngress:
    """An ASGI application that answers every request to an entry.

    ``caller_service`` names the service of this VM, which targets are
    told whatever the caller says. While ``is_stopping``, each answer ends
    its connection.
    """

    def __init__(
        self,
        service: entry_calls.EntryCalls,
        names: dialect.Dialect,
        caller_service: abc.Callable[[], str],
        limits: Limits,
        is_stopping: abc.Callable[[], bool],
        returns: return_time.ReturnTime,
    ) -> None:
        self._calls = service
        self._names = names
        self._caller_service = caller_service
        self._limits = limits
        self._is_stopping = is_stopping
        self._returns = returns
        self._own_headers = frozenset(
            name.encode()
            for name in (names.caller_service, names.target, names.timeout_ms)
        )

    async def __call__(
        self,
        scope: Scope,
        receive: cancellation.Receive,
        send: cancellation.Send,
    ) -> None:
        try:
            request = await self._read(scope, receive)
        except _RequestError as error:
            await self._send_failure(send, error.failure)
            return
        reply = await self._calls.call(request)
        if isinstance(reply, messages.CallFailure):
            await self._send_failure(send, reply.failure)
            return
        await self._send_answer(send, reply)

    async def _read(
        self, scope: Scope, receive: cancellation.Receive
    ) -> entry_calls.EntryRequest:
        raw: list[tuple[bytes, bytes]] = scope["headers"]
        given = dict(raw)
        host = given.get(b"host", b"").decode("latin-1")
        if not host:
            text = "the request has no Host header"
            raise _RequestError(verdict.Reason.BAD_REQUEST, text)
        path: str = scope["raw_path"].decode("latin-1")
        if scope["query_string"]:
            path += "?" + scope["query_string"].decode("latin-1")
        timeout = self._timeout(given)
        request_id = given.get(self._names.request_id.encode(), b"")
        return entry_calls.EntryRequest(
            request_id=request_id.decode("latin-1"),
            host=host,
            method=scope["method"],
            path=path,
            headers=self._forwarded(raw),
            body=await self._body(receive),
            timeout=timeout,
        )

    def _timeout(self, given: dict[bytes, bytes]) -> datetime.timedelta:
        value = given.get(self._names.timeout_ms.encode())
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

    def _forwarded(self, raw: list[tuple[bytes, bytes]]) -> messages.Headers:
        """Return the headers that concern more than one connection."""
        left_out = RAW_HOP_HEADERS | self._own_headers
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

    async def _body(self, receive: cancellation.Receive) -> bytes:
        most = self._limits().body_max_bytes
        parts: list[bytes] = []
        size = 0
        while True:
            event = await receive()
            if event["type"] != "http.request":
                text = "the caller left before the end of the body"
                raise _RequestError(verdict.Reason.CANCELLED, text)
            part = event.get("body", b"")
            size += len(part)
            if size > most:
                text = f"body is over {most} bytes"
                raise _RequestError(verdict.Reason.TOO_LARGE, text)
            parts.append(part)
            if not event.get("more_body"):
                return b"".join(parts)

    async def _send_answer(
        self, send: cancellation.Send, answer: messages.CallAnswer
    ) -> None:
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in answer.headers
            if name not in dialect.HOP_HEADERS
        ]
        await self._send(send, answer.status, headers, answer.body)

    async def _send_failure(
        self, send: cancellation.Send, failure: verdict.Failure
    ) -> None:
        status = _status(failure)
        headers = [(b"content-type", b"text/plain; charset=utf-8")]
        if status == STATUS_UNAVAILABLE:
            wait = self._returns.after(failure).total_seconds()
            headers.append((b"retry-after", f"{wait:.3f}".encode()))
        text = f"{failure.verdict.value}: {failure.message}\n"
        await self._send(send, status, headers, text.encode())

    async def _send(
        self,
        send: cancellation.Send,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        headers.append((b"content-length", str(len(body)).encode()))
        if self._is_stopping():
            headers.append((b"connection", b"close"))
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": body})


def make_application(
    ingress: EntryIngress,
) -> cancellation.CancelOnDisconnect:
    """Return ``ingress`` with its calls cancelled when callers leave."""
    return cancellation.CancelOnDisconnect(ingress)


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
