"""Target: a memory target that records and behaves as its plan says."""

import datetime
import typing

import attrs

from balsamramp_core import clock
from balsamramp_node.inbound import target_client
from balsamramp_testing import memory_target
from balsamramp_testing import virtual_time
from balsamramp_testing.scenario import record
from balsamramp_wire import messages

__all__ = ["ATTEMPT_HEADER", "ScenarioTarget"]

ATTEMPT_HEADER = "x-attempt"


@attrs.define(eq=False)
class ScenarioTarget(memory_target.MemoryTarget):
    """Answers with the body of the request and records each run.

    It runs in a scope of its own, so that it goes on when the node in
    front of it is frozen or killed.
    """

    plan: record.TargetSpec = attrs.field(kw_only=True)
    zone: str = attrs.field(kw_only=True)
    seen: record.History = attrs.field(kw_only=True)
    began_at: datetime.timedelta = attrs.field(kw_only=True)
    started_at: datetime.timedelta = attrs.field(kw_only=True)
    leaving: bool = False
    instance: int = 1
    on_message: typing.Callable[..., None] | None = None
    scope: virtual_time.SimulatedProcess = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.scope = virtual_time.SimulatedProcess(f"target-{self.name}")

    async def answer(
        self, request: messages.CallRequest, time: clock.Clock
    ) -> target_client.TargetResponse:
        answered = await self.scope.run(self._serve(request, time))
        if answered is None:
            answered = self._answer(memory_target.STATUS_FAILED)
        if self.on_message is not None:
            self.on_message(self.name, request, answered)
        return answered

    async def _serve(
        self, request: messages.CallRequest, time: clock.Clock
    ) -> target_client.TargetResponse:
        plan = self.plan
        now = time.monotonic() - self.began_at
        self._note_offer(now)
        if self.in_flight >= self._slots(now):
            self.shed += 1
            return self._answer(memory_target.STATUS_SHED)
        run = self._begin(request, now)
        bad = self._is_bad(request.path, now)
        slow = plan.slow_by if now >= plan.slow_after else record.ZERO
        run.bad = bad or slow > record.ZERO
        try:
            await time.sleep(plan.delay + slow)
        finally:
            self.in_flight -= 1
            run.ended = time.monotonic() - self.began_at
        status = memory_target.STATUS_OK
        if bad:
            status = memory_target.STATUS_FAILED
        return target_client.TargetResponse(
            status=status, headers=(), body=request.body
        )

    def _begin(
        self, request: messages.CallRequest, now: datetime.timedelta
    ) -> record.Run:
        self.in_flight += 1
        self.highest = max(self.highest, self.in_flight)
        self.seen.highest[self.name] = self.highest
        headers = dict(request.headers)
        run = record.Run(
            body=request.body,
            attempt=int(headers.get(ATTEMPT_HEADER, "1")),
            target=self.name,
            service=self.plan.service,
            version=self.plan.version,
            node=self.plan.node,
            zone=self.zone,
            began=now,
        )
        self.seen.runs.append(run)
        return run

    def _note_offer(self, now: datetime.timedelta) -> None:
        bears = self.plan.cold_slots
        if not self._cold(now):
            return
        self.seen.cold_offers += 1
        if self.in_flight < bears:
            return
        self.seen.overloads.append(
            record.Overload(
                target=self.name,
                at=now,
                offered=self.in_flight + 1,
                bears=bears,
            )
        )

    def _cold(self, now: datetime.timedelta) -> bool:
        if not self.plan.cold_slots:
            return False
        return now < self.started_at + self.plan.cold_for

    def _slots(self, now: datetime.timedelta) -> int:
        return self.plan.cold_slots if self._cold(now) else self.plan.slots

    def _is_bad(self, path: str, now: datetime.timedelta) -> bool:
        plan = self.plan
        checks: tuple[typing.Any, ...] = (
            plan.fails_after is not None and now >= plan.fails_after,
            plan.fails_over is not None and self.in_flight > plan.fails_over,
            plan.fails_on is not None and path.startswith(plan.fails_on),
        )
        return any(checks)
