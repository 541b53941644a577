"""Soak checks: the promises to callers, operators and targets.

What callers sent and were answered is compared with what reached the
targets. Promises with a time bound hold for nodes that no fault has
touched lately.
"""

from collections import abc

import attrs
import soak_losses
import soak_records
import soak_target

__all__ = ["LimitWindow", "NoTrafficWindow", "SoakHistory"]

# Statuses that say that a request has not run and never will.
NOT_RUN = frozenset([408, 421, 429, 503])
STATUS_SUCCESS = range(200, 300)
STATUS_NOT_FOUND = 404
# Bounds of the users' sites, in seconds.
DRAIN_BOUND = 2.0
EVACUATION_BOUND = 5.0
APPLY_BOUND = 2.0
# Of a stated rate limit: the window, and what may exceed the rate in it.
LIMIT_WINDOW = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_SLACK = 5
LIMIT_NOTICE = 3.0
TOUCH = 3.0
# Time in which work for a caller that has left ends, with that for the soak's
# own delay.
DEPARTED_BOUND = 0.5
DEPARTED_SLACK = 0.3
# Of what is sent once all faults are over, so much is served at least.
RECOVERED_PART = 0.9


@attrs.frozen
class NoTrafficWindow:
    """From when on a target or a zone gets nothing, and until when.

    ``stated`` tells that a target said so in its answers. A node that has
    started or stood still since then does not have to know.
    """

    place: str
    at: float
    until: float = float("inf")
    stated: bool = False


@attrs.frozen
class LimitWindow:
    """What reached a target while it stated a rate limit.

    It first did so at ``at``; ``arrivals`` are the times of requests until
    the limit ended.
    """

    target: str
    rate: float
    at: float
    arrivals: list[float]


