"""Calls: takes a call from its caller to an answer or a verdict."""

import asyncio
import datetime
import itertools
import uuid

import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import verdict
from balsamramp_node.inbound import idempotency_store
from balsamramp_node.inbound import inbound_handler
from balsamramp_node.outbound import call_dispatcher
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import picker
from balsamramp_node.outbound import router
from balsamramp_wire import messages

__all__ = ["IngressRequest", "CallProxy"]

REFUSALS_MAX = 2
FAILED_STATUS_MIN = 500
# A door that is closed says nothing of the others: all are tried, since what
# this node knows of versions, zones and targets may be older than the door's.
CLOSED_REASONS = frozenset(
    [
        verdict.Reason.DRAINING,
        verdict.Reason.VERSION_EXCLUDED,
        verdict.Reason.ZONE_OUT_OF_SERVICE,
    ]
)
FAILED_REASONS = frozenset(
    [
        verdict.Reason.CONNECTION_LOST,
        verdict.Reason.DEADLINE,
        verdict.Reason.STALE_INCARNATION,
        verdict.Reason.TARGET_FAILED,
        verdict.Reason.TRUNCATED,
    ]
)


@attrs.frozen(kw_only=True)
class IngressRequest:
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


class CallProxy(service_manager.Service):
    """Picks a target, hands the call to its node, and tries again.

    ``call_prefix`` must be unique to this start of this node.
    """

    name = "calls"
    requires = ("door", "router")

    def __init__(
        self,
        node: str,
        routes: router.Router,
        targets: picker.TargetPicker,
        local_handler: inbound_handler.InboundHandler,
        streams: call_transport.CallTransport,
        key_store: idempotency_store.IdempotencyStore,
        time: clock.Clock,
        counters: metrics.Metrics,
        call_prefix: str = "",
    ) -> None:
        self._submission = call_dispatcher.CallDispatcher(
            node, local_handler, streams
        )
        self._call_prefix = call_prefix or f"{uuid.uuid4().hex}-"
        self._call_numbers = itertools.count()
        self._router = routes
        self._picker = targets
        self._key_store = key_store
        self._clock = time
        self._metrics = counters

    async def call(self, request: IngressRequest) -> call_transport.Reply:
        """Return the answer of a target, or a failure with a verdict."""
        call_id = f"{self._call_prefix}{next(self._call_numbers):x}"
        reply = await self._call(call_id, request)
        self._metrics.count("calls_total", verdict=_verdict_of(reply).value)
        return reply

    async def _call(
        self, call_id: str, request: IngressRequest
    ) -> call_transport.Reply:
        resolved = self._router.resolve(request.service, request.path)
        if isinstance(resolved, result.Failure):
            failure = _doubtful(request, resolved.failure())
            return _failed(call_id, failure)
        found = resolved.unwrap()
        call = _Call(
            call_id=call_id,
            request=request,
            deadline=self._clock.monotonic() + request.timeout,
            idempotent=request.method in found.service.idempotent_methods,
            retries=request.retries,
        )
        if idempotency_store.needs_deduplication(
            call.idempotent, request.idempotency_key
        ):
            return await self._call_home(call, found)
        while True:
            chosen = self._pick(call, found)
            if chosen is None:
                break
            reply = await self._attempt(call, chosen)
            if isinstance(reply, messages.CallAnswer):
                return reply
            call.note(reply)
            if not call.may_retry(reply.failure):
                break
            self._metrics.count("retries_total")
        return call.worst or _no_target(call_id, request.service)

    async def _call_home(
        self, call: "_Call", resolved: router.ResolvedRoute
    ) -> call_transport.Reply:
        """Call the home of the key alone.

        A refusal does not say that nothing ran, since the key may have
        been used before; the caller may repeat the call with its key.
        """
        chosen = self._pick(call, resolved)
        if chosen is None:
            failure = verdict.Failure(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.DUPLICATE,
                "the home of the key is away",
            )
            return _failed(call.call_id, failure)
        reply = await self._attempt(call, chosen)
        if isinstance(reply, messages.CallAnswer):
            return reply
        if reply.failure.verdict is not verdict.Verdict.NOT_RUN:
            return reply
        failure = attrs.evolve(
            reply.failure, verdict=verdict.Verdict.MAY_HAVE_RUN
        )
        return attrs.evolve(reply, failure=failure)

    def _pick(
        self, call: "_Call", resolved: router.ResolvedRoute
    ) -> picker.Candidate | None:
        now = self._clock.monotonic()
        if call.deadline <= now:
            return None
        key = call.request.idempotency_key
        keyed = idempotency_store.needs_deduplication(call.idempotent, key)
        candidates = [
            candidate
            for candidate in self._router.candidates(
                resolved,
                key if keyed else call.call_id,
                bool(call.tried),
            )
            if candidate.record.target not in call.tried
        ]
        if not candidates:
            return None
        if keyed:
            return self._key_store.find_owner(
                resolved.service.name, key, candidates
            )
        return self._picker.pick(candidates, now)

    async def _attempt(
        self, call: "_Call", chosen: picker.Candidate
    ) -> call_transport.Reply:
        call.tried.add(chosen.record.target)
        started = self._clock.monotonic()
        message = call.message(chosen, started)
        stats = chosen.stats
        stats.record_start(started)
        try:
            reply = await self._submission.submit(message, chosen)
        except asyncio.CancelledError:
            stats.record_cancelled()
            raise
        now = self._clock.monotonic()
        stats.record_result(now, now - started, _sign_of(reply), reply.load)
        return reply


