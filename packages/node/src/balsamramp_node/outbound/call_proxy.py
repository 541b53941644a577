"""Routes a caller's call to a target, with retries."""

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
from balsamramp_node.process import caller_presence
from balsamramp_node.process import shutdown_schedule
from balsamramp_wire import messages

__all__ = ["IngressRequest", "CallProxy"]

# Refusals after which a call is still sent to another node; refusals for
# SINGLE_NODE_REASONS do not count.
REFUSALS_MAX = 2
FAILED_STATUS_MIN = 500
# A refusal for one of these reasons applies to a single node: the other nodes
# are all tried, since this node's state of versions, zones and targets may be
# older than that of the node that refuses.
SINGLE_NODE_REASONS = frozenset(
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
    """A call as received from the caller."""

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
    """Picks a target, forwards the call to its node, and retries.

    ``call_prefix`` starts each call id; it must be unique to this start of
    this node.
    """

    name = "calls"
    requires = ("door", "router")

    def __init__(
        self,
        node: str,
        routes: router.Router,
        target_picker: picker.TargetPicker,
        local_handler: inbound_handler.InboundHandler,
        streams: call_transport.CallTransport,
        key_store: idempotency_store.IdempotencyStore,
        time: clock.Clock,
        counters: metrics.Metrics,
        call_prefix: str = "",
        shutdown: shutdown_schedule.ShutdownSchedule | None = None,
    ) -> None:
        self._shutdown = shutdown or shutdown_schedule.ShutdownSchedule(time)
        self._running: set[asyncio.Task[object]] = set()
        self._ended: set[asyncio.Task[object]] = set()
        self._dispatcher = call_dispatcher.CallDispatcher(
            node, local_handler, streams
        )
        self._call_prefix = call_prefix or f"{uuid.uuid4().hex}-"
        self._call_numbers = itertools.count()
        self._router = routes
        self._picker = target_picker
        self._key_store = key_store
        self._clock = time
        self._metrics = counters

    async def call(self, request: IngressRequest) -> call_transport.Reply:
        """Return the response of a target, or a failure with a verdict."""
        call_id = f"{self._call_prefix}{next(self._call_numbers):x}"
        task = asyncio.current_task()
        assert task is not None
        self._running.add(task)
        try:
            reply = await self._call(call_id, request)
        except asyncio.CancelledError:
            if task not in self._ended:
                raise
            task.uncancel()
            reply = _node_stopped_failure(call_id)
        finally:
            self._running.discard(task)
            self._ended.discard(task)
        self._metrics.count("calls_total", verdict=_reply_verdict(reply).value)
        return reply

    def end_calls(self) -> int:
        """End all calls with a failure and return their number."""
        for task in self._running:
            self._ended.add(task)
            task.cancel()
        return len(self._running)

    async def _call(
        self, call_id: str, request: IngressRequest
    ) -> call_transport.Reply:
        resolved = self._router.resolve(request.service, request.path)
        if isinstance(resolved, result.Failure):
            failure = _unresolved_failure(request, resolved.failure())
            return _call_failure(call_id, failure)
        resolved_route = resolved.unwrap()
        deadline = self._clock.monotonic() + request.timeout
        if self._shutdown.begun:
            deadline = min(deadline, self._shutdown.calls_end)
        call = _Call(
            call_id=call_id,
            request=request,
            deadline=deadline,
            idempotent=request.method
            in resolved_route.service.idempotent_methods,
            retries=request.retries,
        )
        if idempotency_store.needs_deduplication(
            call.idempotent, request.idempotency_key
        ):
            return await self._call_key_owner(call, resolved_route)
        while True:
            chosen = self._pick(call, resolved_route)
            if chosen is None:
                break
            reply = await self._attempt(call, chosen)
            if isinstance(reply, messages.CallAnswer):
                return reply
            call.record_failure(reply)
            if not call.may_retry(reply.failure):
                break
            self._metrics.count("retries_total")
        return call.worst_failure or _no_target_failure(
            call_id, request.service
        )

    async def _call_key_owner(
        self, call: "_Call", resolved: router.ResolvedRoute
    ) -> call_transport.Reply:
        """Send the call to the owner of its idempotency key only.

        A refusal does not prove that nothing has run, since the key may
        have been used before; the caller may repeat the call with its key.
        """
        chosen = self._pick(call, resolved)
        if chosen is None:
            failure = verdict.Failure(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.DUPLICATE,
                "the owner of the idempotency key is unavailable",
            )
            return _call_failure(call.call_id, failure)
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
        deduplicated = idempotency_store.needs_deduplication(
            call.idempotent, key
        )
        candidates = [
            candidate
            for candidate in self._router.candidates(
                resolved,
                key if deduplicated else call.call_id,
                bool(call.tried),
            )
            if candidate.record.target not in call.tried
        ]
        if not candidates:
            return None
        if deduplicated:
            return self._key_store.find_owner(
                resolved.service.name, key, candidates
            )
        return self._picker.pick(candidates, now)

    async def _attempt(
        self, call: "_Call", chosen: picker.Candidate
    ) -> call_transport.Reply:
        await caller_presence.confirm()
        call.tried.add(chosen.record.target)
        started = self._clock.monotonic()
        message = call.build_message(chosen, started)
        stats = chosen.stats
        stats.record_start(started)
        try:
            reply = await self._dispatcher.submit(message, chosen)
        except asyncio.CancelledError:
            stats.record_cancelled()
            raise
        now = self._clock.monotonic()
        stats.record_result(now, now - started, _done_info(reply), reply.load)
        return reply


@attrs.define(kw_only=True)
class _Call:
    """The state of a call: targets tried and retries left.

    ``retries`` is the remaining retry budget. Each message to a target
    passes half of it on, for the calls that the target makes in turn;
    that half is returned only if the target has not run the call. The
    attempts at the end of a chain of calls are therefore at most one plus
    the budget.
    """

    call_id: str
    request: IngressRequest
    deadline: datetime.timedelta
    idempotent: bool
    retries: int
    downstream_retries: int = 0
    refusals: int = 0
    tried: set[str] = attrs.field(factory=set)
    worst_failure: messages.CallFailure | None = None

    def build_message(
        self, chosen: picker.Candidate, now: datetime.timedelta
    ) -> messages.CallRequest:
        """Return the message for ``chosen``, with its share of the retries."""
        self.downstream_retries = self.retries // 2
        self.retries -= self.downstream_retries
        time_left = self.deadline - now
        return _build_request(self, chosen, time_left)

    def record_failure(self, reply: messages.CallFailure) -> None:
        """Keep the failure with the worst verdict of all attempts."""
        worst_failure = self.worst_failure
        if (
            worst_failure is None
            or _VERDICT_RANKS[worst_failure.failure.verdict]
            <= (_VERDICT_RANKS[reply.failure.verdict])
        ):
            self.worst_failure = reply

    def may_retry(self, failure: verdict.Failure) -> bool:
        """Return whether to try another target, and charge the budget."""
        if failure.verdict is verdict.Verdict.NOT_RUN:
            self.retries += self.downstream_retries
            if failure.reason in SINGLE_NODE_REASONS:
                return True
            self.refusals += 1
            return self.refusals <= REFUSALS_MAX
        if failure.verdict is verdict.Verdict.RAN or not self.idempotent:
            return False
        self.retries -= 1
        return self.retries >= 0


_VERDICT_RANKS = {
    verdict.Verdict.NOT_RUN: 0,
    verdict.Verdict.MAY_HAVE_RUN: 1,
    verdict.Verdict.RAN: 2,
}


def _build_request(
    call: _Call, chosen: picker.Candidate, time_left: datetime.timedelta
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
        timeout=time_left,
        idempotent=call.idempotent,
        idempotency_key=request.idempotency_key,
        retries=call.downstream_retries,
        depth=request.depth,
        body=request.body,
    )


def _done_info(reply: call_transport.Reply) -> picker.DoneInfo:
    if isinstance(reply, messages.CallAnswer):
        if reply.status >= FAILED_STATUS_MIN:
            return picker.DoneInfo.FAILED
        return picker.DoneInfo.ANSWERED
    if reply.failure.reason in FAILED_REASONS:
        return picker.DoneInfo.FAILED
    return picker.DoneInfo.REFUSED


def _unresolved_failure(
    request: IngressRequest, failure: verdict.Failure
) -> verdict.Failure:
    """Set the verdict of a failure to resolve the call.

    While this node is not ready it cannot look up idempotency keys. A call
    with a key may have run before, through another node.
    """
    ready = failure.reason is not verdict.Reason.NOT_READY
    if ready or not request.idempotency_key:
        return failure
    return attrs.evolve(failure, verdict=verdict.Verdict.MAY_HAVE_RUN)


def _node_stopped_failure(call_id: str) -> messages.CallFailure:
    return _call_failure(
        call_id,
        verdict.Failure(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.TRUNCATED,
            "this node stopped before the response",
        ),
    )


def _no_target_failure(call_id: str, service: str) -> messages.CallFailure:
    return _call_failure(
        call_id,
        verdict.Failure(
            verdict.Verdict.NOT_RUN,
            verdict.Reason.NO_TARGET,
            f"no target of {service} matches and takes work",
        ),
    )


def _call_failure(
    call_id: str, failure: verdict.Failure
) -> messages.CallFailure:
    return messages.CallFailure(
        call_id=call_id, failure=failure, load=messages.Load(0, 0)
    )


def _reply_verdict(reply: call_transport.Reply) -> verdict.Verdict:
    if isinstance(reply, messages.CallAnswer):
        return verdict.Verdict.RAN
    return reply.failure.verdict
