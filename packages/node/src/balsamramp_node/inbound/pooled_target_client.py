"""Pooled target client: calls targets on kept connections of its own."""

import asyncio
from collections import abc
import datetime
import errno
import typing

from absl import logging
import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import header_names
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import targets
from balsamramp_node.process import http_connection
from balsamramp_wire import messages

__all__ = ["PooledTargetClient"]

# A target on the same VM takes a connection at once or not at all; a full
# backlog drops the first packet, which is sent again after a second.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
# A health request waits for a slot like any other.
HEALTH_TIMEOUT = datetime.timedelta(seconds=1)
# Taken off the time handed on, for the way to the target and back.
HOP_ALLOWANCE = datetime.timedelta(milliseconds=2)
# Part of the stated keep-alive for which an idle connection is used again.
KEEP_ALIVE_PART = 0.6
# Used where a target states no keep-alive.
KEEP_ALIVE_DEFAULT = datetime.timedelta(seconds=2)
# A call that may not be repeated is sent only on a connection that was in
# use this lately, since a target may drop an idle one unseen.
FRESH_IDLE_MAX = datetime.timedelta(milliseconds=500)
STATUS_SUCCESS = range(200, 300)
STATUS_MISDIRECTED = 421

Refused = abc.Callable[[str], None]
Called = target_client.TargetCallResult


@attrs.define(eq=False)
class _Idle:
    connection: http_connection.HttpConnection
    since: datetime.timedelta


