"""Statements that say what is expected."""

import datetime
import operator
import typing

import attrs

from balsamramp_testing.scenario import environment
from balsamramp_testing.scenario import measures
from balsamramp_testing.scenario import statement

__all__ = ["STATEMENTS"]

POLL_INTERVAL = datetime.timedelta(milliseconds=50)
COMPARISONS: dict[str, typing.Callable[[float, float], bool]] = {
    ">=": operator.ge,
    "<=": operator.le,
    "=": operator.eq,
    ">": operator.gt,
    "<": operator.lt,
}


class Expect(statement.Statement):
    """Compares a measure, of all calls so far or of one name."""

    name = "expect"
    syntax = (
        '"expect" NAME ["of" NAME] COMPARISON (NUMBER | PERCENT | DURATION)'
    )
    doc = "compares a measure with a bound"

    def __init__(
        self,
        measure: str,
        of: str | None,
        comparison: str,
        bound: float | datetime.timedelta,
    ) -> None:
        try:
            self._measure = measures.find(measure)
        except measures.MeasureNotFoundError as error:
            raise ValueError(str(error)) from None
        self._of = of
        self._comparison = comparison
        self._bound = bound
        self._text = f"{measure} {comparison} {bound}"

    async def run(self, on: environment.Environment) -> None:
        found = self._measure.value(on.history, self._of)
        bound = self._bound
        if isinstance(bound, datetime.timedelta):
            bound = bound.total_seconds()
        if not COMPARISONS[self._comparison](found, bound):
            on.fail(f"expected {self._text}, found {found:g}")


@attrs.frozen
class ExpectInForce(statement.Statement):
    """Expects the last accepted version on all nodes within a time."""

    name = "expect_in_force"
    syntax = '"expect" "version" "in" "force" "on" "all" "within" DURATION'
    doc = "expects the last accepted version on all nodes within a time"

    duration: datetime.timedelta

    async def run(self, on: environment.Environment) -> None:
        on.run_in_background(self._watch(on))

    async def _watch(self, on: environment.Environment) -> None:
        deadline = on.now + self.duration
        while on.now <= deadline:
            if await on.in_force():
                return
            await on.clock.sleep(POLL_INTERVAL)
        on.fail(f"the version is not in force on all within {self.duration}")


@attrs.frozen
class ExpectRollout(statement.Statement):
    """Expects a rollout in a phase on some node within a time."""

    name = "expect_rollout"
    syntax = '"expect" "rollout" NAME NAME "within" DURATION'
    doc = "expects a rollout in a phase on all nodes within a time"

    rollout: str
    phase: str
    duration: datetime.timedelta

    async def run(self, on: environment.Environment) -> None:
        on.run_in_background(self._watch(on))

    async def _watch(self, on: environment.Environment) -> None:
        deadline = on.now + self.duration
        phases: set[str] = set()
        while on.now <= deadline:
            phases = await on.rollout_phases(self.rollout)
            if phases == {self.phase}:
                return
            await on.clock.sleep(POLL_INTERVAL)
        on.fail(
            f"rollout {self.rollout} is {sorted(phases)}, not {self.phase}, "
            f"after {self.duration}"
        )


@attrs.frozen
class ExpectNoCall(statement.Statement):
    """Expects that no run begins in a zone for a while from now."""

    name = "expect_no_call"
    syntax = '"expect" "no" "call" "in" NAME "after" DURATION "for" DURATION'
    doc = "expects that no call begins in a zone after a time, for a while"

    zone: str
    after: datetime.timedelta
    duration: datetime.timedelta

    async def run(self, on: environment.Environment) -> None:
        on.run_in_background(self._watch(on))

    async def _watch(self, on: environment.Environment) -> None:
        began = on.now + self.after
        await on.clock.sleep(self.after + self.duration)
        found = [
            run
            for run in on.history.runs
            if run.zone == self.zone and began <= run.began <= on.now
        ]
        if found:
            on.fail(f"{len(found)} calls began in {self.zone}")


STATEMENTS: tuple[type[statement.Statement], ...] = (
    Expect,
    ExpectInForce,
    ExpectRollout,
    ExpectNoCall,
)
