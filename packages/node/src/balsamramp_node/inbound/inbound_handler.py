"""Admits and runs the calls to the targets of this VM."""

import asyncio
from collections import abc
import datetime
import functools
import typing

from absl import logging
import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import verdict
from balsamramp_node.inbound import call_interceptor
from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import deduplication_cache
from balsamramp_node.inbound import idempotency_store
from balsamramp_node.inbound import link_admission
from balsamramp_node.inbound import message_age_estimator
from balsamramp_node.inbound import response_cache
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import target_limiter
from balsamramp_node.inbound import target_statement
from balsamramp_node.inbound import targets
from balsamramp_node.inbound import waiting_callers
from balsamramp_node.outbound import call_transport
from balsamramp_node.process import caller_presence
from balsamramp_node.process import decision_log
from balsamramp_node.process import shutdown_schedule
from balsamramp_wire import messages

__all__ = ["InboundHandler"]

CANCEL_RETENTION = datetime.timedelta(seconds=60)
REPEAT_GRACE = waiting_callers.REPEAT_GRACE
# A late call that is cancelled so soon began for a caller that had left.
CANCELLED_AT_ONCE = datetime.timedelta(milliseconds=100)
LATE_CALL_AGE = message_age_estimator.LATE_CALL_AGE
DRAIN_CHECK_INTERVAL = datetime.timedelta(milliseconds=20)
SHED_STATUSES = frozenset([429, 503])
STATUS_ERROR_MIN = 500
NO_AGE = datetime.timedelta()

LimiterFactory = abc.Callable[
    [targets.Announcement], target_limiter.TargetLimiter
]


