"""Door: the last check of each call to a target of this VM."""

import asyncio
from collections import abc
import datetime
import typing

import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import kernel
from balsamramp_core import metrics
from balsamramp_core import verdict
from balsamramp_node import admission
from balsamramp_node import call_transport
from balsamramp_node import outcome_watch
from balsamramp_node import target_client
from balsamramp_node import targets
from balsamramp_wire import messages

__all__ = ["Door"]

JOURNAL_RETENTION = datetime.timedelta(seconds=60)
JOURNAL_MAX_CALLS = 100_000
DRAIN_CHECK_INTERVAL = datetime.timedelta(milliseconds=20)
DRAIN_TIMEOUT = datetime.timedelta(seconds=10)
SHED_STATUSES = frozenset([429, 503])

LimitMaker = abc.Callable[[], admission.AdmissionLimit]


@attrs.define(eq=False)
class _Admitted:
    task: asyncio.Task[call_transport.Reply]
    kept_until: datetime.timedelta


@attrs.define(eq=False)
class _Gate:
    limit: admission.AdmissionLimit
    instance: str
    in_flight: int = 0


class Door(kernel.Service):
    """Admits calls to the targets of this VM, each call once.

    Every call to a target passes through here, so that the number in
    flight, the draining and the recognition of repeated messages are
    exact without agreement among nodes.
    """

    name = "door"
    requires = ("targets",)

    def __init__(
        self,
        incarnation: int,
        local: targets.LocalTargets,
        make_limit: LimitMaker,
        time: clock.Clock,
        counters: metrics.Metrics,
        client: target_client.TargetClient,
        is_zone_out: abc.Callable[[], bool],
        watch: outcome_watch.OutcomeWatch,
    ) -> None:
        self._incarnation = incarnation
        self._targets = local
        self._make_limit = make_limit
        self._clock = time
        self._metrics = counters
        self._client = client
        self._is_zone_out = is_zone_out
        self._watch = watch
        self._admitted: dict[str, _Admitted] = {}
        self._gates: dict[str, _Gate] = {}

    async def stop(self) -> None:
        self._targets.drain_all()
        await self._wait_until_idle()

    async def submit(
        self, request: messages.CallRequest
    ) -> call_transport.Reply:
        """Run the call, or attach to its run if it was submitted before."""
        known = self._admitted.get(request.call_id)
        if known is not None:
            self._metrics.count("repeated_calls_total")
            return await asyncio.shield(known.task)
        refusal = self._refusal(request)
        if refusal is not None:
            self._metrics.count("refused_total", reason=refusal.reason.value)
            return messages.CallFailure(
                call_id=request.call_id,
                failure=refusal,
                load=self._load(request.target),
            )
        task = asyncio.create_task(self._run(request))
        kept_until = self._clock.monotonic() + JOURNAL_RETENTION
        self._admitted[request.call_id] = _Admitted(task, kept_until)
        self._forget_old()
        return await asyncio.shield(task)

    def cancel(self, call_id: str) -> None:
        """Stop the call because nobody waits for its answer."""
        known = self._admitted.get(call_id)
        if known is not None:
            known.task.cancel()

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            target: {"in_flight": gate.in_flight, "limit": gate.limit.limit}
            for target, gate in sorted(self._gates.items())
        }

    def _refusal(
        self, request: messages.CallRequest
    ) -> verdict.Failure | None:
        if request.incarnation != self._incarnation:
            return _not_run(
                verdict.Reason.STALE_INCARNATION, "the node was restarted"
            )
        if self._is_zone_out():
            return _not_run(verdict.Reason.ZONE_OUT, "the zone is out")
        target = self._targets.find(request.target)
        if target is None:
            return _not_run(
                verdict.Reason.NO_TARGET, f"no target {request.target}"
            )
        if target.state is not messages.TargetState.READY:
            return _not_run(
                verdict.Reason.DRAINING,
                f"target {request.target} is {target.state.value}",
            )
        condemned = self._watch.refusal(target)
        if condemned is not None:
            return condemned
        gate = self._gate(target)
        if gate.in_flight >= gate.limit.limit:
            self._watch.refused(request, target)
            return _not_run(
                verdict.Reason.OVERLOADED,
                f"target {request.target} has no free slot",
            )
        if len(self._admitted) >= JOURNAL_MAX_CALLS:
            return _not_run(
                verdict.Reason.OVERLOADED, "too many calls to remember"
            )
        return None

    def _gate(self, target: targets.LocalTarget) -> _Gate:
        announcement = target.announcement
        gate = self._gates.get(announcement.target)
        if gate is None:
            gate = _Gate(self._make_limit(), announcement.instance)
            self._gates[announcement.target] = gate
        if gate.instance != announcement.instance:
            gate.instance = announcement.instance
            gate.limit.reset()
        return gate

    def _load(self, target: str) -> messages.Load:
        gate = self._gates.get(target)
        if gate is None:
            return messages.Load(0, 0)
        return messages.Load(gate.in_flight, gate.limit.limit)

    async def _run(
        self, request: messages.CallRequest
    ) -> call_transport.Reply:
        target = self._targets.find(request.target)
        assert target is not None
        gate = self._gate(target)
        gate.in_flight += 1
        started = self._clock.monotonic()
        outcome = admission.Outcome.CANCELLED
        reply: call_transport.Reply | None = None
        try:
            reply, outcome = await self._call_target(request, target)
        finally:
            now = self._clock.monotonic()
            gate.limit.finish(now, now - started, outcome, gate.in_flight)
            self._watch.finished(
                request, target, reply, outcome, now - started
            )
            gate.in_flight -= 1
            self._metrics.count("target_calls_total", outcome=outcome.value)
        return reply

    async def _call_target(
        self, request: messages.CallRequest, target: targets.LocalTarget
    ) -> tuple[call_transport.Reply, admission.Outcome]:
        called = await self._client.call(target.announcement, request)
        if isinstance(called, result.Failure):
            failure = called.failure()
            outcome = admission.Outcome.FAILED
            if failure.verdict is verdict.Verdict.RAN:
                outcome = admission.Outcome.ANSWERED
            return self._failed(request, failure), outcome
        found = called.unwrap()
        outcome = admission.Outcome.ANSWERED
        if found.status in SHED_STATUSES:
            outcome = admission.Outcome.SHED
        answer = messages.CallAnswer(
            call_id=request.call_id,
            status=found.status,
            headers=found.headers,
            body=found.body,
            load=self._load(request.target),
        )
        return answer, outcome

    def _failed(
        self, request: messages.CallRequest, failure: verdict.Failure
    ) -> messages.CallFailure:
        return messages.CallFailure(
            call_id=request.call_id,
            failure=failure,
            load=self._load(request.target),
        )

    def _forget_old(self) -> None:
        now = self._clock.monotonic()
        for call_id, admitted in self._admitted.items():
            if admitted.kept_until > now or not admitted.task.done():
                return
            del self._admitted[call_id]
            return

    async def _wait_until_idle(self) -> None:
        deadline = self._clock.monotonic() + DRAIN_TIMEOUT
        while self._clock.monotonic() < deadline:
            if all(gate.in_flight == 0 for gate in self._gates.values()):
                return
            await self._clock.sleep(DRAIN_CHECK_INTERVAL)


def _not_run(reason: verdict.Reason, message: str) -> verdict.Failure:
    return verdict.Failure(verdict.Verdict.NOT_RUN, reason, message)
