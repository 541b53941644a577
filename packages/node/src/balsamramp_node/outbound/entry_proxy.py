"""Entry calls: takes a request to an entry to an answer or a verdict."""

import asyncio
from collections import abc
import datetime
import itertools
import random
import typing
import uuid

import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import verdict
from balsamramp_core.resources import entry
from balsamramp_node.outbound import call_dispatcher
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import picker
from balsamramp_node.outbound import recent_refusals
from balsamramp_node.outbound import retry_budget
from balsamramp_node.outbound import router
from balsamramp_node.process import decision_log
from balsamramp_wire import messages

__all__ = ["EntryProxy", "EntryRequest"]

# Doors that may refuse a request before it is refused for good. A refusal
# costs a way to another node and back.
DOORS_MAX = 4
STATUS_FAILED_MIN = 500
# Part of a request's time below which it is not sent to another target:
# the answer would come too late.
TIME_LEFT_MIN = 0.15
NO_LOAD = messages.Load(0, 0)
UNREACHABLE_REASONS = frozenset(
    [verdict.Reason.CONNECTION_LOST, verdict.Reason.STALE_INCARNATION]
)
RANKS = {
    verdict.Verdict.NOT_RUN: 0,
    verdict.Verdict.MAY_HAVE_RUN: 1,
    verdict.Verdict.RAN: 2,
}


@attrs.frozen(kw_only=True)
class EntryRequest:
    """A request as it came from its caller.

    ``request_id`` is the caller's name for this attempt.
    """

    request_id: str
    host: str
    method: str
    path: str
    headers: messages.Headers
    body: bytes
    timeout: datetime.timedelta


@attrs.define(kw_only=True)
class _Attempt:
    """One door that was asked, for the log."""

    target: str
    node: str
    outcome: str
    milliseconds: float
    load: messages.Load | None
    load_age_ms: float


@attrs.define(kw_only=True)
class _Progress:
    """A request on its way: what was tried and what is left.

    ``room_in`` is the shortest wait for room at the doors that were left
    out because they have just refused such a request.
    """

    call_id: str
    request: EntryRequest
    entry: entry.Entry
    service: str
    started: datetime.timedelta
    deadline: datetime.timedelta
    refusals: int = 0
    offers: int = 0
    tried: set[str] = attrs.field(factory=set)
    worst: messages.CallFailure | None = None
    answer: messages.CallAnswer | None = None
    attempts: list[_Attempt] = attrs.field(factory=list)
    room_in: datetime.timedelta | None = None

    def note(self, reply: messages.CallFailure) -> None:
        """Keep the failure that says most of what may have run."""
        known = self.worst
        if known is None or (
            RANKS[known.failure.verdict] <= RANKS[reply.failure.verdict]
        ):
            self.worst = reply


