"""The lines about load: bad versions, cold targets, zones, leaving."""

import bisect
import datetime

from balsamramp_testing.scenario import record
from balsamramp_testing.scenario.invariants import configurations
from balsamramp_testing.scenario.invariants import invariant

__all__ = ["INVARIANTS"]

BAD_SHARE_MAX = 0.1
BAD_RUNS_SHOWN = 20
BAD_END_TIME = datetime.timedelta(seconds=4)
ZONE_OUT_TIME = datetime.timedelta(seconds=3)
LEAVE_TIME = datetime.timedelta(seconds=2)


class BadVersion(invariant.Invariant):
    """A bad version gets a small share, and nothing once it has shown.

    It has shown itself with its ``BAD_RUNS_SHOWN``-th bad run after the
    rollout began; ``BAD_END_TIME`` later it gets no more. If one of its
    first ``BAD_RUNS_SHOWN`` runs was bad already, it has had at most
    ``BAD_SHARE_MAX`` of the runs until then.
    """

    number = 4
    name = "bad-version"
    doc = "a bad version gets a small share, and none once it shows itself"

    def check(self, seen: record.History) -> list[str]:
        found = []
        for change in seen.accepted:
            for document in change.puts:
                if document["kind"] == "rollout":
                    found += self._rollout(seen, change.at, document)
        return found

    def count(self, seen: record.History) -> int:
        return sum(run.bad for run in seen.runs)

    def _rollout(
        self,
        seen: record.History,
        at: datetime.timedelta,
        intent: dict[str, str],
    ) -> list[str]:
        runs = [
            run
            for run in seen.runs
            if run.service == intent["service"] and run.began >= at
        ]
        new = [run for run in runs if run.version == intent["new"]]
        bad = [run for run in new if run.bad and run.ended is not None]
        ends = sorted(run.ended for run in bad if run.ended is not None)
        if len(ends) < BAD_RUNS_SHOWN:
            return []
        limit = ends[BAD_RUNS_SHOWN - 1] + BAD_END_TIME
        found = []
        late = [run for run in new if run.began > limit]
        if late:
            found.append(
                f"{len(late)} runs of {intent['new']} after {limit}, the "
                f"last at {late[-1].began}"
            )
        if any(run.bad for run in new[:BAD_RUNS_SHOWN]):
            found += self._share(intent, runs, limit)
        return found

    def _share(
        self,
        intent: dict[str, str],
        runs: list[record.Run],
        limit: datetime.timedelta,
    ) -> list[str]:
        until = [run for run in runs if run.began <= limit]
        new = sum(run.version == intent["new"] for run in until)
        if new <= BAD_SHARE_MAX * len(until):
            return []
        return [
            f"{new} of {len(until)} runs went to {intent['new']} until {limit}"
        ]


class ColdTarget(invariant.Invariant):
    """A target in its cold time is offered no more than it bears."""

    number = 5
    name = "cold-target"
    doc = "a fresh target receives no more load than it can bear"

    def check(self, seen: record.History) -> list[str]:
        return [
            f"{item.target} was offered {item.offered} and bears "
            f"{item.bears} at {item.at}"
            for item in seen.overloads
        ]

    def count(self, seen: record.History) -> int:
        return seen.cold_offers


class ZoneOut(invariant.Invariant):
    """A node that could know of it for 3 s starts no work in the zone."""

    number = 6
    name = "zone-out"
    doc = "a zone that was taken out receives no new work after seconds"

    def check(self, seen: record.History) -> list[str]:
        found = []
        informed = configurations.windows(seen)
        for began, ended, zone, version in self._outs(seen):
            for run in seen.runs:
                if run.zone != zone:
                    continue
                if not began + ZONE_OUT_TIME < run.began < ended:
                    continue
                if not self._knew(informed, run, version):
                    continue
                found.append(
                    f"{run.body!r} began in {zone} at {run.began}, which "
                    f"was out since {began}"
                )
        return found

    def count(self, seen: record.History) -> int:
        return len(self._outs(seen))

    def _outs(
        self, seen: record.History
    ) -> list[tuple[datetime.timedelta, datetime.timedelta, str, int]]:
        open_outs: dict[str, tuple[datetime.timedelta, int]] = {}
        found = []
        for change in sorted(seen.accepted, key=lambda item: item.version):
            for document in change.puts:
                if document["kind"] != "zone":
                    continue
                name = document["name"]
                if document["out"]:
                    open_outs.setdefault(name, (change.at, change.version))
                    continue
                if name in open_outs:
                    began, version = open_outs.pop(name)
                    found.append((began, change.at, name, version))
        for name, (began, version) in open_outs.items():
            found.append((began, datetime.timedelta.max, name, version))
        return found

    def _knew(
        self,
        informed: dict[tuple[str, int], list[list[record.Sample]]],
        run: record.Run,
        version: int,
    ) -> bool:
        for (node, _), stretches in informed.items():
            if node != run.node:
                continue
            for stretch in stretches:
                if self._knew_in(stretch, run, version):
                    return True
        return False

    def _knew_in(
        self, stretch: list[record.Sample], run: record.Run, version: int
    ) -> bool:
        times = [sample.at for sample in stretch]
        end = bisect.bisect_right(times, run.began)
        first = bisect.bisect_left(times, run.began - ZONE_OUT_TIME)
        window = stretch[first:end]
        if not window or first == 0:
            return False
        if run.began - window[-1].at > configurations.SAMPLE_GAP_MAX:
            return False
        return all(sample.available >= version for sample in window)


class LeavingTarget(invariant.Invariant):
    """A target that said it leaves starts no work after 2 s.

    It is no longer leaving from its next start on.
    """

    number = 10
    name = "leaving-target"
    doc = "a leaving target receives no new work after a few seconds"

    def check(self, seen: record.History) -> list[str]:
        found = []
        for target, at in seen.leaving:
            until = self._next_start(seen, target, at)
            late = [
                run
                for run in seen.runs
                if run.target == target and at + LEAVE_TIME < run.began < until
            ]
            if late:
                found.append(
                    f"{target} was leaving since {at} and began "
                    f"{late[0].body!r} at {late[0].began}"
                )
        return found

    def _next_start(
        self, seen: record.History, target: str, at: datetime.timedelta
    ) -> datetime.timedelta:
        starts = [
            start
            for name, start in seen.restarts
            if name == target and start > at
        ]
        return min(starts, default=datetime.timedelta.max)

    def count(self, seen: record.History) -> int:
        return len(seen.leaving)


INVARIANTS: tuple[type[invariant.Invariant], ...] = (
    BadVersion,
    ColdTarget,
    ZoneOut,
    LeavingTarget,
)
