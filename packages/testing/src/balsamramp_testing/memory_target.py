"""Memory target: a target in memory, with behaviour to choose."""

import asyncio
import datetime

import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import verdict
from balsamramp_node import target_client
from balsamramp_node import targets
from balsamramp_wire import messages

__all__ = ["MemoryTarget", "MemoryTargetClient"]

STATUS_OK = 200
STATUS_FAILED = 500
STATUS_SHED = 503


@attrs.define(eq=False)
class MemoryTarget:
    """A target that answers after ``delay`` with its name.

    ``slots`` calls run at once, further ones are shed; calls to a path
    under one of ``failing_paths`` are answered with 500. ``runs`` counts
    the runs by request body, ``highest`` the calls in flight at most.
    """

    name: str
    slots: int = 20
    delay: datetime.timedelta = datetime.timedelta(milliseconds=2)
    failing_paths: tuple[str, ...] = ()
    dead: bool = False
    in_flight: int = 0
    highest: int = 0
    shed: int = 0
    runs: dict[bytes, int] = attrs.field(factory=dict)

    async def answer(
        self, request: messages.CallRequest, time: clock.Clock
    ) -> target_client.TargetAnswer:
        """Run ``request``, or shed it when no slot is free."""
        if self.in_flight >= self.slots:
            self.shed += 1
            return self._answer(STATUS_SHED)
        self.in_flight += 1
        self.highest = max(self.highest, self.in_flight)
        self.runs[request.body] = self.runs.get(request.body, 0) + 1
        try:
            await time.sleep(self.delay)
        finally:
            self.in_flight -= 1
        if request.path.startswith(self.failing_paths or "\0"):
            return self._answer(STATUS_FAILED)
        return self._answer(STATUS_OK)

    def _answer(self, status: int) -> target_client.TargetAnswer:
        return target_client.TargetAnswer(
            status=status, headers=(), body=self.name.encode()
        )


class MemoryTargetClient(target_client.TargetClient):
    """Calls memory targets by the host name in their URL."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self.targets: dict[str, MemoryTarget] = {}

    async def call(
        self,
        target: targets.Announcement,
        request: messages.CallRequest,
        left: datetime.timedelta,
    ) -> target_client.Called:
        found = self.targets.get(target.target)
        if found is None or found.dead:
            return _failure(verdict.Verdict.NOT_RUN, "cannot connect")
        try:
            async with asyncio.timeout(left.total_seconds()):
                answer = await found.answer(request, self._clock)
        except TimeoutError:
            return _failure(
                verdict.Verdict.MAY_HAVE_RUN,
                "no answer within the deadline",
                verdict.Reason.DEADLINE,
            )
        if found.dead:
            return _failure(verdict.Verdict.MAY_HAVE_RUN, "answer cut")
        if answer.status == STATUS_SHED:
            return _failure(
                verdict.Verdict.NOT_RUN, "shed", verdict.Reason.OVERLOADED
            )
        return result.Success(answer)


def _failure(
    ran: verdict.Verdict,
    message: str,
    reason: verdict.Reason = verdict.Reason.TARGET_FAILED,
) -> target_client.Called:
    return result.Failure(verdict.Failure(ran, reason, message))
