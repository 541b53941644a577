"""Door: the last check of each call to a target of this VM."""

import asyncio
from collections import abc
import datetime
import functools
import typing

from absl import logging
from returns import result

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import verdict
from balsamramp_node.inbound import call_interceptor
from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import deduplication_cache
from balsamramp_node.inbound import idempotency_store
from balsamramp_node.inbound import response_cache
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import target_limiter
from balsamramp_node.inbound import targets
from balsamramp_node.outbound import call_transport
from balsamramp_node.process import decision_log
from balsamramp_wire import messages

__all__ = ["InboundHandler"]

CANCEL_RETENTION = datetime.timedelta(seconds=60)
# A node that lost a connection asks again on another one at once; this is
# also how long a new connection may take to stand.
REPEAT_GRACE = datetime.timedelta(milliseconds=250)
DRAIN_CHECK_INTERVAL = datetime.timedelta(milliseconds=20)
DRAIN_TIMEOUT = datetime.timedelta(seconds=10)
SHED_STATUSES = frozenset([429, 503])
STATUS_ERROR_MIN = 500
NO_AGE = datetime.timedelta()

GateMaker = abc.Callable[[targets.Announcement], target_limiter.TargetLimiter]


class InboundHandler(service_manager.Service):
    """Admits calls to the targets of this VM, each call once.

    Every call to a target passes through here, so that the number in
    flight, the draining and the recognition of repeated messages are
    exact without agreement among nodes.
    """

    name = "door"
    requires = ("key-ledger", "targets")

    def __init__(
        self,
        incarnation: int,
        local: targets.LocalTargets,
        make_limiter: GateMaker,
        time: clock.Clock,
        counters: metrics.Metrics,
        client: target_client.TargetClient,
        is_zone_out: abc.Callable[[], bool],
        key_store: idempotency_store.IdempotencyStore,
        interceptor: call_interceptor.CallInterceptor | None = None,
        decisions: decision_log.DecisionLog | None = None,
        cache_max_bytes: int = response_cache.RESPONSE_CACHE_MAX_BYTES,
    ) -> None:
        self._decisions = decisions or decision_log.DecisionLog(
            decision_log.NullSink(), time
        )
        self._incarnation = incarnation
        self._targets = local
        self._make_limiter = make_limiter
        self._clock = time
        self._metrics = counters
        self._client = client
        self._is_zone_out = is_zone_out
        self._key_store = key_store
        self._interceptor = interceptor or call_interceptor.CallInterceptor()
        self._journal = deduplication_cache.DeduplicationCache(
            cache_max_bytes=cache_max_bytes
        )
        self._gates: dict[str, target_limiter.TargetLimiter] = {}
        self._running = 0

    async def stop(self) -> None:
        self._targets.drain_all()
        await self.wait_until_idle()

    async def submit(
        self,
        request: messages.CallRequest,
        age: datetime.timedelta = NO_AGE,
    ) -> call_transport.Reply:
        """Run the call, or attach to its run if it was submitted before.

        ``age`` is how long the message was on its way; what is left of
        the call's time is its ``timeout`` less that. A call with an
        idempotency key runs at most once for its key.
        """
        begun = self.start_call(request, age)
        if not isinstance(begun, asyncio.Task):
            return begun
        return await self._wait_for(request, begun)

    def start_call(
        self,
        request: messages.CallRequest,
        age: datetime.timedelta = NO_AGE,
    ) -> call_transport.Reply | asyncio.Task[call_transport.Reply]:
        """Start what ``submit`` does; a refusal is returned at once."""
        key = request.idempotency_key
        if not idempotency_store.needs_deduplication(request.idempotent, key):
            return self._begin(request, age)
        arrived = self._clock.monotonic() - age

        async def run() -> call_transport.Reply:
            begun = self._begin(request, self._clock.monotonic() - arrived)
            if not isinstance(begun, asyncio.Task):
                return begun
            return await self._wait_for(request, begun)

        return asyncio.create_task(self._key_store.run(request, run))

    def reply_of(
        self,
        request: messages.CallRequest,
        task: asyncio.Task[call_transport.Reply],
    ) -> call_transport.Reply:
        """Return the reply of a call that has ended."""
        if not task.cancelled():
            return task.result()
        entry = self._journal.find(deduplication_cache.call_key(request))
        if entry is not None and entry.reply is not None:
            return entry.reply
        return self._cancelled(request, sent=True)

    def _begin(
        self, request: messages.CallRequest, age: datetime.timedelta
    ) -> call_transport.Reply | asyncio.Task[call_transport.Reply]:
        if request.incarnation != self._incarnation:
            return self._refuse_unrecorded(request, _stale(request))
        self._journal.expire_until(self._clock.monotonic())
        key = deduplication_cache.call_key(request)
        known = self._journal.find(key)
        if known is not None:
            self._metrics.count("repeated_calls_total")
            if known.reply is not None:
                return known.reply
            assert known.task is not None
            known.waiting += 1
            return known.task
        time_left = request.timeout - age
        refusal = self._refusal(request, time_left)
        if refusal is not None:
            return self._refuse_and_record(request, refusal, time_left)
        entry = deduplication_cache.CachedCall(
            waiting=1, repeatable=request.idempotent
        )
        task = asyncio.create_task(self._run(request, time_left, entry))
        task.add_done_callback(functools.partial(self._ended, key))
        entry.task = task
        self._journal.add(key, entry, time_left)
        return task

    def cancel(self, call_id: str, target: str) -> None:
        """Stop the call because nobody waits for its answer.

        A call that is not known yet is refused when its message arrives.
        """
        key = (call_id, target)
        known = self._journal.find(key)
        if known is None:
            failure = verdict.Failure(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.CANCELLED,
                "the call was cancelled",
            )
            entry = deduplication_cache.CachedCall(
                reply=self._failed(call_id, target, failure)
            )
            self._journal.add(key, entry, CANCEL_RETENTION)
            return
        if known.task is not None:
            known.task.cancel()

    def on_caller_disconnected(self, request: messages.CallRequest) -> None:
        """Note that one who waited for the call has lost its connection.

        If nobody asks for the call again within ``REPEAT_GRACE``, it is
        cancelled, unless the target may have seen it and it may not be
        repeated: then the target finishes what it has begun.
        """
        key = deduplication_cache.call_key(request)
        entry = self._journal.find(key)
        if entry is None or entry.task is None:
            return
        entry.waiting -= 1
        if entry.waiting > 0:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(
            REPEAT_GRACE.total_seconds(), self._abandon, request, entry
        )

    def _abandon(
        self,
        request: messages.CallRequest,
        entry: deduplication_cache.CachedCall,
    ) -> None:
        if entry.task is None or entry.waiting > 0:
            return
        if entry.sent and not entry.repeatable:
            return
        self._metrics.count("abandoned_calls_total")
        self._decisions.write(
            "abandoned",
            call_id=request.call_id,
            target=request.target,
            sent=entry.sent,
        )
        entry.task.cancel()

    def assume_cold(self, target: str = "") -> None:
        """Treat ``target``, or all targets, as cold until they say so."""
        for name, found in self._gates.items():
            if target in ("", name):
                found.assume_cold()

    def dump(self) -> abc.Mapping[str, typing.Any]:
        shown: dict[str, typing.Any] = {"remembered_calls": len(self._journal)}
        for target, found in sorted(self._gates.items()):
            load = found.load()
            shown[target] = {"in_flight": load.in_flight, "limit": load.limit}
        return shown

    async def wait_until_idle(self) -> None:
        """Wait until no call runs, at most ``DRAIN_TIMEOUT``."""
        deadline = self._clock.monotonic() + DRAIN_TIMEOUT
        while self._running and self._clock.monotonic() < deadline:
            await self._clock.sleep(DRAIN_CHECK_INTERVAL)

    async def _wait_for(
        self,
        request: messages.CallRequest,
        task: asyncio.Task[call_transport.Reply],
    ) -> call_transport.Reply:
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            return self.reply_of(request, task)

    def _refusal(
        self, request: messages.CallRequest, time_left: datetime.timedelta
    ) -> verdict.Failure | None:
        if time_left <= datetime.timedelta():
            return _too_late(time_left)
        if self._is_zone_out():
            return _not_run(
                verdict.Reason.ZONE_OUT_OF_SERVICE, "the zone is out"
            )
        target = self._targets.find(request.target)
        failure = _unready(request, target)
        if failure is not None:
            return failure
        assert target is not None
        condemned = self._interceptor.refusal(target)
        if condemned is not None:
            return condemned
        full = self._gate(target).refusal(request, time_left)
        if full is not None:
            self._interceptor.on_call_refused(request, target)
            return full
        if self._journal.full:
            return _not_run(
                verdict.Reason.OVERLOADED, "too many calls to remember"
            )
        return None

    def _refuse_and_record(
        self,
        request: messages.CallRequest,
        refusal: verdict.Failure,
        time_left: datetime.timedelta,
    ) -> call_transport.Reply:
        self._note_refusal(request, refusal)
        if request.repeat and self._journal.full:
            refusal = verdict.Failure(
                verdict.Verdict.MAY_HAVE_RUN,
                refusal.reason,
                f"{refusal.message}; the first message may still arrive",
            )
        reply = self._failed(request.call_id, request.target, refusal)
        if not self._journal.full:
            entry = deduplication_cache.CachedCall(reply=reply)
            kept = max(time_left, datetime.timedelta())
            self._journal.add(
                deduplication_cache.call_key(request), entry, kept
            )
        return reply

    def _gate(
        self, target: targets.LocalTarget
    ) -> target_limiter.TargetLimiter:
        announcement = target.announcement
        found = self._gates.get(announcement.target)
        if found is None:
            found = self._make_limiter(announcement)
            self._gates[announcement.target] = found
        found.announce(announcement)
        return found

    def _load(self, target: str) -> messages.Load:
        found = self._gates.get(target)
        if found is None:
            return messages.Load(0, 0)
        return found.load()

    async def _run(
        self,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
        entry: deduplication_cache.CachedCall,
    ) -> call_transport.Reply:
        self._running += 1
        try:
            return await self._admit(request, time_left, entry)
        except asyncio.CancelledError:
            return self._cancelled(request, entry.sent)
        except Exception as error:
            logging.exception("call %s failed", request.call_id)
            failure = verdict.Failure(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.TARGET_FAILED,
                f"unexpected {error!r}",
            )
            return self._failed(request.call_id, request.target, failure)
        finally:
            self._running -= 1

    async def _admit(
        self,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
        entry: deduplication_cache.CachedCall,
    ) -> call_transport.Reply:
        deadline = self._clock.monotonic() + time_left
        target = self._targets.find(request.target)
        failure = _unready(request, target)
        if failure is not None:
            return self._refuse_unrecorded(request, failure)
        assert target is not None
        entered = self._gate(target)
        failure = await entered.acquire(request, deadline)
        if failure is not None:
            self._interceptor.on_call_refused(request, target)
            return self._refuse_unrecorded(request, failure)
        target = self._targets.find(request.target)
        failure = _unready(request, target)
        if failure is None and target is not None:
            failure = self._interceptor.refusal(target)
        if failure is not None:
            entered.release()
            return self._refuse_unrecorded(request, failure)
        assert target is not None
        entry.sent = True
        return await self._call_target(request, target, entered, deadline)

    async def _call_target(
        self,
        request: messages.CallRequest,
        target: targets.LocalTarget,
        entered: target_limiter.TargetLimiter,
        deadline: datetime.timedelta,
    ) -> call_transport.Reply:
        started = self._clock.monotonic()
        outcome = concurrency_limit.CallOutcome.CANCELLED
        called: target_client.TargetCallResult | None = None
        try:
            called = await self._client.call(
                target.announcement, request, deadline - started
            )
            outcome = _outcome(called)
        finally:
            latency = self._clock.monotonic() - started
            entered.finish(request, latency, outcome)
            self._interceptor.on_call_finished(
                request, target, called, outcome, latency
            )
            self._note_end(request, called, outcome, latency)
        if isinstance(called, result.Failure):
            failure = called.failure()
            return self._failed(request.call_id, request.target, failure)
        found = called.unwrap()
        return messages.CallAnswer(
            call_id=request.call_id,
            status=found.status,
            headers=found.headers,
            body=found.body,
            load=self._load(request.target),
        )

    def _ended(
        self,
        key: deduplication_cache.CallKey,
        task: asyncio.Task[call_transport.Reply],
    ) -> None:
        if not task.cancelled():
            self._journal.finish(key, task.result())
            return
        self._journal.finish(key, self._failed(*key, _unstarted()))

    def _refuse_unrecorded(
        self, request: messages.CallRequest, failure: verdict.Failure
    ) -> messages.CallFailure:
        self._note_refusal(request, failure)
        return self._failed(request.call_id, request.target, failure)

    def _note_refusal(
        self, request: messages.CallRequest, failure: verdict.Failure
    ) -> None:
        self._metrics.count("refused_total", reason=failure.reason.value)
        self._decisions.write(
            "refused",
            call_id=request.call_id,
            target=request.target,
            reason=failure.reason.value,
            text=failure.message,
            left_ms=_milliseconds(request.timeout),
            load=self._load(request.target),
        )

    def _note_end(
        self,
        request: messages.CallRequest,
        called: target_client.TargetCallResult | None,
        outcome: concurrency_limit.CallOutcome,
        latency: datetime.timedelta,
    ) -> None:
        self._metrics.count("target_calls_total", outcome=outcome.value)
        self._metrics.observe("target_call_seconds", latency.total_seconds())
        answered = outcome is concurrency_limit.CallOutcome.ANSWERED
        write = self._decisions.routine if answered else self._decisions.write
        text = ""
        if isinstance(called, result.Failure):
            text = called.failure().message
        write(
            "sent",
            call_id=request.call_id,
            target=request.target,
            outcome=outcome.value,
            milliseconds=_milliseconds(latency),
            text=text,
        )

    def _cancelled(
        self, request: messages.CallRequest, sent: bool
    ) -> messages.CallFailure:
        self._metrics.count("cancelled_calls_total")
        ran = verdict.Verdict.NOT_RUN
        if sent:
            ran = verdict.Verdict.MAY_HAVE_RUN
        failure = verdict.Failure(
            ran, verdict.Reason.CANCELLED, "the call was cancelled"
        )
        return self._failed(request.call_id, request.target, failure)

    def _failed(
        self, call_id: str, target: str, failure: verdict.Failure
    ) -> messages.CallFailure:
        return messages.CallFailure(
            call_id=call_id, failure=failure, load=self._load(target)
        )


