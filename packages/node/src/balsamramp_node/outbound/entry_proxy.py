"""Routes a request to an entry to a target, with retries."""

import asyncio
from collections import abc
import datetime
import functools
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
from balsamramp_node.configuration import confirmation
from balsamramp_node.outbound import call_dispatcher
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import entry_failures
from balsamramp_node.outbound import key_check
from balsamramp_node.outbound import leaving_targets
from balsamramp_node.outbound import picker
from balsamramp_node.outbound import retry_budget
from balsamramp_node.outbound import router
from balsamramp_node.outbound import service_room
from balsamramp_node.process import caller_presence
from balsamramp_node.process import decision_log
from balsamramp_node.process import shutdown_schedule
from balsamramp_wire import messages

__all__ = ["EntryProxy", "EntryRequest"]

# Refusals by nodes after which the request fails. Each refusal costs a round
# trip to another node.
REFUSALS_MAX = 4
FAILED_STATUS_MIN = 500
# Fraction of a request's timeout that must be left for a retry; with less, the
# response would arrive too late.
TIME_LEFT_RATIO_MIN = 0.15
UNREACHABLE_REASONS = frozenset(
    [verdict.Reason.CONNECTION_LOST, verdict.Reason.STALE_INCARNATION]
)
UNKNOWN_REASONS = frozenset(
    [verdict.Reason.UNKNOWN_SERVICE, verdict.Reason.UNKNOWN_KEY]
)
# For requests whose entry or key may be part of a change on its way.
UNCONFIRMED_RETRY_AFTER = datetime.timedelta(milliseconds=300)
VERDICT_RANKS = {
    verdict.Verdict.NOT_RUN: 0,
    verdict.Verdict.MAY_HAVE_RUN: 1,
    verdict.Verdict.RAN: 2,
}


_Resolved = tuple[entry.Entry, key_check.Admission]


