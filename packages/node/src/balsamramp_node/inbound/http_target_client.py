"""Calls a target of this VM over HTTP."""

import datetime

import aiohttp
from returns import result
import yarl

from balsamramp_core import http_status
from balsamramp_core import local_errors
from balsamramp_core import service_manager
from balsamramp_core import verdict
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import targets
from balsamramp_wire import messages

__all__ = ["HttpTargetClient"]

CONNECTIONS_MAX = 100
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=500)
KEEPALIVE_TIMEOUT = datetime.timedelta(seconds=2)
HOP_ALLOWANCE = datetime.timedelta(milliseconds=2)
NOT_RUN_HEADER = "balsamramp-not-run"
DEADLINE_HEADER = "balsamramp-deadline-ms"
RETRIES_HEADER = "balsamramp-retries"
DEPTH_HEADER = "balsamramp-depth"
NODE_HEADERS = frozenset([DEADLINE_HEADER, RETRIES_HEADER, DEPTH_HEADER])
AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
BODILESS_STATUSES = frozenset([204, 304])


class _CheckedResponse(aiohttp.ClientResponse):
    """Closes the connection of a response whose status is not HTTP.

    One without a body is back in the pool before the status can be read.
    """

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        protocol = connection.protocol
        await super().start(connection)
        if protocol is not None and not http_status.is_final(self.status):
            protocol.close()
        return self


class HttpTargetClient(service_manager.Service, target_client.TargetClient):
    """Calls targets with an HTTP client session."""

    name = "target-client"

    def __init__(self, body_max_bytes: int) -> None:
        self._body_max_bytes = body_max_bytes
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=CONNECTIONS_MAX,
            keepalive_timeout=KEEPALIVE_TIMEOUT.total_seconds(),
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=AUTOMATIC_HEADERS,
            response_class=_CheckedResponse,
        )
        # aiohttp retries a request with an idempotent HTTP method when the
        # pooled connection was closed. Only the settings of the service
        # decide whether a call may be repeated.
        self._session._retry_connection = False

    async def stop(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        target: targets.Announcement,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
    ) -> target_client.TargetCallResult:
        assert self._session is not None
        wait = time_left.total_seconds()
        timeout = aiohttp.ClientTimeout(
            total=wait, connect=min(wait, CONNECT_TIMEOUT.total_seconds())
        )
        try:
            async with self._session.request(
                request.method,
                yarl.URL(target.url + request.path, encoded=True),
                headers=_headers(request, time_left),
                data=request.body or None,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return await self._read_response(response)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            if local_errors.is_local(error):
                raise target_client.LocalLimitError(repr(error)) from error
            return _failure_result(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.TARGET_FAILED,
                f"cannot connect: {error}",
            )
        except TimeoutError:
            return _failure_result(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.DEADLINE,
                "no response within the deadline",
            )
        except aiohttp.ClientPayloadError as error:
            return _truncated_result(f"response truncated: {error}")
        except aiohttp.ClientError as error:
            return _failure_result(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.TARGET_FAILED,
                f"no whole answer: {error!r}",
            )

    async def _read_response(
        self, response: aiohttp.ClientResponse
    ) -> target_client.TargetCallResult:
        chunks = []
        size_bytes = 0
        if not http_status.is_final(response.status):
            response.close()
            return _truncated_result(
                f"status that is not HTTP: {response.status:03}"
            )
        if not _has_length(response):
            response.close()
            return _truncated_result(
                "response has neither Content-Length nor chunked encoding"
            )
        async for chunk in response.content.iter_any():
            chunks.append(chunk)
            size_bytes += len(chunk)
            if size_bytes <= self._body_max_bytes:
                continue
            response.close()
            return _failure_result(
                verdict.Verdict.RAN,
                verdict.Reason.TOO_LARGE,
                f"response body exceeds {self._body_max_bytes} bytes",
            )
        if response.headers.get(NOT_RUN_HEADER) == "true":
            return _failure_result(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.OVERLOADED,
                f"target shed the call with status {response.status}",
            )
        headers = tuple(
            (str(name), value) for name, value in response.headers.items()
        )
        target_response = target_client.TargetResponse(
            status=response.status, headers=headers, body=b"".join(chunks)
        )
        return result.Success(target_response)


def _headers(
    request: messages.CallRequest, time_left: datetime.timedelta
) -> list[tuple[str, str]]:
    remaining_ms = (
        max(time_left - HOP_ALLOWANCE, HOP_ALLOWANCE).total_seconds() * 1000
    )
    headers = [item for item in request.headers if item[0] not in NODE_HEADERS]
    headers.append((DEADLINE_HEADER, f"{remaining_ms:.0f}"))
    headers.append((RETRIES_HEADER, str(request.retries)))
    headers.append((DEPTH_HEADER, str(request.depth + 1)))
    return headers


def _has_length(response: aiohttp.ClientResponse) -> bool:
    if response.method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    if "Content-Length" in response.headers:
        return True
    transfer_coding = response.headers.get("Transfer-Encoding", "")
    return transfer_coding.lower().endswith("chunked")


def _truncated_result(message: str) -> target_client.TargetCallResult:
    return _failure_result(
        verdict.Verdict.MAY_HAVE_RUN, verdict.Reason.TRUNCATED, message
    )


def _failure_result(
    call_verdict: verdict.Verdict, reason: verdict.Reason, message: str
) -> target_client.TargetCallResult:
    return result.Failure(verdict.Failure(call_verdict, reason, message))