class PooledTargetClient(service_manager.Service, target_client.TargetClient):
    """Sends calls on a pool of connections for each target's address.

    ``on_connection_refused`` is called with the name of a target that takes no
    connection, ``on_misdirected`` with one at whose address another
    target answers.
    """

    name = "target-client"

    def __init__(
        self,
        names: header_names.HeaderNames,
        body_max_bytes: int,
        time: clock.Clock,
        counters: metrics.Metrics,
    ) -> None:
        self._names = names
        self._body_max_bytes = body_max_bytes
        self._clock = time
        self._metrics = counters
        self._idle: dict[str, list[_Idle]] = {}
        self.on_connection_refused: Refused = _ignore
        self.on_misdirected: Refused = _ignore

    async def stop(self) -> None:
        for idle in self._idle.values():
            for item in idle:
                item.connection.close()
        self._idle.clear()

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {url: len(items) for url, items in self._idle.items()}

    async def call(
        self,
        target: targets.Announcement,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
    ) -> Called:
        deadline = self._clock.monotonic() + time_left
        connection = await self._connection(target, request, time_left)
        if isinstance(connection, verdict.Failure):
            return result.Failure(connection)
        time_left = deadline - self._clock.monotonic()
        if time_left <= HOP_ALLOWANCE:
            self._keep(target.url, connection)
            return _failed(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.DEADLINE,
                "no time left once connected",
                offered=False,
            )
        return await self._exchange(target, request, time_left, connection)

    async def check_health(
        self, target: targets.Announcement, path: str
    ) -> targets.Health:
        """Ask a target whether it takes work."""
        address = settings.parse_address(target.url.removeprefix("http://"))
        request = f"GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n"
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT.total_seconds()):
                connection = await http_connection.HttpConnection.open(
                    address, self._body_max_bytes
                )
                answer = await connection.send_request(
                    request.encode(),
                    False,
                    lambda found: True,
                    HEALTH_TIMEOUT,
                )
        except (OSError, TimeoutError, http_connection.ResponseError) as error:
            logging.info("target %s is silent: %r", target.target, error)
            return targets.Health.UNKNOWN
        self._keep(target.url, connection)
        if answer.header(self._names.not_run) is not None:
            return targets.Health.UNKNOWN
        named = answer.header(self._names.answered_by)
        if named not in (None, target.target):
            return targets.Health.LEAVING
        if answer.status in STATUS_SUCCESS:
            return targets.Health.SERVING
        return targets.Health.LEAVING

    async def _exchange(
        self,
        target: targets.Announcement,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
        connection: http_connection.HttpConnection,
    ) -> Called:
        request_id = _value(request.headers, self._names.request_id)

        def accepts(answer: http_connection.HttpResponse) -> bool:
            echoed = answer.header(self._names.request_id)
            return echoed is None or echoed == request_id

        data = self._encode(target, request, time_left)
        try:
            answer = await connection.send_request(
                data, request.method == "HEAD", accepts, time_left
            )
        except TimeoutError:
            return _failed(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.DEADLINE,
                "no answer within the deadline",
            )
        except http_connection.ResponseError as error:
            self._metrics.count(
                "target_answers_lost_total", ending=error.ending.name.lower()
            )
            return _failed(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.TRUNCATED,
                f"no whole answer: {error}",
            )
        self._keep(target.url, connection)
        return self._judge(target, answer)

    def _judge(
        self,
        target: targets.Announcement,
        answer: http_connection.HttpResponse,
    ) -> Called:
        if answer.status == STATUS_MISDIRECTED:
            self.on_misdirected(target.target)
            return _failed(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.STALE_INCARNATION,
                f"another target answers at {target.url}",
            )
        if answer.header(self._names.not_run) is not None:
            return _failed(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.OVERLOADED,
                f"the target sheds with status {answer.status}",
            )
        proven = not self._names.response_signature or (
            answer.header(self._names.response_signature) is not None
        )
        if answer.status in STATUS_SUCCESS and not proven:
            return _failed(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.TRUNCATED,
                f"answer of status {answer.status} without its proof",
            )
        return result.Success(
            target_client.TargetResponse(
                status=answer.status,
                headers=answer.headers,
                body=answer.body,
            )
        )

    async def _connection(
        self,
        target: targets.Announcement,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
    ) -> http_connection.HttpConnection | verdict.Failure:
        known = self._take(target.url, request.idempotent)
        if known is not None:
            return known
        self._metrics.count("target_connects_total")
        wait = min(time_left, CONNECT_TIMEOUT)
        address = settings.parse_address(target.url.removeprefix("http://"))
        try:
            async with asyncio.timeout(wait.total_seconds()):
                return await http_connection.HttpConnection.open(
                    address, self._body_max_bytes
                )
        except (OSError, TimeoutError) as error:
            if getattr(error, "errno", None) == errno.ECONNREFUSED:
                self.on_connection_refused(target.target)
            return verdict.Failure(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.TARGET_FAILED,
                f"cannot connect: {error!r}",
            )

    def _take(
        self, url: str, repeatable: bool
    ) -> http_connection.HttpConnection | None:
        """Return an idle connection that is surely alive, or None."""
        now = self._clock.monotonic()
        idle = self._idle.get(url, [])
        while idle:
            item = idle[-1]
            if not item.connection.reusable:
                idle.pop()
                continue
            age = now - item.since
            if age > self._idle_max(item.connection):
                for old in idle:
                    old.connection.close()
                idle.clear()
                return None
            if not repeatable and age > FRESH_IDLE_MAX:
                return None
            idle.pop()
            return item.connection
        return None

    def _idle_max(
        self, connection: http_connection.HttpConnection
    ) -> datetime.timedelta:
        seconds = connection.keep_alive_seconds
        if seconds is None:
            return KEEP_ALIVE_DEFAULT
        return datetime.timedelta(seconds=seconds) * KEEP_ALIVE_PART

    def _keep(
        self, url: str, connection: http_connection.HttpConnection
    ) -> None:
        if not connection.reusable:
            connection.close()
            return
        now = self._clock.monotonic()
        self._idle.setdefault(url, []).append(_Idle(connection, now))

    def _encode(
        self,
        target: targets.Announcement,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
    ) -> bytes:
        shown = (time_left - HOP_ALLOWANCE) / datetime.timedelta(
            milliseconds=1
        )
        own = {
            self._names.timeout_ms: f"{max(shown, 1):.0f}",
            self._names.target: target.target,
        }
        lines = [f"{request.method} {request.path} HTTP/1.1"]
        for name, value in request.headers:
            if name not in own:
                lines.append(f"{name}: {value}")
        for name, value in own.items():
            lines.append(f"{name}: {value}")
        if request.body or request.method not in ("GET", "HEAD"):
            lines.append(f"content-length: {len(request.body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("latin-1") + request.body


def _ignore(target: str) -> None:
    return None


def _value(headers: messages.Headers, name: str) -> str | None:
    for known, value in headers:
        if known == name:
            return value
    return None


def _failed(
    ran: verdict.Verdict,
    reason: verdict.Reason,
    message: str,
    offered: bool = True,
) -> Called:
    return result.Failure(
        verdict.Failure(ran, reason, message, offered=offered)
    )