@attrs.define
class SoakHistory:
    """All that was seen in one soak.

    ``fault_windows`` has for each node when faults that concern it began and
    ended, and ``work_windows`` the same for planned work; ``versions`` has
    when each configuration was acknowledged. In ``late_windows`` the soak's
    own event loop was late, and noticed nothing. ``grace`` is the time that a
    process has from SIGTERM to its end. ``callers`` have to be served once
    all faults are over, and ``not_ready`` has the nodes that were not ready.
    ``interruptions`` has when processes of a node started or stood still.
    """

    exchanges: list[soak_records.Exchange] = attrs.field(factory=list)
    runs: list[soak_target.Run] = attrs.field(factory=list)
    drained: list[NoTrafficWindow] = attrs.field(factory=list)
    limits: list[LimitWindow] = attrs.field(factory=list)
    evacuated: list[NoTrafficWindow] = attrs.field(factory=list)
    fault_windows: dict[str, list[tuple[float, float]]] = attrs.field(
        factory=dict
    )
    work_windows: dict[str, list[tuple[float, float]]] = attrs.field(
        factory=dict
    )
    work: list[soak_records.PlannedWork] = attrs.field(factory=list)
    grace: float = 3.0
    unanswered: list[soak_records.UnansweredCount] = attrs.field(factory=list)
    late_windows: list[tuple[float, float]] = attrs.field(factory=list)
    versions: dict[int, float] = attrs.field(factory=dict)
    ended: list[str] = attrs.field(factory=list)
    outlived: list[str] = attrs.field(factory=list)
    callers: list[str] = attrs.field(factory=list)
    not_ready: list[str] = attrs.field(factory=list)
    calm_from: float = float("inf")
    interruptions: dict[str, list[float]] = attrs.field(factory=dict)

    def problems(self, bounds: bool) -> list[str]:
        """Return each broken promise; those in time if ``bounds``."""
        found = [f"a process ended by itself: {text}" for text in self.ended]
        found += [f"{text} outlived its grace" for text in self.outlived]
        found += [f"not ready after all faults: {x}" for x in self.not_ready]
        found += self.losses()
        found += self._at_most_once()
        found += self._true_refusals()
        found += self._own_answers()
        found += self._asked_for()
        found += self._versions_rise()
        found += self._recovered()
        found += self._starved()
        if bounds:
            found += self._in_force()
            found += self._departed()
            found += self._drains()
            found += self._limits()
            found += self._evacuations()
        return found

    def is_unaffected(self, node: str, since: float, until: float) -> bool:
        """Tell whether neither fault nor work concerned ``node`` lately."""
        work = self.work_windows.get(node, ())
        return not self.has_fault(node, since, until) and not _overlap(
            work, since, until
        )

    def has_fault(self, node: str, since: float, until: float) -> bool:
        """Tell whether a fault that nobody planned concerned ``node``."""
        return _overlap(self.fault_windows.get(node, ()), since, until)

    def losses(self) -> list[str]:
        """Return each accepted request that ended without an answer."""
        checks = soak_losses.LossChecks(
            exchanges=self.exchanges,
            runs=self._runs_of(),
            work=self.work,
            grace=self.grace,
            unanswered=self.unanswered,
            late_windows=self.late_windows,
            has_fault=self.has_fault,
        )
        return checks.problems()

    def _runs_of(self) -> dict[str, list[soak_target.Run]]:
        by_id: dict[str, list[soak_target.Run]] = {}
        for run in self.runs:
            by_id.setdefault(run.request_id, []).append(run)
        return by_id

    def _at_most_once(self) -> list[str]:
        runs = self._runs_of()
        return [
            f"{item.request_id} ran {len(runs[item.request_id])} times"
            for item in self.exchanges
            if not item.repeatable and len(runs.get(item.request_id, ())) > 1
        ]

    def _true_refusals(self) -> list[str]:
        runs = self._runs_of()
        return [
            f"{item.request_id} was answered {item.status} and ran"
            for item in self.exchanges
            if not item.repeatable
            and item.status in NOT_RUN
            and item.request_id in runs
        ]

    def _own_answers(self) -> list[str]:
        found = []
        for item in self.exchanges:
            if item.status not in STATUS_SUCCESS:
                continue
            expected = soak_target.body_of(item.request_id)
            proof = soak_target.proof_of(item.request_id)
            if (item.body, item.proof) != (expected, proof):
                found.append(
                    f"{item.request_id} got {len(item.body)} bytes that are"
                    f" not its answer: {item.body[:20]!r}"
                )
        return found

    def _asked_for(self) -> list[str]:
        known = {item.request_id: item for item in self.exchanges}
        found = []
        for run in self.runs:
            asked = known.get(run.request_id)
            if asked is None:
                found.append(
                    f"nobody sent {run.request_id!r} for {run.target_path}"
                )
            elif run.target_path != asked.path:
                found.append(f"{run.request_id} ran as {run.target_path}")
            elif not asked.repeatable and run.body != asked.path.encode():
                found.append(f"{run.request_id} ran with another body")
        return found

    def _versions_rise(self) -> list[str]:
        """In one start of a node a route that was there stays there."""
        found = []
        newest: dict[tuple[str, int], tuple[int, float]] = {}
        for item in sorted(self.exchanges, key=lambda one: one.ended_at):
            place = (item.node, item.start)
            known, at = newest.get(place, (-1, 0.0))
            if item.status == STATUS_NOT_FOUND:
                if item.asked_version <= known and item.sent_at > at:
                    found.append(
                        f"{item.request_id} was not found at {item.node},"
                        f" which had version {known}"
                    )
                continue
            served = item.status in STATUS_SUCCESS
            if served and item.asked_version > known:
                newest[place] = (item.asked_version, item.ended_at)
        return found

    def _recovered(self) -> list[str]:
        sent = [
            item
            for item in self.exchanges
            if item.sent_at >= self.calm_from and not item.asked_version
        ]
        served = [item for item in sent if item.status in STATUS_SUCCESS]
        if sent and len(served) >= RECOVERED_PART * len(sent):
            return []
        return [f"{len(served)} of {len(sent)} served after all faults"]

    def _starved(self) -> list[str]:
        served = {
            item.caller
            for item in self.exchanges
            if item.sent_at >= self.calm_from and item.status in STATUS_SUCCESS
        }
        return [
            f"caller {caller} was never served after all faults"
            for caller in self.callers
            if caller not in served
        ]

    def _in_force(self) -> list[str]:
        found = []
        for item in self.exchanges:
            if item.status != STATUS_NOT_FOUND or not item.asked_version:
                continue
            due = self.versions[item.asked_version] + APPLY_BOUND
            calm = self.is_unaffected(
                item.node, due - APPLY_BOUND, item.ended_at
            )
            if item.sent_at > due and calm:
                late = item.sent_at - due + APPLY_BOUND
                found.append(
                    f"{item.request_id} was not found at {item.node}"
                    f" {late:.2f} s after version {item.asked_version}"
                )
        return found

    def _departed(self) -> list[str]:
        """Return the runs that began after their callers had left.

        A node that stood still meanwhile does not know, unless it had read
        nothing of the request.
        """
        runs = self._runs_of()
        found = []
        for item in self.exchanges:
            if item.ending is not soak_records.Ending.LEFT:
                continue
            for run in runs.get(item.request_id, ()):
                due = item.ended_at + DEPARTED_BOUND + DEPARTED_SLACK
                known = not self.has_fault(item.node, item.sent_at, run.at)
                if item.unread or (known and run.at > due):
                    found.append(
                        f"{item.request_id} of {item.node} ran at {run.target}"
                        f" {run.at - item.ended_at:.2f} s after its caller"
                        f" left; unread: {item.unread}"
                    )
        return found

    def _drains(self) -> list[str]:
        return [
            f"{run.request_id} reached {run.target} {run.at - mark.at:.2f} s"
            " after it said that it leaves"
            for mark in self.drained
            for run in self.runs
            if run.target == mark.place
            and run.at > mark.at + DRAIN_BOUND
            and not (mark.stated and self._is_excused(run, mark.at))
        ]

    def _is_excused(self, run: soak_target.Run, since: float) -> bool:
        """Tell whether the node that took the request was interrupted."""
        for item in self.exchanges:
            if item.request_id == run.request_id:
                times = self.interruptions.get(item.node, ())
                return any(since < at <= run.at for at in times)
        return False

    def _limits(self) -> list[str]:
        found = []
        for limit in self.limits:
            due = limit.at + LIMIT_NOTICE
            times = [item for item in limit.arrivals if item > due]
            for number, first in enumerate(times):
                window = first + LIMIT_WINDOW
                count = sum(item <= window for item in times[number:])
                allowed = limit.rate * LIMIT_WINDOW * LIMIT_OVERAGE
                if count > allowed + LIMIT_SLACK:
                    found.append(
                        f"{limit.target} got {count} requests in"
                        f" {LIMIT_WINDOW:.0f} s at a limit of {limit.rate}"
                    )
                    break
        return found

    def _evacuations(self) -> list[str]:
        nodes = {item.request_id: item for item in self.exchanges}
        found = []
        for mark in self.evacuated:
            due = mark.at + EVACUATION_BOUND
            for run in self.runs:
                if run.zone != mark.place or not due < run.at < mark.until:
                    continue
                node = nodes[run.request_id].node
                if self.is_unaffected(node, mark.at, run.at):
                    found.append(
                        f"{run.request_id} from {node} reached zone"
                        f" {run.zone} {run.at - mark.at:.2f} s after it"
                        " was taken out"
                    )
        return found


def _overlap(
    windows: abc.Iterable[tuple[float, float]], since: float, until: float
) -> bool:
    return any(
        began <= until and ended >= since - TOUCH for began, ended in windows
    )
