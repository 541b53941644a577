"""In-memory target with configurable behaviour."""

import asyncio
import datetime

import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import verdict
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import targets
from balsamramp_wire import messages

__all__ = ["MemoryTarget", "MemoryTargetClient"]

CRASH_EXCESS_CALLS = 20
CRASH_DURATION = datetime.timedelta(seconds=1)
STATUS_OK = 200
STATUS_FAILED = 500
STATUS_SHED = 503


@attrs.define(eq=False)
class MemoryTarget:
    """A target that responds after ``delay`` with its name.

    At most ``slots`` calls run concurrently; further ones are shed. Calls
    to a path that starts with one of ``failing_paths`` get status 500.
    ``runs`` counts the runs by request body; ``highest`` is the highest
    number of calls in flight.

    Until ``cold_until`` the target can serve only ``cold_slots`` calls.
    Each further one is shed and counted in ``excess``. After every
    ``CRASH_EXCESS_CALLS`` of them the target crashes: it is down for
    ``CRASH_DURATION``, aborts its running calls, and is then cold for
    ``cold_for``.
    """

    name: str
    slots: int = 20
    delay: datetime.timedelta = datetime.timedelta(milliseconds=2)
    failing_paths: tuple[str, ...] = ()
    dead: bool = False
    cold_slots: int = 5
    cold_for: datetime.timedelta = datetime.timedelta(seconds=3)
    cold_until: datetime.timedelta = datetime.timedelta()
    excess: int = 0
    crash_count: int = 0
    down_until: datetime.timedelta = datetime.timedelta()
    in_flight: int = 0
    highest: int = 0
    shed: int = 0
    runs: dict[bytes, int] = attrs.field(factory=dict)

    async def answer(
        self, request: messages.CallRequest, time: clock.Clock
    ) -> target_client.TargetResponse:
        """Run ``request``, or shed it when no slot is free."""
        now = time.monotonic()
        cold = now < self.cold_until
        if self.in_flight >= (self.cold_slots if cold else self.slots):
            self.shed += 1
            if cold:
                self._count_excess_call(now)
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

    def turn_cold(self, now: datetime.timedelta) -> None:
        """Serve only ``cold_slots`` calls until ``cold_for`` has passed."""
        self.cold_until = now + self.cold_for

    def is_down(self, now: datetime.timedelta) -> bool:
        """Return whether the target refuses connections at ``now``."""
        return self.dead or now < self.down_until

    def _count_excess_call(self, now: datetime.timedelta) -> None:
        self.excess += 1
        if self.excess % CRASH_EXCESS_CALLS:
            return
        self.crash_count += 1
        self.down_until = now + CRASH_DURATION
        self.cold_until = self.down_until + self.cold_for

    def _answer(self, status: int) -> target_client.TargetResponse:
        return target_client.TargetResponse(
            status=status, headers=(), body=self.name.encode()
        )


class MemoryTargetClient(target_client.TargetClient):
    """Calls the memory target that has the announced name."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self.targets: dict[str, MemoryTarget] = {}

    async def call(
        self,
        target: targets.Announcement,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
    ) -> target_client.TargetCallResult:
        found = self.targets.get(target.target)
        if found is None or found.is_down(self._clock.monotonic()):
            return _failure(verdict.Verdict.NOT_RUN, "cannot connect")
        try:
            async with asyncio.timeout(time_left.total_seconds()):
                answer = await found.answer(request, self._clock)
        except TimeoutError:
            return _failure(
                verdict.Verdict.MAY_HAVE_RUN,
                "no answer within the deadline",
                verdict.Reason.DEADLINE,
            )
        if found.is_down(self._clock.monotonic()):
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
) -> target_client.TargetCallResult:
    return result.Failure(verdict.Failure(ran, reason, message))