@attrs.frozen(kw_only=True)
class EntryRequest:
    """A request as received from its caller.

    ``request_id`` is the caller's identifier of this attempt.
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
    """One attempt at a target, for the decision log."""

    target: str
    node: str
    outcome: str
    milliseconds: float
    load: messages.Load | None
    load_age_ms: float | None


@attrs.define(kw_only=True)
class _Progress:
    """The state of a request: targets tried and failures so far.

    ``offers`` counts the attempts that may have reached a target, and
    ``retry_granted`` tells that the budget has paid for the next one.
    ``shortest_wait`` is the shortest time until a free slot at the targets
    that were skipped because they refused such a request just before, and
    ``refused_place`` one of these or one that refused this request.
    ``attempting`` is set while a target may have the request, and ``ended``
    if the node stops before the response.
    """

    call_id: str
    request: EntryRequest
    entry: entry.Entry
    headers: messages.Headers
    priority: int
    service: str
    started: datetime.timedelta
    deadline: datetime.timedelta
    refusals: int = 0
    offers: int = 0
    retry_granted: bool = False
    tried: set[str] = attrs.field(factory=set)
    worst_failure: messages.CallFailure | None = None
    response: messages.CallAnswer | None = None
    attempts: list[_Attempt] = attrs.field(factory=list)
    shortest_wait: datetime.timedelta | None = None
    refused_place: service_room.AskedPlace | None = None
    attempting: bool = False
    ended: bool = False

    def record_failure(self, reply: messages.CallFailure) -> None:
        """Keep the failure with the worst verdict of all attempts."""
        previous = self.worst_failure
        if previous is None or (
            VERDICT_RANKS[previous.failure.verdict]
            <= VERDICT_RANKS[reply.failure.verdict]
        ):
            self.worst_failure = reply


class EntryProxy(service_manager.Service):
    """Picks a target for a request and retries at others.

    A request that a node refuses has not reached the target, so trying
    another node costs only time. A request that was sent to a target is
    sent to another only if the target did not run it or the entry is
    repeatable, and within the entry's attempts and the retry budget of the
    fleet. A request whose node is unresponsive stays there unless another
    attempt is allowed or ``has_restarted`` returns True for the node.
    """

    name = "entry-calls"
    requires = ("door", "router")

    def __init__(
        self,
        routes: router.Router,
        target_picker: picker.TargetPicker,
        dispatcher: call_dispatcher.CallDispatcher,
        budget: retry_budget.RetryBudget,
        fleet_size: abc.Callable[[], int],
        has_restarted: abc.Callable[[messages.Member], bool],
        time: clock.Clock,
        counters: metrics.Metrics,
        decisions: decision_log.DecisionLog,
        rng: random.Random,
        shutdown: shutdown_schedule.ShutdownSchedule | None = None,
        confirmer: confirmation.Confirmer | None = None,
        keys: key_check.KeyCheck | None = None,
        room: service_room.ServiceRoom | None = None,
    ) -> None:
        self._keys = keys
        self._confirmer = confirmer or confirmation.TrustingConfirmer()
        self._shutdown = shutdown or shutdown_schedule.ShutdownSchedule(time)
        self._running: dict[str, tuple[_Progress, asyncio.Task[object]]] = {}
        self._router = routes
        self._picker = target_picker
        self._dispatcher = dispatcher
        self._budget = budget
        self._fleet_size = fleet_size
        self._has_restarted = has_restarted
        self._clock = time
        self._metrics = counters
        self._decisions = decisions
        self._random = rng
        self._room = room or service_room.ServiceRoom()
        self._leaving = leaving_targets.LeavingTargets()
        self._call_prefix = f"{uuid.uuid4().hex[:16]}-"
        self._call_numbers = itertools.count()

    async def call(self, request: EntryRequest) -> call_transport.Reply:
        """Return the response of a target, or a failure with a verdict."""
        call_id = f"{self._call_prefix}{next(self._call_numbers):x}"
        resolved = await self._resolve(request)
        if isinstance(resolved, result.Failure):
            failure = resolved.failure()
            self._decisions.write(
                "unresolved",
                request_id=request.request_id,
                host=request.host,
                reason=failure.reason.value,
                configuration=self._router.version,
                **self._confirmation_fields(),
            )
            return entry_failures.call_failure(call_id, failure)
        matched, admission = resolved.unwrap()
        now = self._clock.monotonic()
        deadline = now + min(request.timeout, matched.timeout)
        if self._shutdown.begun:
            deadline = min(deadline, self._shutdown.calls_end)
        progress = _Progress(
            call_id=call_id,
            request=request,
            entry=matched,
            headers=admission.headers,
            priority=admission.priority,
            service=self._choose_service(matched),
            started=now,
            deadline=deadline,
        )
        self._budget.set_fleet_size(self._fleet_size())
        self._budget.deposit(progress.service, now)
        task = asyncio.current_task()
        assert task is not None
        self._running[call_id] = (progress, task)
        try:
            reply = await self._run_attempts(progress)
        except asyncio.CancelledError:
            if not progress.ended:
                self._log_request(progress, "caller_left")
                raise
            task.uncancel()
            reply = _ended_reply(progress)
        finally:
            del self._running[call_id]
        self._log_reply(progress, reply)
        return reply

    async def _resolve(
        self, request: EntryRequest
    ) -> result.Result[_Resolved, verdict.Failure]:
        """Return the entry of a request, and how to send the request on.

        An entry or a key is unknown only by a configuration that is known to
        be current.
        """
        found = self._admit(request)
        if not _is_unknown(found):
            return found
        confirmed = await self._confirmer.confirm()
        await caller_presence.confirm()
        found = self._admit(request)
        if confirmed or not _is_unknown(found):
            return found
        self._metrics.count("unconfirmed_entries_total")
        cause = found.failure().message
        return result.Failure(
            verdict.Failure(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.NOT_READY,
                f"{cause}, in a configuration that may be old",
                UNCONFIRMED_RETRY_AFTER,
            )
        )

    def _admit(
        self, request: EntryRequest
    ) -> result.Result[_Resolved, verdict.Failure]:
        found = self._router.resolve_entry(request.host, request.path)
        if isinstance(found, result.Failure):
            return found
        matched = found.unwrap()
        if self._keys is None:
            admission = key_check.Admission(
                headers=request.headers, priority=matched.priority
            )
            return result.Success((matched, admission))
        admitted = self._keys.admit(matched, request.headers)
        return admitted.map(lambda admission: (matched, admission))

    def end_calls(self) -> int:
        """End all requests with a failure and return their number."""
        for progress, task in self._running.values():
            progress.ended = True
            task.cancel()
        return len(self._running)

    def _choose_service(self, matched: entry.Entry) -> str:
        if len(matched.parts) == 1:
            return matched.parts[0].service
        drawn = self._random.choices(
            matched.parts, [part.weight for part in matched.parts]
        )
        return drawn[0].service

    async def _run_attempts(self, progress: _Progress) -> call_transport.Reply:
        while True:
            chosen = self._pick(progress)
            if chosen is None:
                break
            reply = await self._attempt(progress, chosen)
            if not self._handle_reply(progress, reply):
                break
        if progress.response is not None:
            return progress.response
        if progress.worst_failure is not None:
            return self._with_return_wait(progress, progress.worst_failure)
        if progress.shortest_wait is not None:
            self._metrics.count("refused_unasked_total")
            return self._with_return_wait(
                progress,
                entry_failures.overloaded(
                    progress.call_id, progress.service, progress.shortest_wait
                ),
            )
        return entry_failures.no_target(progress.call_id, progress.service)

    def _with_return_wait(
        self, progress: _Progress, reply: messages.CallFailure
    ) -> messages.CallFailure:
        """Return a refusal with the time after which there is a chance."""
        wait = reply.failure.retry_after
        place = progress.refused_place
        if wait is None or place is None:
            return reply
        now = self._clock.monotonic()
        wait = self._room.return_wait(place, now, wait)
        failure = attrs.evolve(reply.failure, retry_after=wait)
        return attrs.evolve(reply, failure=failure)

    def _pick(self, progress: _Progress) -> picker.Candidate | None:
        now = self._clock.monotonic()
        if progress.deadline <= now:
            return None
        if self._shutdown.begun and self._shutdown.calls_end <= now:
            return None
        candidates = self._find_candidates(progress, now)
        pick_info = picker.PickInfo(large=progress.entry.large)
        while candidates:
            chosen = self._picker.pick(candidates, now, pick_info)
            place = _place(progress, chosen, now)
            if self._room.may_ask(place, chosen.stats, now, progress.refusals):
                return chosen
            self._metrics.count("full_zones_not_asked_total")
            _keep_refusal(progress, place, self._room.expected_wait(place))
            full = chosen.member.zone
            candidates = [
                item for item in candidates if item.member.zone != full
            ]
        return None

    def _find_candidates(
        self, progress: _Progress, now: datetime.timedelta
    ) -> list[picker.Candidate]:
        found = self._router.service_candidates(
            progress.service, {}, progress.call_id, progress.offers > 0
        )
        refused_any = self._room.any_recent_refusal(now)
        if not (progress.tried or self._leaving or refused_any):
            return found
        candidates = []
        for candidate in found:
            if candidate.record.target in progress.tried:
                continue
            if self._leaving.has_left(candidate.record):
                continue
            if self._refused_recently(progress, candidate, now):
                continue
            candidates.append(candidate)
        return candidates

    def _refused_recently(
        self,
        progress: _Progress,
        candidate: picker.Candidate,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether the target just refused a similar request.

        The refused request had at least as much time left.
        """
        place = _place(progress, candidate, now)
        wait = self._room.retry_delay(place, now)
        if wait is None:
            return False
        _keep_refusal(progress, place, wait)
        return True

    async def _attempt(
        self, progress: _Progress, chosen: picker.Candidate
    ) -> call_transport.Reply:
        if progress.attempts:
            await caller_presence.confirm()
        progress.tried.add(chosen.record.target)
        started = self._clock.monotonic()
        stats = chosen.stats
        load, load_age = stats.load, stats.load_age(started)
        self._metrics.count(
            "attempts_by_load_age_total", age=stats.load_age_class(started)
        )
        place = _place(progress, chosen, started)
        message = _build_request(progress, chosen, started)
        stats.record_start(started)
        self._room.record_asked(place, started)
        progress.attempting = True
        try:
            reply = await self._dispatcher.submit(
                message,
                chosen,
                functools.partial(self._may_leave, progress, chosen.member),
            )
        except asyncio.CancelledError:
            stats.record_cancelled()
            raise
        progress.attempting = False
        now = self._clock.monotonic()
        ejected = stats.record_result(
            now, now - started, _done_info(reply), reply.load
        )
        if ejected is not None:
            self._metrics.count("ejections_total", reason=ejected.value)
        if reply.load.leaving:
            self._leaving.add(chosen.record)
        self._update_room(progress, place, reply)
        progress.attempts.append(
            _Attempt(
                target=chosen.record.target,
                node=chosen.member.node,
                outcome=_describe_outcome(reply),
                milliseconds=_milliseconds(now - started),
                load=load,
                load_age_ms=(
                    None if load_age is None else _milliseconds(load_age)
                ),
            )
        )
        return reply

    def _update_room(
        self,
        progress: _Progress,
        place: service_room.AskedPlace,
        reply: call_transport.Reply,
    ) -> None:
        if isinstance(reply, messages.CallAnswer):
            self._room.record_admitted(place)
            return
        failure = reply.failure
        if not _is_full(failure) or failure.retry_after is None:
            return
        now = self._clock.monotonic()
        self._room.record_refused(place, now, failure.retry_after)
        _keep_refusal(progress, place, failure.retry_after)

    def _handle_reply(
        self, progress: _Progress, reply: call_transport.Reply
    ) -> bool:
        """Record a reply and return whether to try another target."""
        if isinstance(reply, messages.CallAnswer):
            progress.response = reply
            if reply.status < FAILED_STATUS_MIN:
                return False
            progress.offers += 1
            return progress.entry.repeatable and self._grant_retry(
                progress, progress.offers
            )
        progress.record_failure(reply)
        failure = reply.failure
        may_have_run = failure.verdict is not verdict.Verdict.NOT_RUN
        if not failure.offered and not may_have_run:
            progress.refusals += 1
            return progress.refusals < REFUSALS_MAX
        progress.offers += 1
        if may_have_run and not progress.entry.repeatable:
            return False
        if progress.retry_granted:
            progress.retry_granted = False
            return True
        return self._grant_retry(progress, progress.offers)

    def _may_leave(self, progress: _Progress, member: messages.Member) -> bool:
        """Return whether to wait no longer for an unresponsive node.

        Its target may still be working on the request.
        """
        if progress.retry_granted or self._has_restarted(member):
            return True
        if self._shutdown.begun:
            return False
        if not progress.entry.repeatable:
            return False
        if not self._find_candidates(progress, self._clock.monotonic()):
            return False
        progress.retry_granted = self._grant_retry(
            progress, progress.offers + 1
        )
        return progress.retry_granted

    def _grant_retry(self, progress: _Progress, offers: int) -> bool:
        """Return whether another attempt may follow after ``offers``."""
        if offers >= progress.entry.attempts:
            return False
        now = self._clock.monotonic()
        total_time = progress.deadline - progress.started
        if progress.deadline - now < total_time * TIME_LEFT_RATIO_MIN:
            return False
        if not self._budget.try_withdraw(progress.service, now):
            self._metrics.count("retries_unfunded_total")
            return False
        self._metrics.count("retries_total")
        return True

    def _confirmation_fields(self) -> dict[str, typing.Any]:
        known = self._confirmer.confirmation
        return {
            "confirmed": known.confirmed,
            "confirmed_by": known.source,
            "confirmed_age_ms": decision_log.milliseconds(known.age),
            "later_version": known.later_version,
        }

    def _log_reply(
        self, progress: _Progress, reply: call_transport.Reply
    ) -> None:
        if isinstance(reply, messages.CallAnswer):
            outcome = f"status {reply.status}"
            self._metrics.count("calls_total", verdict="ran")
            succeeded = reply.status < FAILED_STATUS_MIN
            self._log_request(progress, outcome, routine=succeeded)
            return
        failure = reply.failure
        self._metrics.count("calls_total", verdict=failure.verdict.value)
        self._log_request(
            progress,
            failure.reason.value,
            verdict=failure.verdict.value,
            text=failure.message,
        )

    def _log_request(
        self,
        progress: _Progress,
        outcome: str,
        routine: bool = False,
        **fields: typing.Any,
    ) -> None:
        now = self._clock.monotonic()
        write = (
            self._decisions.write_routine if routine else self._decisions.write
        )
        elapsed = now - progress.started
        self._metrics.observe("call_seconds", elapsed.total_seconds())
        write(
            "request",
            request_id=progress.request.request_id,
            call_id=progress.call_id,
            entry=progress.entry.name,
            service=progress.service,
            configuration=self._router.version,
            outcome=outcome,
            milliseconds=_milliseconds(elapsed),
            attempts=progress.attempts,
            **fields,
        )


