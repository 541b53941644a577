"""Receives calls from callers over HTTP."""

from collections import abc
import datetime
import math
import typing

import attrs
import falcon
import falcon.asgi
import msgspec

from balsamramp_core import verdict
from balsamramp_node.outbound import call_proxy
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import cancellation
from balsamramp_wire import messages

__all__ = ["IngressDefaults", "make_application"]


SERVICE_HEADER = "balsamramp-service"
DEADLINE_HEADER = "balsamramp-deadline-ms"
RETRIES_HEADER = "balsamramp-retries"
DEPTH_HEADER = "balsamramp-depth"
IDEMPOTENCY_HEADER = "idempotency-key"
REQUEST_ID_HEADER = "balsamramp-request-id"
VERDICT_HEADER = "balsamramp-verdict"
REASON_HEADER = "balsamramp-reason"
DEPTH_MAX = 16
TIMEOUT_MAX = datetime.timedelta(minutes=10)

HOP_BY_HOP_HEADERS = frozenset(
    [
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)
STATUSES = {
    verdict.Reason.BAD_REQUEST: 400,
    verdict.Reason.UNKNOWN_SERVICE: 404,
    verdict.Reason.DUPLICATE: 409,
    verdict.Reason.TOO_LARGE: 413,
    verdict.Reason.CANCELLED: 499,
    verdict.Reason.CONNECTION_LOST: 502,
    verdict.Reason.TARGET_FAILED: 502,
    verdict.Reason.TRUNCATED: 502,
    verdict.Reason.DEADLINE: 504,
}
STATUS_UNAVAILABLE = 503


@attrs.frozen
class IngressDefaults:
    """Defaults of calls that do not set the headers, and limits.

    ``retries`` is also the maximum that a caller can request.
    """

    timeout: datetime.timedelta
    retries: int
    body_max_bytes: int


class _CallError(Exception):
    """The call's headers or body are invalid."""

    reason = verdict.Reason.BAD_REQUEST


class _BodyTooLargeError(_CallError):
    """The call's body is over the limit."""

    reason = verdict.Reason.TOO_LARGE


class _Ingress:
    def __init__(
        self, proxy: call_proxy.CallProxy, defaults: IngressDefaults
    ) -> None:
        self._proxy = proxy
        self._defaults = defaults

    async def __call__(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response | None,
        **parameters: typing.Any,
    ) -> None:
        assert resp is not None
        try:
            request = await self._parse(req)
        except _CallError as error:
            failure = verdict.Failure(
                verdict.Verdict.NOT_RUN, error.reason, str(error)
            )
            _write_failure(resp, "", failure)
            return
        reply = await self._proxy.call(request)
        _write_reply(resp, reply)

    async def _parse(
        self, req: falcon.asgi.Request
    ) -> call_proxy.IngressRequest:
        host = req.get_header("host") or ""
        service = req.get_header(SERVICE_HEADER) or host.partition(":")[0]
        if not service:
            raise _CallError(
                f"neither header {SERVICE_HEADER} nor host is set"
            )
        return call_proxy.IngressRequest(
            service=service,
            method=req.method,
            path=_path(req),
            headers=_end_to_end_headers(req.headers),
            body=await self._read_body(req),
            timeout=self._timeout(req),
            retries=self._retries(req),
            depth=_integer_header(req, DEPTH_HEADER, 0, DEPTH_MAX),
            idempotency_key=req.get_header(IDEMPOTENCY_HEADER) or "",
        )

    async def _read_body(self, req: falcon.asgi.Request) -> bytes:
        limit = self._defaults.body_max_bytes
        if (req.content_length or 0) > limit:
            raise _BodyTooLargeError(f"body is over {limit} bytes")
        body = await req.bounded_stream.read(limit + 1)
        if len(body) > limit:
            raise _BodyTooLargeError(f"body is over {limit} bytes")
        return bytes(body)

    def _timeout(self, req: falcon.asgi.Request) -> datetime.timedelta:
        value = req.get_header(DEADLINE_HEADER)
        if value is None:
            return self._defaults.timeout
        try:
            number = float(value)
        except ValueError as error:
            raise _CallError(
                f"{DEADLINE_HEADER} is {value!r}, expected milliseconds"
            ) from error
        if not math.isfinite(number) or number <= 0:
            raise _CallError(
                f"{DEADLINE_HEADER} is {value!r},"
                " expected a finite number above 0"
            )
        if number > TIMEOUT_MAX.total_seconds() * 1000:
            return TIMEOUT_MAX
        return datetime.timedelta(milliseconds=number)

    def _retries(self, req: falcon.asgi.Request) -> int:
        default = self._defaults.retries
        value = _integer_header(req, RETRIES_HEADER, default, None)
        return min(value, default)


def make_application(
    proxy: call_proxy.CallProxy, defaults: IngressDefaults
) -> cancellation.CancelOnDisconnect:
    """Return the ASGI application for callers."""
    application = falcon.asgi.App()
    application.add_sink(_Ingress(proxy, defaults), prefix="/")
    return cancellation.CancelOnDisconnect(application)


def _path(req: falcon.asgi.Request) -> str:
    raw = req.scope.get("raw_path") or req.path.encode()
    path = raw.partition(b"?")[0].decode("ascii", errors="replace")
    query = f"?{req.query_string}" if req.query_string else ""
    return str(path) + query


def _integer_header(
    req: falcon.asgi.Request, header: str, default: int, maximum: int | None
) -> int:
    value = req.get_header(header)
    if value is None:
        return default
    if not value.isascii() or not value.isdigit():
        raise _CallError(
            f"{header} is {value!r}, expected a non-negative integer"
        )
    if maximum is not None and int(value) > maximum:
        raise _CallError(f"{header} is {value}, the maximum is {maximum}")
    return int(value)


def _end_to_end_headers(headers: abc.Mapping[str, str]) -> messages.Headers:
    kept = []
    for name, value in headers.items():
        lower = name.lower()
        if lower in HOP_BY_HOP_HEADERS:
            continue
        kept.append((lower, value))
    return tuple(kept)


def _write_reply(
    resp: falcon.asgi.Response, reply: call_transport.Reply
) -> None:
    if isinstance(reply, messages.CallFailure):
        _write_failure(resp, reply.call_id, reply.failure)
        return
    resp.status = reply.status
    for name, value in reply.headers:
        if name.lower() in HOP_BY_HOP_HEADERS:
            continue
        if name.lower() == "set-cookie":
            resp.append_header(name, value)
            continue
        resp.set_header(name, value)
    resp.set_header(REQUEST_ID_HEADER, reply.call_id)
    resp.set_header(VERDICT_HEADER, verdict.Verdict.RAN.value)
    resp.data = reply.body


def _write_failure(
    resp: falcon.asgi.Response, call_id: str, failure: verdict.Failure
) -> None:
    resp.status = STATUSES.get(failure.reason, STATUS_UNAVAILABLE)
    resp.content_type = falcon.MEDIA_JSON
    resp.set_header(REQUEST_ID_HEADER, call_id)
    resp.set_header(VERDICT_HEADER, failure.verdict.value)
    resp.set_header(REASON_HEADER, failure.reason.value)
    if failure.retry_after is not None:
        seconds = math.ceil(failure.retry_after.total_seconds())
        resp.set_header("retry-after", str(seconds))
    resp.data = msgspec.json.encode(
        {
            "request_id": call_id,
            "verdict": failure.verdict,
            "reason": failure.reason,
            "message": failure.message,
        }
    )
