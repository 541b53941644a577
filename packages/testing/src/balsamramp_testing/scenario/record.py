"""Record: what happened in a scenario, seen from outside the product."""

from collections import abc
import datetime
import typing

import attrs

__all__ = [
    "Accepted",
    "Attempt",
    "CallRecord",
    "FaultWindow",
    "Overload",
    "History",
    "Run",
    "Sample",
    "AppliedVersion",
    "TargetSpec",
]

ZERO = datetime.timedelta()
BOOKING = "booking"
IDEMPOTENT = "idempotent"
KEYED = "keyed"


@attrs.define(kw_only=True)
class TargetSpec:
    """A target as the scenario describes it.

    After each start ``cold_slots`` calls can run at once for
    ``cold_for``; times of behaviour count from the start of the scenario.
    """

    name: str
    service: str
    node: str
    version: str = "v1"
    slots: int = 20
    delay: datetime.timedelta = datetime.timedelta(milliseconds=5)
    cold_slots: int = 0
    cold_for: datetime.timedelta = ZERO
    fails_after: datetime.timedelta | None = None
    fails_over: int | None = None
    fails_on: str | None = None
    slow_by: datetime.timedelta = ZERO
    slow_after: datetime.timedelta = ZERO


@attrs.define(kw_only=True)
class Run:
    """One run of a call at a target, as the target saw it."""

    body: bytes
    attempt: int
    target: str
    service: str
    version: str
    node: str
    zone: str
    began: datetime.timedelta
    ended: datetime.timedelta | None = None
    bad: bool = False


@attrs.define(kw_only=True)
class Attempt:
    """One sending of a call by its caller and the reply to it.

    ``verdict`` is None when the caller lost its own node.
    """

    number: int
    node: str
    began: datetime.timedelta
    ended: datetime.timedelta | None = None
    verdict: str | None = None
    reason: str = ""
    status: int = 0
    answer: bytes = b""


@attrs.define(kw_only=True)
class CallRecord:
    """One call of a caller; a keyed one may have several attempts."""

    body: bytes
    service: str
    kind: str
    path: str
    attempts: list[Attempt] = attrs.field(factory=list)

    @property
    def answered(self) -> bool:
        """Tell whether the last attempt had a good answer."""
        return bool(self.attempts) and self.attempts[-1].status == 200

    @property
    def took(self) -> datetime.timedelta:
        """Return the time from the first sending to the last reply."""
        last = self.attempts[-1].ended
        return (last or ZERO) - self.attempts[0].began


@attrs.frozen(kw_only=True)
class Accepted:
    """A change that the platform's table took in."""

    version: int
    at: datetime.timedelta
    puts: tuple[dict[str, typing.Any], ...]
    deletes: tuple[tuple[str, str], ...]


@attrs.frozen(kw_only=True)
class AppliedVersion:
    """A version that came into force on a node.

    ``resources`` maps kind and name to the resource as plain data.
    """

    node: str
    incarnation: int
    at: datetime.timedelta
    version: int
    resources: abc.Mapping[tuple[str, str], dict[str, typing.Any]]
    dangling: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Sample:
    """What a node had and could have had at a moment.

    ``available`` is the highest version on the platform and the nodes
    that this node could reach, directly or through others.
    """

    node: str
    incarnation: int
    zone: str
    at: datetime.timedelta
    version: int
    available: int


@attrs.frozen(kw_only=True)
class Overload:
    """A target in its cold time was offered more than it bears."""

    target: str
    at: datetime.timedelta
    offered: int
    bears: int


@attrs.define(kw_only=True)
class FaultWindow:
    """A fault at a node or target, while which its calls may be cut."""

    name: str
    began: datetime.timedelta
    ended: datetime.timedelta | None = None


@attrs.define
class History:
    """All that was seen, and the expectations that did not hold."""

    calls: list[CallRecord] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    accepted: list[Accepted] = attrs.field(factory=list)
    swaps: list[AppliedVersion] = attrs.field(factory=list)
    samples: list[Sample] = attrs.field(factory=list)
    overloads: list[Overload] = attrs.field(factory=list)
    cold_offers: int = 0
    disturbances: list[FaultWindow] = attrs.field(factory=list)
    leaving: list[tuple[str, datetime.timedelta]] = attrs.field(factory=list)
    restarts: list[tuple[str, datetime.timedelta]] = attrs.field(factory=list)
    stopping: list[tuple[str, datetime.timedelta]] = attrs.field(factory=list)
    submissions: list[str] = attrs.field(factory=list)
    highest: dict[str, int] = attrs.field(factory=dict)
    phases: list[tuple[datetime.timedelta, str, str, str]] = attrs.field(
        factory=list
    )
    failures: list[str] = attrs.field(factory=list)

    def runs_by_body(self) -> dict[bytes, list[Run]]:
        """Return the runs of each call."""
        found: dict[bytes, list[Run]] = {}
        for run in self.runs:
            found.setdefault(run.body, []).append(run)
        return found

    def had_fault(
        self, name: str, began: datetime.timedelta, ended: datetime.timedelta
    ) -> bool:
        """Tell whether a fault touched ``name`` in this time."""
        for item in self.disturbances:
            if item.name != name or item.began > ended:
                continue
            if item.ended is None or item.ended >= began:
                return True
        return False