def _is_unknown(
    found: result.Result[_Resolved, verdict.Failure],
) -> bool:
    if isinstance(found, result.Success):
        return False
    return found.failure().reason in UNKNOWN_REASONS


def _build_request(
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
        headers=progress.headers,
        timeout=progress.deadline - now,
        idempotent=progress.entry.repeatable,
        body=request.body,
        route=progress.entry.name,
        objective=max(objective, datetime.timedelta()),
        priority=progress.priority,
        instance=chosen.record.instance,
    )


def _done_info(reply: call_transport.Reply) -> picker.DoneInfo:
    if isinstance(reply, messages.CallAnswer):
        if reply.status >= FAILED_STATUS_MIN:
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


def _describe_outcome(reply: call_transport.Reply) -> str:
    if isinstance(reply, messages.CallAnswer):
        return f"status {reply.status}"
    failure = reply.failure
    return f"{failure.verdict.value}: {failure.reason.value}"


def _milliseconds(duration: datetime.timedelta) -> float:
    return round(duration / datetime.timedelta(milliseconds=1), 1)


def _ended_reply(progress: _Progress) -> call_transport.Reply:
    if progress.attempting:
        progress.record_failure(entry_failures.stopped(progress.call_id))
    if progress.response is not None:
        return progress.response
    return progress.worst_failure or entry_failures.no_target(
        progress.call_id, progress.service
    )


def _place(
    progress: _Progress,
    candidate: picker.Candidate,
    now: datetime.timedelta,
) -> service_room.AskedPlace:
    return service_room.AskedPlace(
        service=progress.service,
        entry=progress.entry.name,
        zone=candidate.member.zone,
        target=candidate.record.target,
        time_left=progress.deadline - now,
        priority=progress.priority,
    )


def _keep_refusal(
    progress: _Progress,
    place: service_room.AskedPlace,
    wait: datetime.timedelta,
) -> None:
    """Keep the shortest of the waits that are known for the request."""
    progress.refused_place = place
    if progress.shortest_wait is None or wait < progress.shortest_wait:
        progress.shortest_wait = wait


def _is_full(failure: verdict.Failure) -> bool:
    return failure.reason is verdict.Reason.OVERLOADED and not failure.offered