@attrs.define(kw_only=True)
class _Call:
    """A call on its way: what was tried and what is left.

    ``retries`` is the budget that is left. Each message to a target
    hands half of it on, for the calls which the target makes in turn;
    the part handed on comes back only if the target has not run. So all
    attempts at the end of a chain are at most one and the budget.
    """

    call_id: str
    request: IngressRequest
    deadline: datetime.timedelta
    idempotent: bool
    retries: int
    downstream_retries: int = 0
    refusals: int = 0
    tried: set[str] = attrs.field(factory=set)
    worst: messages.CallFailure | None = None

    def message(
        self, chosen: picker.Candidate, now: datetime.timedelta
    ) -> messages.CallRequest:
        """Return the message for ``chosen`` and hand on retries."""
        self.downstream_retries = self.retries // 2
        self.retries -= self.downstream_retries
        left = self.deadline - now
        return _message(self, chosen, left)

    def note(self, reply: messages.CallFailure) -> None:
        """Keep the worst verdict of all attempts."""
        worst = self.worst
        if (
            worst is None
            or _RANKS[worst.failure.verdict] <= (_RANKS[reply.failure.verdict])
        ):
            self.worst = reply

    def may_retry(self, failure: verdict.Failure) -> bool:
        """Tell whether another target may be tried, and account for it."""
        if failure.verdict is verdict.Verdict.NOT_RUN:
            self.retries += self.downstream_retries
            if failure.reason in CLOSED_REASONS:
                return True
            self.refusals += 1
            return self.refusals <= REFUSALS_MAX
        if failure.verdict is verdict.Verdict.RAN or not self.idempotent:
            return False
        self.retries -= 1
        return self.retries >= 0


_RANKS = {
    verdict.Verdict.NOT_RUN: 0,
    verdict.Verdict.MAY_HAVE_RUN: 1,
    verdict.Verdict.RAN: 2,
}


def _message(
    call: _Call, chosen: picker.Candidate, left: datetime.timedelta
) -> messages.CallRequest:
    request = call.request
    return messages.CallRequest(
        call_id=call.call_id,
        service=chosen.record.service,
        target=chosen.record.target,
        incarnation=chosen.member.incarnation,
        method=request.method,
        path=request.path,
        headers=request.headers,
        timeout=left,
        idempotent=call.idempotent,
        idempotency_key=request.idempotency_key,
        retries=call.downstream_retries,
        depth=request.depth,
        body=request.body,
    )


def _sign_of(reply: call_transport.Reply) -> picker.DoneInfo:
    if isinstance(reply, messages.CallAnswer):
        if reply.status >= FAILED_STATUS_MIN:
            return picker.DoneInfo.FAILED
        return picker.DoneInfo.ANSWERED
    if reply.failure.reason in FAILED_REASONS:
        return picker.DoneInfo.FAILED
    return picker.DoneInfo.REFUSED


def _doubtful(
    request: IngressRequest, failure: verdict.Failure
) -> verdict.Failure:
    """Return the verdict of a node that cannot look up the call's key.

    A keyed call may have run before, through another node.
    """
    ready = failure.reason is not verdict.Reason.NOT_READY
    if ready or not request.idempotency_key:
        return failure
    return attrs.evolve(failure, verdict=verdict.Verdict.MAY_HAVE_RUN)


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
