"""Calls targets of this VM over pooled HTTP connections."""

import asyncio
from collections import abc
import datetime
import errno
import typing
import weakref

from absl import logging
import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import header_names
from balsamramp_core import local_errors
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import target_statement
from balsamramp_node.inbound import targets
from balsamramp_node.process import body_budget
from balsamramp_node.process import caller_presence
from balsamramp_node.process import http_connection
from balsamramp_wire import messages

__all__ = ["PooledTargetClient"]

# A target on the same VM accepts a connection at once or not at all. A full
# backlog drops the SYN, which the kernel retransmits only after a second.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
# Allows for queueing: a health request waits for a slot like any other.
HEALTH_TIMEOUT = datetime.timedelta(seconds=1)
# Subtracted from the timeout sent to the target, for the round trip.
HOP_ALLOWANCE = datetime.timedelta(milliseconds=2)
# Share of the keep-alive time stated by the target during which an idle
# connection is reused.
KEEP_ALIVE_SHARE = 0.6
# Used if the target states no keep-alive time.
KEEP_ALIVE_DEFAULT_TIMEOUT = datetime.timedelta(seconds=2)
# A call that is not idempotent reuses only connections idle for at most this
# long, since a target may close an idle connection before the node notices.
FRESH_IDLE_MAX = datetime.timedelta(milliseconds=500)
MALFORMED_LOG_SECONDS = 10
STATUS_SUCCESS = range(200, 300)
STATUS_MISDIRECTED = 421

TargetCallback = abc.Callable[[str], None]
StatementCallback = abc.Callable[
    [
        targets.Announcement,
        target_statement.TargetStatement,
        datetime.timedelta,
    ],
    None,
]
CallResult = target_client.TargetCallResult


@attrs.define(eq=False)
class _IdleConnection:
    connection: http_connection.HttpConnection
    idle_since: datetime.timedelta