class EntryProxy(service_manager.Service):
    """Picks a target for a request, and others while that is allowed.

    A refusal by a door has reached no target, so another door is asked
    at no cost but time. A request that was sent to a target is sent to
    another only if the target did not run it or it may be repeated, and
    within the entry's attempts and the fleet's retry budget.
    """

    name = "entry-calls"
    requires = ("door", "router")

    def __init__(
        self,
        routes: router.Router,
        targets: picker.TargetPicker,
        dispatcher: call_dispatcher.CallDispatcher,
        budget: retry_budget.RetryBudget,
        fleet_size: abc.Callable[[], int],
        time: clock.Clock,
        counters: metrics.Metrics,
        decisions: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        self._router = routes
        self._picker = targets
        self._dispatcher = dispatcher
        self._budget = budget
        self._fleet_size = fleet_size
        self._clock = time
        self._metrics = counters
        self._decisions = decisions
        self._random = rng
        self._refusals = recent_refusals.RecentRefusals()
        self._call_prefix = f"{uuid.uuid4().hex[:16]}-"
        self._call_numbers = itertools.count()

    async def call(self, request: EntryRequest) -> call_transport.Reply:
        """Return the answer of a target, or a failure with a verdict."""
        call_id = f"{self._call_prefix}{next(self._call_numbers):x}"
        resolved = self._router.resolve_entry(request.host, request.path)
        if isinstance(resolved, result.Failure):
            failure = resolved.failure()
            self._decisions.write(
                "unresolved",
                request_id=request.request_id,
                host=request.host,
                reason=failure.reason.value,
                configuration=self._router.version,
            )
            return _failed(call_id, failure)
        found = resolved.unwrap()
        now = self._clock.monotonic()
        progress = _Progress(
            call_id=call_id,
            request=request,
            entry=found,
            service=self._choose_part(found),
            started=now,
            deadline=now + min(request.timeout, found.timeout),
        )
        self._budget.set_fleet_size(self._fleet_size())
        self._budget.deposit(progress.service, now)
        try:
            reply = await self._run(progress)
        except asyncio.CancelledError:
            self._log(progress, "caller_left")
            raise
        self._log_reply(progress, reply)
        return reply

    def _choose_part(self, found: entry.Entry) -> str:
        if len(found.parts) == 1:
            return found.parts[0].service
        drawn = self._random.choices(
            found.parts, [part.weight for part in found.parts]
        )
        return drawn[0].service

    async def _run(self, progress: _Progress) -> call_transport.Reply:
        while True:
            chosen = self._pick(progress)
            if chosen is None:
                break
            reply = await self._attempt(progress, chosen)
            if not self._goes_on(progress, reply):
                break
        if progress.answer is not None:
            return progress.answer
        if progress.worst is not None:
            return progress.worst
        if progress.room_in is not None:
            self._metrics.count("refused_unasked_total")
            return _full(progress, progress.room_in)
        return _no_target(progress)

    def _pick(self, progress: _Progress) -> picker.Candidate | None:
        now = self._clock.monotonic()
        if progress.deadline <= now:
            return None
        candidates = []
        for candidate in self._router.service_candidates(
            progress.service, {}, progress.call_id, progress.offers > 0
        ):
            if candidate.record.target in progress.tried:
                continue
            if self._is_full(progress, candidate, now):
                continue
            candidates.append(candidate)
        if not candidates:
            return None
        pick_info = picker.PickInfo(large=progress.entry.large)
        return self._picker.pick(candidates, now, pick_info)

    def _is_full(
        self,
        progress: _Progress,
        candidate: picker.Candidate,
        now: datetime.timedelta,
    ) -> bool:
        """Tell whether a door has just refused what has as much left."""
        wait = self._refusals.retry_delay(
            candidate.record.target,
            progress.entry.name,
            now,
            progress.deadline - now,
        )
        if wait is None:
            return False
        if progress.room_in is None or wait < progress.room_in:
            progress.room_in = wait
        return True

    async def _attempt(
        self, progress: _Progress, chosen: picker.Candidate
    ) -> call_transport.Reply:
        progress.tried.add(chosen.record.target)
        started = self._clock.monotonic()
        load, load_received_at = (
            chosen.stats.load,
            chosen.stats.load_received_at,
        )
        message = _message(progress, chosen, started)
        stats = chosen.stats
        stats.record_start(started)
        try:
            reply = await self._dispatcher.submit(message, chosen)
        except asyncio.CancelledError:
            stats.record_cancelled()
            raise
        now = self._clock.monotonic()
        stats.record_result(now, now - started, _sign_of(reply), reply.load)
        self._note_room(progress, chosen, reply, started)
        progress.attempts.append(
            _Attempt(
                target=chosen.record.target,
                node=chosen.member.node,
                outcome=_outcome_of(reply),
                milliseconds=_milliseconds(now - started),
                load=load,
                load_age_ms=_milliseconds(started - load_received_at),
            )
        )
        return reply

    def _note_room(
        self,
        progress: _Progress,
        chosen: picker.Candidate,
        reply: call_transport.Reply,
        started: datetime.timedelta,
    ) -> None:
        target, name = chosen.record.target, progress.entry.name
        if isinstance(reply, messages.CallAnswer):
            self._refusals.clear_refusal(target, name)
            return
        failure = reply.failure
        full = failure.reason is verdict.Reason.OVERLOADED
        if not full or failure.offered or failure.retry_after is None:
            return
        self._refusals.record_refusal(
            target,
            name,
            self._clock.monotonic(),
            progress.deadline - started,
            failure.retry_after,
        )

    def _goes_on(
        self, progress: _Progress, reply: call_transport.Reply
    ) -> bool:
        """Take in a reply; tell whether another target is to be tried."""
        if isinstance(reply, messages.CallAnswer):
            progress.answer = reply
            if reply.status < STATUS_FAILED_MIN:
                return False
            progress.offers += 1
            return progress.entry.repeatable and self._may_repeat(progress)
        progress.note(reply)
        failure = reply.failure
        ran = failure.verdict is not verdict.Verdict.NOT_RUN
        if not failure.offered and not ran:
            progress.refusals += 1
            return progress.refusals < DOORS_MAX
        progress.offers += 1
        if ran and not progress.entry.repeatable:
            return False
        return self._may_repeat(progress)

    def _may_repeat(self, progress: _Progress) -> bool:
        if progress.offers >= progress.entry.attempts:
            return False
        now = self._clock.monotonic()
        planned = progress.deadline - progress.started
        if progress.deadline - now < planned * TIME_LEFT_MIN:
            return False
        if not self._budget.try_withdraw(progress.service, now):
            self._metrics.count("retries_unfunded_total")
            return False
        self._metrics.count("retries_total")
        return True

    def _log_reply(
        self, progress: _Progress, reply: call_transport.Reply
    ) -> None:
        if isinstance(reply, messages.CallAnswer):
            outcome = f"status {reply.status}"
            self._metrics.count("calls_total", verdict="ran")
            good = reply.status < STATUS_FAILED_MIN
            self._log(progress, outcome, routine=good)
            return
        failure = reply.failure
        self._metrics.count("calls_total", verdict=failure.verdict.value)
        self._log(
            progress,
            failure.reason.value,
            verdict=failure.verdict.value,
            text=failure.message,
        )

    def _log(
        self,
        progress: _Progress,
        outcome: str,
        routine: bool = False,
        **fields: typing.Any,
    ) -> None:
        now = self._clock.monotonic()
        write = self._decisions.routine if routine else self._decisions.write
        took = now - progress.started
        self._metrics.observe("call_seconds", took.total_seconds())
        write(
            "request",
            request_id=progress.request.request_id,
            call_id=progress.call_id,
            entry=progress.entry.name,
            service=progress.service,
            configuration=self._router.version,
            outcome=outcome,
            milliseconds=_milliseconds(took),
            attempts=progress.attempts,
            **fields,
        )


def _message(
    progress: _Progress, chosen: picker.Candidate, now: datetime.timedelta
) -> messages.CallRequest:
    request = progress.request
    objective = progress.started + progress.entry.latency_objective - now
    return messages.CallRequest(
        call_id=progress.call_id,
        service=chosen.record.service,
        target=chosen.record.target,
        incarnation=chosen.member.incarnation,
        method=request.method,
        path=request.path,
        headers=request.headers,
        timeout=progress.deadline - now,
        idempotent=progress.entry.repeatable,
        body=request.body,
        route=progress.entry.name,
        objective=max(objective, datetime.timedelta()),
        priority=progress.entry.priority,
        instance=chosen.record.instance,
    )


def _sign_of(reply: call_transport.Reply) -> picker.DoneInfo:
    if isinstance(reply, messages.CallAnswer):
        if reply.status >= STATUS_FAILED_MIN:
            return picker.DoneInfo.FAILED
        return picker.DoneInfo.ANSWERED
    if (
        reply.failure.reason in UNREACHABLE_REASONS
        and not reply.failure.offered
    ):
        return picker.DoneInfo.UNREACHABLE
    if reply.failure.verdict is verdict.Verdict.NOT_RUN:
        return picker.DoneInfo.REFUSED
    return picker.DoneInfo.FAILED


def _outcome_of(reply: call_transport.Reply) -> str:
    if isinstance(reply, messages.CallAnswer):
        return f"status {reply.status}"
    failure = reply.failure
    return f"{failure.verdict.value}: {failure.reason.value}"


def _milliseconds(duration: datetime.timedelta) -> float:
    return round(duration / datetime.timedelta(milliseconds=1), 1)


def _no_target(progress: _Progress) -> messages.CallFailure:
    return _failed(
        progress.call_id,
        verdict.Failure(
            verdict.Verdict.NOT_RUN,
            verdict.Reason.NO_TARGET,
            f"no target of {progress.service} takes work",
        ),
    )


def _full(
    progress: _Progress, wait: datetime.timedelta
) -> messages.CallFailure:
    return _failed(
        progress.call_id,
        verdict.Failure(
            verdict.Verdict.NOT_RUN,
            verdict.Reason.OVERLOADED,
            f"all targets of {progress.service} have just refused",
            wait,
        ),
    )


def _failed(call_id: str, failure: verdict.Failure) -> messages.CallFailure:
    return messages.CallFailure(call_id=call_id, failure=failure, load=NO_LOAD)
