"""The lines about calls: whole answers, true verdicts, at most once."""

import datetime

from balsamramp_testing.scenario import record
from balsamramp_testing.scenario.invariants import invariant

__all__ = ["INVARIANTS"]

NOT_RUN = "not-run"
RAN = "ran"
STATUS_OK = 200


class OwnAnswer(invariant.Invariant):
    """An answer is the whole answer to the caller's own request."""

    number = 7
    name = "own-answer"
    doc = "every caller gets the whole answer to its own request"

    def check(self, seen: record.History) -> list[str]:
        found = []
        for call in seen.calls:
            for attempt in call.attempts:
                if attempt.status != STATUS_OK:
                    continue
                if attempt.answer == call.body:
                    continue
                found.append(
                    f"{call.body!r} was answered {attempt.answer!r} "
                    f"at {attempt.ended}"
                )
        return found

    def count(self, seen: record.History) -> int:
        return sum(call.answered for call in seen.calls)


class TrueNotRun(invariant.Invariant):
    """A call that was said not to have run never ran, before or after.

    A refusal of a keyed call that was sent again covers all its
    attempts up to that one.
    """

    number = 8
    name = "true-not-run"
    doc = 'a refusal that says "not run" is true'

    def check(self, seen: record.History) -> list[str]:
        runs = seen.runs_by_body()
        found = []
        for call in seen.calls:
            for attempt in call.attempts:
                if attempt.verdict != NOT_RUN:
                    continue
                ran = [
                    run
                    for run in runs.get(call.body, ())
                    if run.attempt <= attempt.number
                ]
                if not ran:
                    continue
                found.append(
                    f"{call.body!r}, attempt {attempt.number}, was told "
                    f"not-run ({attempt.reason}) at {attempt.ended} and ran "
                    f"at {ran[0].target} at {ran[0].began}"
                )
        return found

    def count(self, seen: record.History) -> int:
        return sum(
            attempt.verdict == NOT_RUN
            for call in seen.calls
            for attempt in call.attempts
        )


class AtMostOnce(invariant.Invariant):
    """A call that is not idempotent runs at most once."""

    number = 9
    name = "at-most-once"
    doc = "a non-idempotent call runs at most once"

    def check(self, seen: record.History) -> list[str]:
        runs = seen.runs_by_body()
        found = []
        for call in seen.calls:
            own = runs.get(call.body, [])
            if call.kind == record.IDEMPOTENT or len(own) <= 1:
                continue
            places = ", ".join(
                f"{run.target} at {run.began} (attempt {run.attempt})"
                for run in own
            )
            found.append(f"{call.body!r} ran {len(own)} times: {places}")
        return found

    def count(self, seen: record.History) -> int:
        return sum(call.kind != record.IDEMPOTENT for call in seen.calls)


class GracefulShutdown(invariant.Invariant):
    """A call in flight when a target or node leaves has its answer.

    Calls that another fault touched on their way are not counted here.
    """

    number = 11
    name = "graceful-shutdown"
    doc = "a graceful shutdown cuts no request"

    def check(self, seen: record.History) -> list[str]:
        found = []
        for call, run in self._in_flight(seen):
            attempt = call.attempts[run.attempt - 1]
            if attempt.verdict == RAN or attempt.ended is None:
                continue
            if self._touched(seen, attempt, run):
                continue
            found.append(
                f"{call.body!r} ran at {run.target} from {run.began} and was "
                f"cut: {attempt.verdict} {attempt.reason} at {attempt.ended}"
            )
        return found

    def count(self, seen: record.History) -> int:
        return len(self._in_flight(seen))

    def _in_flight(
        self, seen: record.History
    ) -> list[tuple[record.CallRecord, record.Run]]:
        calls = {call.body: call for call in seen.calls}
        found = []
        for name, at in seen.leaving + seen.stopping:
            for run in seen.runs:
                ended = run.ended or datetime.timedelta.max
                if not run.began <= at <= ended:
                    continue
                call = calls[run.body]
                sender = call.attempts[run.attempt - 1].node
                if name in (run.target, run.node, sender):
                    found.append((call, run))
        return found

    def _touched(
        self, seen: record.History, attempt: record.Attempt, run: record.Run
    ) -> bool:
        ended = attempt.ended or attempt.began
        names = (attempt.node, run.node, run.target)
        return any(
            seen.had_fault(name, attempt.began, ended) for name in names
        )


INVARIANTS: tuple[type[invariant.Invariant], ...] = (
    OwnAnswer,
    TrueNotRun,
    AtMostOnce,
    GracefulShutdown,
)