class PooledTargetClient(service_manager.Service, target_client.TargetClient):
    """Sends calls over a pool of connections for each target address.

    ``on_connection_refused`` is called with the name of a target that
    refuses connections, ``on_misdirected`` with the name of a target at
    whose address another target responds. ``on_statement`` is called with
    what a target states in a response, and when its request was sent.

    Targets echo the identifier of the request. On a connection on which one
    did so, a response without it proves nothing about the request.
    """

    name = "target-client"

    def __init__(
        self,
        names: header_names.HeaderNames,
        body_max_bytes: int,
        time: clock.Clock,
        counters: metrics.Metrics,
        budget: body_budget.BodyBudget | None = None,
    ) -> None:
        self._names = names
        self._budget = budget
        self._body_max_bytes = body_max_bytes
        self._clock = time
        self._metrics = counters
        self._idle: dict[str, list[_IdleConnection]] = {}
        self._echoing: weakref.WeakSet[http_connection.HttpConnection]
        self._echoing = weakref.WeakSet()
        self.on_connection_refused: TargetCallback = _ignore
        self.on_misdirected: TargetCallback = _ignore
        self.on_statement: StatementCallback = _ignore_statement

    async def stop(self) -> None:
        for idle in self._idle.values():
            for entry in idle:
                entry.connection.close()
        self._idle.clear()

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {url: len(items) for url, items in self._idle.items()}

    async def call(
        self,
        target: targets.Announcement,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
    ) -> CallResult:
        deadline = self._clock.monotonic() + time_left
        connection = await self._acquire_connection(target, request, time_left)
        if isinstance(connection, verdict.Failure):
            return result.Failure(connection)
        if connection.is_new:
            await self._confirm_caller(target, connection)
        time_left = deadline - self._clock.monotonic()
        if time_left <= HOP_ALLOWANCE:
            self._return_to_pool(target.url, connection)
            return _failure_result(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.DEADLINE,
                "deadline passed while connecting to the target",
                offered=False,
            )
        return await self._exchange(target, request, time_left, connection)

    async def _confirm_caller(
        self,
        target: targets.Announcement,
        connection: http_connection.HttpConnection,
    ) -> None:
        """Keep a connection unused if the caller left while it was opened."""
        try:
            await caller_presence.read_sockets()
            await caller_presence.confirm()
        except asyncio.CancelledError:
            self._return_to_pool(target.url, connection)
            raise

    async def check_health(
        self, target: targets.Announcement, path: str
    ) -> targets.Health:
        """Request the health of ``target`` at ``path``."""
        address = settings.parse_address(target.url.removeprefix("http://"))
        request = f"GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n"
        sent_at = self._clock.monotonic()
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT.total_seconds()):
                connection = await http_connection.HttpConnection.open(
                    address, self._body_max_bytes, self._budget
                )
                response = await connection.send_request(
                    request.encode(),
                    False,
                    lambda _response: True,
                    HEALTH_TIMEOUT,
                )
        except (OSError, TimeoutError, http_connection.ResponseError) as error:
            logging.info(
                "health check of target %s failed: %r",
                target.target,
                error,
            )
            return _health_of_failure(error)
        if response.status in STATUS_SUCCESS:
            self._return_to_pool(target.url, connection)
        else:
            connection.close()
        if response.header(self._names.not_run) is not None:
            return targets.Health.UNKNOWN
        answered_by = response.header(self._names.answered_by)
        if answered_by not in (None, target.target):
            return targets.Health.LEAVING
        if self._report_health_statement(target, response, sent_at):
            return targets.Health.LEAVING
        if response.status in STATUS_SUCCESS:
            return targets.Health.SERVING
        return targets.Health.UNHEALTHY

    async def _exchange(
        self,
        target: targets.Announcement,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
        connection: http_connection.HttpConnection,
    ) -> CallResult:
        request_id = _header_value(request.headers, self._names.request_id)

        def is_own_response(response: http_connection.HttpResponse) -> bool:
            echoed_id = response.header(self._names.request_id)
            return echoed_id is None or echoed_id == request_id

        data = self._encode(target, request, time_left)
        sent_at = self._clock.monotonic()
        try:
            response = await connection.send_request(
                data, request.method == "HEAD", is_own_response, time_left
            )
        except TimeoutError:
            return _failure_result(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.DEADLINE,
                "no response within the deadline",
            )
        except http_connection.ResponseError as error:
            self._metrics.count(
                "target_answers_lost_total", ending=error.failure.name.lower()
            )
            return _failure_result(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.TRUNCATED,
                f"no whole answer: {error}",
            )
        if response.header(self._names.request_id) is not None:
            self._echoing.add(connection)
        elif connection in self._echoing:
            # It may be a copy of the response to an earlier request.
            connection.close()
            self._metrics.count(
                "target_answers_lost_total", ending="unidentified"
            )
            return _failure_result(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.TRUNCATED,
                f"response with status {response.status} lacks the request's"
                " identifier",
            )
        self._return_to_pool(target.url, connection)
        if response.status != STATUS_MISDIRECTED:
            self._report_statement(target, response, sent_at)
        return self._to_result(target, response)

    def _report_statement(
        self,
        target: targets.Announcement,
        response: http_connection.HttpResponse,
        sent_at: datetime.timedelta,
    ) -> target_statement.TargetStatement | None:
        """Pass on what the target states; ignore what is malformed."""
        try:
            statement = target_statement.parse_statement(
                response.headers, self._names
            )
        except target_statement.StatementError as error:
            self._metrics.count("statements_malformed_total")
            logging.log_every_n_seconds(
                logging.WARNING,
                "ignored a statement of target %s: %s",
                MALFORMED_LOG_SECONDS,
                target.target,
                error,
            )
            return None
        self.on_statement(target, statement, sent_at)
        return statement

    def _report_health_statement(
        self,
        target: targets.Announcement,
        response: http_connection.HttpResponse,
        sent_at: datetime.timedelta,
    ) -> bool:
        """Pass on a limit that is stated; return whether the target leaves.

        That a health response states no limit doesn't mean that there is
        none.
        """
        stated = {self._names.rate_limit, self._names.leaving}
        if not any(name in stated for name, _ in response.headers):
            return False
        statement = self._report_statement(target, response, sent_at)
        return statement is not None and statement.leaving

    def _to_result(
        self,
        target: targets.Announcement,
        response: http_connection.HttpResponse,
    ) -> CallResult:
        if response.status == STATUS_MISDIRECTED:
            self.on_misdirected(target.target)
            return _failure_result(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.STALE_INCARNATION,
                f"another target responds at {target.url}",
            )
        if response.header(self._names.not_run) is not None:
            return _failure_result(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.OVERLOADED,
                f"target shed the call with status {response.status}",
            )
        is_signed = not self._names.response_signature or (
            response.header(self._names.response_signature) is not None
        )
        if response.status in STATUS_SUCCESS and not is_signed:
            return _failure_result(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.TRUNCATED,
                f"response with status {response.status} lacks its signature",
            )
        return result.Success(
            target_client.TargetResponse(
                status=response.status,
                headers=response.headers,
                body=response.body,
            )
        )

    async def _acquire_connection(
        self,
        target: targets.Announcement,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
    ) -> http_connection.HttpConnection | verdict.Failure:
        pooled = self._pop_idle(target.url, request.idempotent)
        if pooled is not None:
            return pooled
        self._metrics.count("target_connects_total")
        wait = min(time_left, CONNECT_TIMEOUT)
        address = settings.parse_address(target.url.removeprefix("http://"))
        try:
            async with asyncio.timeout(wait.total_seconds()):
                return await http_connection.HttpConnection.open(
                    address, self._body_max_bytes, self._budget
                )
        except (OSError, TimeoutError) as error:
            if local_errors.is_local(error):
                raise target_client.LocalLimitError(repr(error)) from error
            if getattr(error, "errno", None) == errno.ECONNREFUSED:
                self.on_connection_refused(target.target)
            return verdict.Failure(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.TARGET_FAILED,
                f"cannot connect: {error!r}",
            )

    def _pop_idle(
        self, url: str, idempotent_call: bool
    ) -> http_connection.HttpConnection | None:
        """Return an idle connection that is unlikely to be closed, or None."""
        now = self._clock.monotonic()
        idle = self._idle.get(url, [])
        while idle:
            entry = idle[-1]
            if not entry.connection.reusable:
                idle.pop()
                continue
            idle_for = now - entry.idle_since
            if idle_for > self._max_idle_time(entry.connection):
                for stale in idle:
                    stale.connection.close()
                idle.clear()
                return None
            if not idempotent_call and idle_for > FRESH_IDLE_MAX:
                return None
            idle.pop()
            return entry.connection
        return None

    def _max_idle_time(
        self, connection: http_connection.HttpConnection
    ) -> datetime.timedelta:
        seconds = connection.keep_alive_seconds
        if seconds is None:
            return KEEP_ALIVE_DEFAULT_TIMEOUT
        return datetime.timedelta(seconds=seconds) * KEEP_ALIVE_SHARE

    def _return_to_pool(
        self, url: str, connection: http_connection.HttpConnection
    ) -> None:
        if not connection.reusable:
            connection.close()
            return
        now = self._clock.monotonic()
        self._idle.setdefault(url, []).append(_IdleConnection(connection, now))

    def _encode(
        self,
        target: targets.Announcement,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
    ) -> bytes:
        remaining_ms = (time_left - HOP_ALLOWANCE) / datetime.timedelta(
            milliseconds=1
        )
        node_headers = {
            self._names.timeout_ms: f"{max(remaining_ms, 1):.0f}",
            self._names.target: target.target,
        }
        lines = [f"{request.method} {request.path} HTTP/1.1"]
        for name, value in request.headers:
            if name not in node_headers:
                lines.append(f"{name}: {value}")
        for name, value in node_headers.items():
            lines.append(f"{name}: {value}")
        if request.body or request.method not in ("GET", "HEAD"):
            lines.append(f"content-length: {len(request.body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("latin-1") + request.body


def _ignore(target: str) -> None:
    return None


def _ignore_statement(
    target: targets.Announcement,
    statement: target_statement.TargetStatement,
    sent_at: datetime.timedelta,
) -> None:
    return None


def _health_of_failure(error: Exception) -> targets.Health:
    """Return what a health check without a response tells."""
    if (
        isinstance(error, http_connection.ResponseError)
        and error.failure is http_connection.ResponseFailure.INVALID_STATUS
    ):
        return targets.Health.UNHEALTHY
    return targets.Health.UNKNOWN


def _header_value(headers: messages.Headers, name: str) -> str | None:
    for header, value in headers:
        if header == name:
            return value
    return None


def _failure_result(
    call_verdict: verdict.Verdict,
    reason: verdict.Reason,
    message: str,
    offered: bool = True,
) -> CallResult:
    return result.Failure(
        verdict.Failure(call_verdict, reason, message, offered=offered)
    )
