"""The measures that a scenario can compare, looked up by name."""

import abc
import typing

from balsamramp_testing.scenario import record

__all__ = ["MEASURES", "Measure", "MeasureNotFoundError", "find"]


class MeasureNotFoundError(LookupError):
    """No measure has the given name."""


class Measure(abc.ABC):
    """A number found from the record, of all or of one name.

    A subclass declares ``name`` and ``doc``.
    """

    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]

    @abc.abstractmethod
    def value(self, seen: record.History, of: str | None) -> float:
        """Return the number; times are in seconds."""


def _calls(seen: record.History, of: str | None) -> list[record.CallRecord]:
    return [
        call
        for call in seen.calls
        if of is None or of in (call.service, call.kind)
    ]


class Calls(Measure):
    """Counts the calls sent."""

    name = "calls"
    doc = "calls sent"

    def value(self, seen: record.History, of: str | None) -> float:
        return len(_calls(seen, of))


class Answered(Measure):
    """Gives the share of calls with a good answer."""

    name = "answered"
    doc = "share of calls with a good answer"

    def value(self, seen: record.History, of: str | None) -> float:
        calls = _calls(seen, of)
        answered = sum(call.answered for call in calls)
        return answered / len(calls) if calls else 0.0


class Doubled(Measure):
    """Counts calls that must run at most once and ran again."""

    name = "doubled"
    doc = "non-idempotent calls that ran more than once"

    def value(self, seen: record.History, of: str | None) -> float:
        runs = seen.runs_by_body()
        return sum(
            call.kind != record.IDEMPOTENT and len(runs.get(call.body, ())) > 1
            for call in _calls(seen, of)
        )


class Lost(Measure):
    """Counts keyed calls that never had their answer."""

    name = "lost"
    doc = "keyed calls that never had their answer"

    def value(self, seen: record.History, of: str | None) -> float:
        return sum(
            call.kind == record.KEYED and not call.answered
            for call in _calls(seen, of)
        )


class Slowest(Measure):
    """Gives the time of 99 in 100 answered calls, in seconds."""

    name = "p99"
    doc = "time within which 99 in 100 answered calls ended, in seconds"

    def value(self, seen: record.History, of: str | None) -> float:
        times = sorted(call.took for call in _calls(seen, of) if call.answered)
        if not times:
            return 0.0
        return times[int(0.99 * (len(times) - 1))].total_seconds()


class Highest(Measure):
    """Gives the most calls that were in flight at a target."""

    name = "highest"
    doc = "most calls in flight at a target"

    def value(self, seen: record.History, of: str | None) -> float:
        return seen.highest.get(of or "", 0)


class Runs(Measure):
    """Counts the runs at a target, or of a version or zone."""

    name = "runs"
    doc = "runs at a target, or of a version or in a zone"

    def value(self, seen: record.History, of: str | None) -> float:
        return sum(
            of is None or of in (run.target, run.version, run.zone)
            for run in seen.runs
        )


class Accepted(Measure):
    """Counts the submissions with an outcome such as accepted."""

    name = "submissions"
    doc = "submissions that were accepted, rejected or unknown"

    def value(self, seen: record.History, of: str | None) -> float:
        return sum(of in (None, outcome) for outcome in seen.submissions)


MEASURES: dict[str, Measure] = {
    item.name: item()
    for item in (
        Accepted,
        Answered,
        Calls,
        Doubled,
        Highest,
        Lost,
        Runs,
        Slowest,
    )
}


def find(name: str) -> Measure:
    """Return the measure called ``name``."""
    found = MEASURES.get(name)
    if found is None:
        known = ", ".join(sorted(MEASURES))
        raise MeasureNotFoundError(f"no measure {name!r}; known: {known}")
    return found
