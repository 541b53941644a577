"""The lines about versions: never back, whole, in force everywhere."""

import datetime
import typing

from balsamramp_testing.scenario import record
from balsamramp_testing.scenario.invariants import invariant

__all__ = ["INVARIANTS", "windows"]

IN_FORCE_TIME = datetime.timedelta(seconds=4)
SAMPLE_GAP_MAX = datetime.timedelta(milliseconds=250)

Resources = dict[tuple[str, str], dict[str, typing.Any]]


def windows(
    seen: record.History,
) -> dict[tuple[str, int], list[list[record.Sample]]]:
    """Return the samples of each node incarnation in unbroken stretches."""
    found: dict[tuple[str, int], list[list[record.Sample]]] = {}
    for sample in seen.samples:
        key = (sample.node, sample.incarnation)
        stretches = found.setdefault(key, [])
        if stretches and sample.at - stretches[-1][-1].at <= SAMPLE_GAP_MAX:
            stretches[-1].append(sample)
            continue
        stretches.append([sample])
    return found


class NeverBack(invariant.Invariant):
    """A version in force is only replaced by a later one."""

    number = 1
    name = "never-back"
    doc = "no proxy ever returns to an older configuration version"

    def check(self, seen: record.History) -> list[str]:
        found = []
        last: dict[tuple[str, int], int] = {}
        for swap in seen.swaps:
            key = (swap.node, swap.incarnation)
            if swap.version <= last.get(key, 0):
                found.append(
                    f"{swap.node} went from {last[key]} to {swap.version} "
                    f"at {swap.at}"
                )
            last[key] = swap.version
        return found + self._samples(seen)

    def count(self, seen: record.History) -> int:
        return len(seen.swaps)

    def _samples(self, seen: record.History) -> list[str]:
        found = []
        last: dict[tuple[str, int], int] = {}
        for sample in seen.samples:
            key = (sample.node, sample.incarnation)
            if sample.version < last.get(key, 0):
                found.append(
                    f"{sample.node} had {last[key]}, then {sample.version} "
                    f"at {sample.at}"
                )
            last[key] = sample.version
        return found


class NoDangling(invariant.Invariant):
    """Whatever a resource in force needs is in force with it."""

    number = 2
    name = "no-dangling"
    doc = "no route points at a resource that its proxy lacks"

    def check(self, seen: record.History) -> list[str]:
        return [
            f"{swap.node} at version {swap.version}: {text}"
            for swap in seen.swaps
            for text in swap.dangling
        ]

    def count(self, seen: record.History) -> int:
        return len(seen.swaps)


class Whole(invariant.Invariant):
    """Each version in force equals what the log yields for it."""

    number = 3
    name = "whole"
    doc = "a bad version is never applied in part"

    def check(self, seen: record.History) -> list[str]:
        expected = self._replay(seen)
        found = []
        for swap in seen.swaps:
            if swap.version not in expected:
                found.append(
                    f"{swap.node} has version {swap.version}, "
                    "which was never accepted"
                )
                continue
            if dict(swap.resources) != expected[swap.version]:
                found.append(
                    f"{swap.node} has another version {swap.version} "
                    "than was accepted"
                )
        return found

    def count(self, seen: record.History) -> int:
        return len(seen.swaps)

    def _replay(self, seen: record.History) -> dict[int, Resources]:
        current: Resources = {}
        versions = {}
        for change in sorted(seen.accepted, key=lambda item: item.version):
            current = dict(current)
            for document in change.puts:
                current[document["kind"], document["name"]] = document
            for key in change.deletes:
                current.pop(key, None)
            versions[change.version] = current
        return versions


class InForce(invariant.Invariant):
    """What a node could have had for 4 s, it has, and accepted stays."""

    number = 12
    name = "in-force"
    doc = "an accepted configuration is in force everywhere within seconds"

    def check(self, seen: record.History) -> list[str]:
        found = []
        for (node, _), stretches in windows(seen).items():
            for stretch in stretches:
                late = self._late(stretch)
                if late is not None:
                    found.append(
                        f"{node} had version {late.version} at {late.at}, "
                        f"over {IN_FORCE_TIME} after a later one"
                    )
        return found + self._lost(seen)

    def count(self, seen: record.History) -> int:
        return len(seen.accepted)

    def _late(self, stretch: list[record.Sample]) -> record.Sample | None:
        began = 0
        for index, sample in enumerate(stretch):
            while sample.at - stretch[began].at > IN_FORCE_TIME:
                began += 1
            if began == 0:
                continue
            window = stretch[began - 1 : index + 1]
            if sample.version < min(item.available for item in window):
                return sample
        return None

    def _lost(self, seen: record.History) -> list[str]:
        versions = sorted(item.version for item in seen.accepted)
        if versions != list(range(1, len(versions) + 1)):
            return [f"the accepted versions are {versions}"]
        accepted = seen.submissions.count("accepted")
        if accepted > len(versions):
            return [
                f"{accepted} submissions were told accepted, "
                f"{len(versions)} were"
            ]
        return []


INVARIANTS: tuple[type[invariant.Invariant], ...] = (
    NeverBack,
    NoDangling,
    Whole,
    InForce,
)