def _outcome(
    called: result.Result[target_client.TargetResponse, verdict.Failure],
) -> concurrency_limit.CallOutcome:
    if isinstance(called, result.Failure):
        return _failed_outcome(called.failure())
    status = called.unwrap().status
    if status in SHED_STATUSES:
        return concurrency_limit.CallOutcome.SHED
    if status >= STATUS_ERROR_MIN:
        return concurrency_limit.CallOutcome.ERROR
    return concurrency_limit.CallOutcome.ANSWERED


def _failed_outcome(failure: verdict.Failure) -> concurrency_limit.CallOutcome:
    if failure.reason is verdict.Reason.OVERLOADED:
        return concurrency_limit.CallOutcome.SHED
    if failure.reason is verdict.Reason.DEADLINE:
        return concurrency_limit.CallOutcome.CANCELLED
    if failure.verdict is verdict.Verdict.RAN:
        return concurrency_limit.CallOutcome.ANSWERED
    if failure.verdict is verdict.Verdict.NOT_RUN:
        return concurrency_limit.CallOutcome.CONNECT_FAILED
    return concurrency_limit.CallOutcome.INCOMPLETE


def _unready(
    request: messages.CallRequest, target: targets.LocalTarget | None
) -> verdict.Failure | None:
    name = request.target
    if target is None:
        return _not_run(verdict.Reason.NO_TARGET, f"no target {name}")
    instance = target.announcement.instance
    if request.instance and request.instance != instance:
        return _not_run(
            verdict.Reason.NO_TARGET,
            f"target {name} has started again since it was picked",
        )
    if target.state is messages.TargetState.READY:
        return None
    return _not_run(
        verdict.Reason.DRAINING, f"target {name} is {target.state.value}"
    )


def _milliseconds(duration: datetime.timedelta) -> float:
    return round(duration / datetime.timedelta(milliseconds=1), 1)


def _stale(request: messages.CallRequest) -> verdict.Failure:
    ran = verdict.Verdict.NOT_RUN
    if request.repeat:
        ran = verdict.Verdict.MAY_HAVE_RUN
    return verdict.Failure(
        ran, verdict.Reason.STALE_INCARNATION, "the node was restarted"
    )


def _unstarted() -> verdict.Failure:
    return _not_run(
        verdict.Reason.CANCELLED, "cancelled before it was started"
    )


def _too_late(time_left: datetime.timedelta) -> verdict.Failure:
    ran = verdict.Verdict.NOT_RUN
    if -time_left >= deduplication_cache.EXPIRY_MARGIN / 2:
        ran = verdict.Verdict.MAY_HAVE_RUN
    return verdict.Failure(
        ran, verdict.Reason.DEADLINE, "arrived after its deadline"
    )


def _not_run(
    reason: verdict.Reason,
    message: str,
    retry_after: datetime.timedelta | None = None,
) -> verdict.Failure:
    return verdict.Failure(
        verdict.Verdict.NOT_RUN, reason, message, retry_after
    )
