"""Calls: takes a call from its caller to an answer or a verdict."""

import asyncio
import datetime
import uuid

import attrs

from balsamramp_core import clock
from balsamramp_core import kernel
from balsamramp_core import metrics
from balsamramp_core import verdict
from balsamramp_node import call_transport
from balsamramp_node import door
from balsamramp_node import picker
from balsamramp_node import router
from balsamramp_wire import messages

__all__ = ["CallerRequest", "Calls"]


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A call as it came from the caller."""

    service: str
    method: str
    path: str
    headers: messages.Headers
    body: bytes
    timeout: datetime.timedelta
    retries: int
    depth: int = 0
    idempotency_key: str = ""


class Calls(kernel.Service):
    """Picks a target, hands the call to its node, and tries again."""

    name = "calls"
    requires = ("door", "router")

    def __init__(
        self,
        node: str,
        routes: router.Router,
        targets: picker.TargetPicker,
        local_door: door.Door,
        streams: call_transport.CallTransport,
        time: clock.Clock,
        counters: metrics.Metrics,
    ) -> None:
        self._node = node
        self._router = routes
        self._picker = targets
        self._door = local_door
        self._streams = streams
        self._clock = time
        self._metrics = counters

    async def call(self, request: CallerRequest) -> call_transport.Reply:
        """Return the answer of a target, or a failure with a verdict."""
        call_id = uuid.uuid4().hex
        reply = await self._call(call_id, request)
        self._metrics.count("calls_total", verdict=_verdict_of(reply).value)
        return reply

    async def _call(
        self, call_id: str, request: CallerRequest
    ) -> call_transport.Reply:
        resolved = self._router.resolve(request.service, request.path)
        match resolved.value_or(None):
            case None:
                return _failed(call_id, resolved.failure())
            case found:
                pass
        deadline = self._clock.monotonic() + request.timeout
        idempotent = request.method in found.service.idempotent_methods
        tried: set[str] = set()
        retries = request.retries
        reply: call_transport.Reply | None = None
        while True:
            candidates = [
                candidate
                for candidate in self._router.candidates(
                    found, call_id, bool(tried)
                )
                if candidate.record.target not in tried
            ]
            left = deadline - self._clock.monotonic()
            if not candidates or left <= datetime.timedelta():
                return reply or _no_target(call_id, request.service)
            chosen = self._picker.pick(candidates)
            tried.add(chosen.record.target)
            message = _message(
                call_id, request, chosen, left, retries, idempotent
            )
            reply = await self._attempt(chosen, message)
            if isinstance(reply, messages.CallAnswer):
                return reply
            if not _may_retry(reply.failure, idempotent) or retries <= 0:
                return reply
            retries -= 1
            self._metrics.count("retries_total")

    async def _attempt(
        self, chosen: picker.Candidate, message: messages.CallRequest
    ) -> call_transport.Reply:
        chosen.stats.in_flight += 1
        try:
            async with asyncio.timeout(message.timeout.total_seconds()):
                if chosen.member.node == self._node:
                    reply = await self._door.submit(message)
                else:
                    reply = await self._streams.call(
                        chosen.member.stream, message
                    )
        except TimeoutError:
            return _failed(
                message.call_id,
                verdict.Failure(
                    verdict.Verdict.MAY_HAVE_RUN,
                    verdict.Reason.DEADLINE,
                    "no answer within the deadline",
                ),
            )
        finally:
            chosen.stats.in_flight -= 1
        chosen.stats.load = reply.load
        return reply


def _message(
    call_id: str,
    request: CallerRequest,
    chosen: picker.Candidate,
    left: datetime.timedelta,
    retries: int,
    idempotent: bool,
) -> messages.CallRequest:
    return messages.CallRequest(
        call_id=call_id,
        service=chosen.record.service,
        target=chosen.record.target,
        incarnation=chosen.member.incarnation,
        method=request.method,
        path=request.path,
        headers=request.headers,
        timeout=left,
        idempotent=idempotent,
        idempotency_key=request.idempotency_key,
        retries=retries,
        depth=request.depth,
        body=request.body,
    )


def _may_retry(failure: verdict.Failure, idempotent: bool) -> bool:
    if failure.verdict is verdict.Verdict.NOT_RUN:
        return True
    return idempotent and failure.verdict is verdict.Verdict.MAY_HAVE_RUN


def _no_target(call_id: str, service: str) -> messages.CallFailure:
    return _failed(
        call_id,
        verdict.Failure(
            verdict.Verdict.NOT_RUN,
            verdict.Reason.NO_TARGET,
            f"no target of {service} matches and takes work",
        ),
    )


def _failed(call_id: str, failure: verdict.Failure) -> messages.CallFailure:
    return messages.CallFailure(
        call_id=call_id, failure=failure, load=messages.Load(0, 0)
    )


def _verdict_of(reply: call_transport.Reply) -> verdict.Verdict:
    if isinstance(reply, messages.CallAnswer):
        return verdict.Verdict.RAN
    return reply.failure.verdict