class InboundHandler(service_manager.Service):
    """Admits each call to a target of this VM and runs it once.

    All calls to a target pass through the inbound handler of its node.
    The handler can therefore count calls in flight, drain targets and
    detect repeated messages exactly, without coordination between nodes.
    """

    name = "door"
    requires = ("key-ledger", "targets")

    def __init__(
        self,
        incarnation: int,
        local: targets.LocalTargets,
        make_limiter: LimiterFactory,
        time: clock.Clock,
        counters: metrics.Metrics,
        client: target_client.TargetClient,
        is_zone_out: abc.Callable[[], bool],
        key_store: idempotency_store.IdempotencyStore,
        interceptor: call_interceptor.CallInterceptor | None = None,
        decisions: decision_log.DecisionLog | None = None,
        cache_max_bytes: int = response_cache.RESPONSE_CACHE_MAX_BYTES,
        shutdown: shutdown_schedule.ShutdownSchedule | None = None,
        link: link_admission.LinkAdmission | None = None,
    ) -> None:
        self._link = link or link_admission.LinkAdmission()
        self._shutdown = shutdown or shutdown_schedule.ShutdownSchedule(time)
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
        self._deduplication = deduplication_cache.DeduplicationCache(
            cache_max_bytes=cache_max_bytes
        )
        self._limiters: dict[str, target_limiter.TargetLimiter] = {}
        self._running: set[deduplication_cache.CachedCall] = set()

    async def stop(self) -> None:
        self.drain()
        await self.wait_until_idle()

    def drain(self) -> None:
        """Accept no new calls, and refuse those that wait for a slot."""
        self._targets.drain_all()
        for entry in self._running:
            if not entry.sent:
                self._end_call(entry)

    def end_calls(self) -> int:
        """End all calls and return their number.

        A call that its target has received may have run.
        """
        for entry in self._running:
            self._end_call(entry)
        return len(self._running)

    async def submit(
        self,
        request: messages.CallRequest,
        age: datetime.timedelta = NO_AGE,
    ) -> call_transport.Reply:
        """Run the call, or wait for its run if it was submitted before.

        ``age`` is the transit time of the message, which is subtracted
        from the call's ``timeout``. A call with an idempotency key runs at
        most once for its key.
        """
        caller = caller_presence.current()
        reply_or_task = self.start_call(request, age, caller)
        if not isinstance(reply_or_task, asyncio.Task):
            return reply_or_task
        return await self._wait_for(request, reply_or_task)

    def start_call(
        self,
        request: messages.CallRequest,
        age: datetime.timedelta = NO_AGE,
        caller: caller_presence.CallerPresence | None = None,
    ) -> call_transport.Reply | asyncio.Task[call_transport.Reply]:
        """Start the call; return its task, or its reply if known at once.

        It is not sent to its target if ``caller`` has left by then.
        """
        key = request.idempotency_key
        if not idempotency_store.needs_deduplication(request.idempotent, key):
            return self._start_or_attach(request, age, caller)
        sent_at = self._clock.monotonic() - age

        async def run() -> call_transport.Reply:
            reply_or_task = self._start_or_attach(
                request, self._clock.monotonic() - sent_at, caller
            )
            if not isinstance(reply_or_task, asyncio.Task):
                return reply_or_task
            return await self._wait_for(request, reply_or_task)

        return asyncio.create_task(self._key_store.run(request, run))

    def reply_of(
        self,
        request: messages.CallRequest,
        task: asyncio.Task[call_transport.Reply],
    ) -> call_transport.Reply:
        """Return the reply of a call that has ended."""
        if not task.cancelled():
            error = task.exception()
            if error is None:
                return task.result()
            logging.error(
                "call %s failed with an unexpected error",
                request.call_id,
                exc_info=error,
            )
            return self._unexpected_failure(request, error)
        entry = self._deduplication.find(deduplication_cache.call_key(request))
        if entry is not None and entry.reply is not None:
            return entry.reply
        return self._cancelled_reply(request, sent=True)

    def _start_or_attach(
        self,
        request: messages.CallRequest,
        age: datetime.timedelta,
        caller: caller_presence.CallerPresence | None,
    ) -> call_transport.Reply | asyncio.Task[call_transport.Reply]:
        if request.incarnation != self._incarnation:
            return self._refuse_uncached(request, _stale_incarnation(request))
        self._deduplication.expire_until(self._clock.monotonic())
        key = deduplication_cache.call_key(request)
        existing = self._deduplication.find(key)
        if existing is not None:
            self._metrics.count("repeated_calls_total")
            if existing.reply is not None:
                return existing.reply
            assert existing.task is not None
            existing.waiter_count += 1
            if existing.callers is not None:
                existing.callers.add(caller)
            return existing.task
        time_left = request.timeout - age
        refusal = self._check_admission(request, time_left)
        if refusal is not None:
            return self._refuse_and_cache(request, refusal, time_left)
        entry = deduplication_cache.CachedCall(
            waiter_count=1,
            idempotent=request.idempotent,
            callers=waiting_callers.WaitingCallers(caller),
            late=age >= LATE_CALL_AGE,
        )
        task = asyncio.create_task(self._run(request, time_left, entry))
        task.add_done_callback(functools.partial(self._on_task_done, key))
        entry.task = task
        self._deduplication.add(key, entry, time_left)
        return task

    def cancel(self, call_id: str, target: str) -> None:
        """Cancel the call because nobody waits for its response.

        If its message has not arrived yet, it is refused on arrival.
        """
        key = (call_id, target)
        existing = self._deduplication.find(key)
        if existing is None:
            failure = verdict.Failure(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.CANCELLED,
                "the call was cancelled",
            )
            entry = deduplication_cache.CachedCall(
                reply=self._failure_reply(call_id, target, failure)
            )
            self._deduplication.add(key, entry, CANCEL_RETENTION)
            return
        if existing.task is not None:
            self._record_cancelled(call_id, target, existing)
            existing.task.cancel()

    def _record_cancelled(
        self,
        call_id: str,
        target: str,
        entry: deduplication_cache.CachedCall,
    ) -> None:
        since_sent: datetime.timedelta | None = None
        if entry.sent_at is not None:
            since_sent = self._clock.monotonic() - entry.sent_at
            if entry.late and since_sent < CANCELLED_AT_ONCE:
                self._metrics.count("late_calls_cancelled_total")
        self._decisions.write(
            "cancelled",
            call_id=call_id,
            target=target,
            late=entry.late,
            since_sent_ms=(
                None if since_sent is None else _milliseconds(since_sent)
            ),
        )

    def on_caller_disconnected(self, request: messages.CallRequest) -> None:
        """Handle the loss of the connection of a caller that waits.

        If the call is not repeated within ``REPEAT_GRACE``, it is
        cancelled. A call that the target may have received and that must
        not run twice is not cancelled: the target finishes it.
        """
        key = deduplication_cache.call_key(request)
        entry = self._deduplication.find(key)
        if entry is None or entry.task is None:
            return
        entry.waiter_count -= 1
        if entry.waiter_count > 0:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(
            REPEAT_GRACE.total_seconds(),
            self._cancel_if_abandoned,
            request,
            entry,
        )

    def _cancel_if_abandoned(
        self,
        request: messages.CallRequest,
        entry: deduplication_cache.CachedCall,
    ) -> None:
        if entry.task is None or entry.waiter_count > 0:
            return
        if entry.sent and not entry.idempotent:
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
        """Treat ``target``, or all targets if empty, as cold.

        This holds until the next announcement of the target.
        """
        for name, limiter in self._limiters.items():
            if target in ("", name):
                limiter.assume_cold()

    def record_statement(
        self,
        announcement: targets.Announcement,
        statement: target_statement.TargetStatement,
        sent_at: datetime.timedelta,
    ) -> None:
        """Apply what a target stated in the response to a request."""
        if statement.leaving and not self._targets.is_leaving(announcement):
            logging.info(
                "target %s states that it leaves; it gets no more calls",
                announcement.target,
            )
            self._targets.drain_for_good(announcement)
        local_target = self._targets.find(announcement.target)
        if local_target is None:
            return
        if local_target.announcement.instance != announcement.instance:
            return
        self._limiter_for(local_target).set_rate_limit(
            statement.rate_limit, sent_at
        )

    def dump(self) -> abc.Mapping[str, typing.Any]:
        state: dict[str, typing.Any] = {
            "remembered_calls": len(self._deduplication)
        }
        for target, limiter in sorted(self._limiters.items()):
            load = limiter.load()
            state[target] = {"in_flight": load.in_flight, "limit": load.limit}
        return state

    async def wait_until_idle(self) -> None:
        """Wait until no call runs, or until responses must be sent."""
        self._shutdown.begin()
        end = self._shutdown.answers_end
        while self._running and self._clock.monotonic() < end:
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

    def _end_call(self, entry: deduplication_cache.CachedCall) -> None:
        entry.drained = True
        if entry.task is not None:
            entry.task.cancel()

    def _check_admission(
        self, request: messages.CallRequest, time_left: datetime.timedelta
    ) -> verdict.Failure | None:
        if time_left <= datetime.timedelta():
            return _deadline_passed(time_left)
        if self._is_zone_out():
            return _not_run_failure(
                verdict.Reason.ZONE_OUT_OF_SERVICE,
                "the zone is out of service",
            )
        target = self._targets.find(request.target)
        failure = _check_ready(request, target)
        if failure is not None:
            return failure
        assert target is not None
        excluded = self._interceptor.refusal(target)
        if excluded is not None:
            return excluded
        limiter_failure = self._limiter_for(target).refusal(request, time_left)
        if limiter_failure is None:
            limiter_failure = self._link.refusal(request, time_left)
        if limiter_failure is not None:
            self._interceptor.on_call_refused(request, target)
            return limiter_failure
        if self._deduplication.is_full:
            return _not_run_failure(
                verdict.Reason.OVERLOADED, "the deduplication cache is full"
            )
        return None

    def _refuse_and_cache(
        self,
        request: messages.CallRequest,
        refusal: verdict.Failure,
        time_left: datetime.timedelta,
    ) -> call_transport.Reply:
        self._record_refusal(request, refusal)
        if request.repeat and self._deduplication.is_full:
            refusal = verdict.Failure(
                verdict.Verdict.MAY_HAVE_RUN,
                refusal.reason,
                f"{refusal.message}; the first message may arrive later",
            )
        reply = self._failure_reply(request.call_id, request.target, refusal)
        if not self._deduplication.is_full:
            entry = deduplication_cache.CachedCall(reply=reply)
            retention = max(time_left, datetime.timedelta())
            self._deduplication.add(
                deduplication_cache.call_key(request), entry, retention
            )
        return reply

    def _limiter_for(
        self, target: targets.LocalTarget
    ) -> target_limiter.TargetLimiter:
        announcement = target.announcement
        limiter = self._limiters.get(announcement.target)
        if limiter is None:
            limiter = self._make_limiter(announcement)
            self._limiters[announcement.target] = limiter
        limiter.announce(announcement)
        return limiter

    def _load(self, target: str) -> messages.Load:
        limiter = self._limiters.get(target)
        if limiter is None:
            return messages.Load(0, 0)
        load = limiter.load()
        link_wait = self._link.expected_wait()
        local_target = self._targets.find(target)
        leaving = local_target is not None and self._targets.is_leaving(
            local_target.announcement
        )
        if not (link_wait or leaving):
            return load
        return attrs.evolve(load, link_wait=link_wait, leaving=leaving)

    async def _run(
        self,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
        entry: deduplication_cache.CachedCall,
    ) -> call_transport.Reply:
        if entry.callers is not None:
            caller_presence.set_current(entry.callers)
        self._running.add(entry)
        self._link.start(request)
        reply: call_transport.Reply | None = None
        try:
            reply = await self._acquire_and_call(request, time_left, entry)
            return reply
        except asyncio.CancelledError:
            if entry.drained:
                return self._refuse_uncached(request, _node_stops(entry.sent))
            return self._cancelled_reply(request, entry.sent)
        except Exception as error:
            logging.exception(
                "call %s failed with an unexpected error", request.call_id
            )
            return self._unexpected_failure(request, error)
        finally:
            self._running.discard(entry)
            self._link.finish(request, reply)

    async def _acquire_and_call(
        self,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
        entry: deduplication_cache.CachedCall,
    ) -> call_transport.Reply:
        deadline = self._clock.monotonic() + time_left
        target = self._targets.find(request.target)
        failure = _check_ready(request, target)
        if failure is not None:
            return self._refuse_uncached(request, failure)
        assert target is not None
        limiter = self._limiter_for(target)
        failure = await limiter.acquire(request, deadline)
        if failure is not None:
            self._interceptor.on_call_refused(request, target)
            return self._refuse_uncached(request, failure)
        try:
            await caller_presence.confirm()
        except asyncio.CancelledError:
            limiter.release()
            raise
        target = self._targets.find(request.target)
        failure = _check_ready(request, target)
        if failure is None and target is not None:
            failure = self._interceptor.refusal(target)
        if failure is not None:
            limiter.release()
            return self._refuse_uncached(request, failure)
        assert target is not None
        entry.sent = True
        return await self._call_target(
            request, target, limiter, deadline, entry
        )

    async def _call_target(
        self,
        request: messages.CallRequest,
        target: targets.LocalTarget,
        limiter: target_limiter.TargetLimiter,
        deadline: datetime.timedelta,
        entry: deduplication_cache.CachedCall,
    ) -> call_transport.Reply:
        started = entry.sent_at = self._clock.monotonic()
        outcome = concurrency_limit.CallOutcome.CANCELLED
        call_result: target_client.TargetCallResult | None = None
        try:
            self._interceptor.on_call_started(request)
            call_result = await self._client.call(
                target.announcement, request, deadline - started
            )
            outcome = _call_outcome(call_result)
        except target_client.LocalLimitError as error:
            outcome = concurrency_limit.CallOutcome.NOT_SENT
            call_result = result.Failure(
                _not_run_failure(
                    verdict.Reason.OVERLOADED,
                    f"this node cannot connect to its target: {error}",
                )
            )
        finally:
            latency = self._clock.monotonic() - started
            limiter.finish(request, latency, outcome)
            self._interceptor.on_call_finished(
                request, target, call_result, outcome, latency
            )
            self._record_result(request, call_result, outcome, latency)
        if isinstance(call_result, result.Failure):
            failure = call_result.failure()
            return self._failure_reply(
                request.call_id, request.target, failure
            )
        response = call_result.unwrap()
        return messages.CallAnswer(
            call_id=request.call_id,
            status=response.status,
            headers=response.headers,
            body=response.body,
            load=self._load(request.target),
        )

    def _on_task_done(
        self,
        key: deduplication_cache.CallKey,
        task: asyncio.Task[call_transport.Reply],
    ) -> None:
        if not task.cancelled():
            self._deduplication.finish(key, task.result())
            return
        self._deduplication.finish(
            key, self._failure_reply(*key, _cancelled_before_start())
        )

    def _refuse_uncached(
        self, request: messages.CallRequest, failure: verdict.Failure
    ) -> messages.CallFailure:
        self._record_refusal(request, failure)
        return self._failure_reply(request.call_id, request.target, failure)

    def _record_refusal(
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

    def _record_result(
        self,
        request: messages.CallRequest,
        call_result: target_client.TargetCallResult | None,
        outcome: concurrency_limit.CallOutcome,
        latency: datetime.timedelta,
    ) -> None:
        self._metrics.count("target_calls_total", outcome=outcome.value)
        self._metrics.observe("target_call_seconds", latency.total_seconds())
        answered = outcome is concurrency_limit.CallOutcome.ANSWERED
        write = (
            self._decisions.write_routine
            if answered
            else self._decisions.write
        )
        text = ""
        if isinstance(call_result, result.Failure):
            text = call_result.failure().message
        write(
            "sent",
            call_id=request.call_id,
            target=request.target,
            outcome=outcome.value,
            milliseconds=_milliseconds(latency),
            text=text,
        )

    def _cancelled_reply(
        self, request: messages.CallRequest, sent: bool
    ) -> messages.CallFailure:
        self._metrics.count("cancelled_calls_total")
        call_verdict = verdict.Verdict.NOT_RUN
        if sent:
            call_verdict = verdict.Verdict.MAY_HAVE_RUN
        failure = verdict.Failure(
            call_verdict, verdict.Reason.CANCELLED, "the call was cancelled"
        )
        return self._failure_reply(request.call_id, request.target, failure)

    def _unexpected_failure(
        self, request: messages.CallRequest, error: BaseException
    ) -> messages.CallFailure:
        failure = verdict.Failure(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.TARGET_FAILED,
            f"unexpected error: {error!r}",
        )
        return self._failure_reply(request.call_id, request.target, failure)

    def _failure_reply(
        self, call_id: str, target: str, failure: verdict.Failure
    ) -> messages.CallFailure:
        return messages.CallFailure(
            call_id=call_id, failure=failure, load=self._load(target)
        )


def _call_outcome(
    call_result: result.Result[target_client.TargetResponse, verdict.Failure],
) -> concurrency_limit.CallOutcome:
    if isinstance(call_result, result.Failure):
        return _failure_outcome(call_result.failure())
    status = call_result.unwrap().status
    if status in SHED_STATUSES:
        return concurrency_limit.CallOutcome.SHED
    if status >= STATUS_ERROR_MIN:
        return concurrency_limit.CallOutcome.ERROR
    return concurrency_limit.CallOutcome.ANSWERED


def _failure_outcome(
    failure: verdict.Failure,
) -> concurrency_limit.CallOutcome:
    if failure.reason is verdict.Reason.OVERLOADED:
        return concurrency_limit.CallOutcome.SHED
    if failure.reason is verdict.Reason.DEADLINE:
        return concurrency_limit.CallOutcome.CANCELLED
    if failure.verdict is verdict.Verdict.RAN:
        return concurrency_limit.CallOutcome.ANSWERED
    if failure.verdict is verdict.Verdict.NOT_RUN:
        return concurrency_limit.CallOutcome.CONNECT_FAILED
    return concurrency_limit.CallOutcome.INCOMPLETE


def _check_ready(
    request: messages.CallRequest, target: targets.LocalTarget | None
) -> verdict.Failure | None:
    name = request.target
    if target is None:
        return _not_run_failure(verdict.Reason.NO_TARGET, f"no target {name}")
    instance = target.announcement.instance
    if request.instance and request.instance != instance:
        return _not_run_failure(
            verdict.Reason.NO_TARGET,
            f"target {name} restarted after it was picked",
        )
    if target.state is messages.TargetState.READY:
        return None
    return _not_run_failure(
        verdict.Reason.DRAINING, f"target {name} is {target.state.value}"
    )


def _milliseconds(duration: datetime.timedelta) -> float:
    return round(duration / datetime.timedelta(milliseconds=1), 1)


def _stale_incarnation(request: messages.CallRequest) -> verdict.Failure:
    call_verdict = verdict.Verdict.NOT_RUN
    if request.repeat:
        call_verdict = verdict.Verdict.MAY_HAVE_RUN
    return verdict.Failure(
        call_verdict,
        verdict.Reason.STALE_INCARNATION,
        "the node was restarted",
    )


def _cancelled_before_start() -> verdict.Failure:
    return _not_run_failure(
        verdict.Reason.CANCELLED, "the call was cancelled before it started"
    )


def _deadline_passed(time_left: datetime.timedelta) -> verdict.Failure:
    call_verdict = verdict.Verdict.NOT_RUN
    if -time_left >= deduplication_cache.EXPIRY_MARGIN / 2:
        call_verdict = verdict.Verdict.MAY_HAVE_RUN
    return verdict.Failure(
        call_verdict,
        verdict.Reason.DEADLINE,
        "the call arrived after its deadline",
    )


def _node_stops(sent: bool) -> verdict.Failure:
    if not sent:
        return _not_run_failure(verdict.Reason.DRAINING, "the node stops")
    return verdict.Failure(
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Reason.TRUNCATED,
        "the node stopped before the target's response",
    )


def _not_run_failure(
    reason: verdict.Reason,
    message: str,
    retry_after: datetime.timedelta | None = None,
) -> verdict.Failure:
    return verdict.Failure(
        verdict.Verdict.NOT_RUN, reason, message, retry_after
    )
