"""Acceptance: gives operators' changes their versions on the platform."""

import asyncio
from collections import abc
import datetime
import random

from absl import logging
import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core import service_manager
from balsamramp_core import storage
from balsamramp_node.configuration import accepted_log
from balsamramp_node.configuration import distribution
from balsamramp_node.configuration import platform_log_reader
from balsamramp_node.configuration import store

__all__ = ["ChangeCommitter", "Rejection", "ChangeProposal"]

ACCEPT_TIMEOUT = datetime.timedelta(seconds=10)
BATCH_MAX_SUBMISSIONS = 64
BATCH_INTERVAL = datetime.timedelta(milliseconds=100)
BACKOFF = datetime.timedelta(milliseconds=20)
BACKOFF_DOUBLINGS = 6
NAMED_MAX = 5


@attrs.frozen(kw_only=True)
class ChangeProposal:
    """What an operator asks for.

    ``change_id`` stays the same when the operator's client repeats a
    submission, also through another node. ``base_version`` is the
    version the operator looked at; None submits without looking.
    """

    change_id: str
    author: str
    puts: tuple[resource.Resource, ...] = ()
    deletes: tuple[resource.ResourceKey, ...] = ()
    base_version: int | None = None

    def keys(self) -> set[resource.ResourceKey]:
        """Return the keys that the submission touches."""
        return {item.key for item in self.puts} | set(self.deletes)


@attrs.frozen
class Rejection:
    """A submission that was not accepted.

    ``conflict`` tells a race with another operator from bad content, and
    ``accepted`` is None when it is unknown whether it was accepted.
    ``changes`` are those that came between, for a conflict.
    """

    message: str
    conflict: bool = False
    accepted: bool | None = False
    changes: tuple[configuration.Change, ...] = ()


Outcome = result.Result[configuration.AcceptedVersion, Rejection]


@attrs.define(eq=False)
class _Waiting:
    submission: ChangeProposal
    answer: asyncio.Future[Outcome]

    def settle(self, outcome: Outcome) -> None:
        if not self.answer.done():
            self.answer.set_result(outcome)


class ChangeCommitter(service_manager.Service):
    """Accepts submissions, those that wait together in one transaction.

    A transaction takes the next versions for all of a batch, on the
    condition that the head of the log has not moved. Each submission is
    checked against the state that the ones before it lead to, and fails
    alone. There is at most one transaction at a time and one per
    BATCH_INTERVAL, so a burst costs the table a bounded rate of writes.
    """

    name = "acceptor"
    requires = ("source", "distribution")

    def __init__(
        self,
        log: accepted_log.AcceptedLog,
        reader: platform_log_reader.PlatformLogReader,
        configurations: store.ConfigurationStore,
        distributor: distribution.Distribution,
        time: clock.Clock,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._source = reader
        self._store = configurations
        self._distribution = distributor
        self._clock = time
        self._metrics = counters
        self._random = rng
        self._queue: list[_Waiting] = []
        self._taken: list[_Waiting] = []
        self._next_at = datetime.timedelta()
        self._task: asyncio.Task[None] | None = None

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def submit(self, submission: ChangeProposal) -> Outcome:
        """Accept ``submission`` behind the latest version."""
        waiting = _Waiting(
            submission, asyncio.get_running_loop().create_future()
        )
        self._queue.append(waiting)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._drain())
        return await waiting.answer

    async def _drain(self) -> None:
        while self._queue:
            pause = self._next_at - self._clock.monotonic()
            if pause > datetime.timedelta():
                await self._clock.sleep(pause)
            self._taken.clear()
            batch = self._take(BATCH_MAX_SUBMISSIONS)
            self._next_at = self._clock.monotonic() + BATCH_INTERVAL
            try:
                await self._accept(batch)
            except Exception:
                logging.exception("a batch of submissions failed")
                text = "internal error; whether it was accepted is unknown"
                _settle_all(self._taken, Rejection(text, accepted=None))

    def _take(self, count: int) -> list[_Waiting]:
        taken = self._queue[:count]
        del self._queue[:count]
        self._taken += taken
        return taken

    async def _back_off(self, attempt: int) -> None:
        longest = BACKOFF * 2 ** min(attempt, BACKOFF_DOUBLINGS)
        await self._clock.sleep(longest * self._random.random())

    async def _accept(self, batch: list[_Waiting]) -> None:
        uncertain = False
        reason = "the configuration changes too fast"
        conflict = False
        deadline = self._clock.monotonic() + ACCEPT_TIMEOUT
        attempt = 0
        while self._clock.monotonic() < deadline:
            conflict = False
            read = await self._source.read_now()
            if isinstance(read, result.Failure):
                reason = f"platform: {read.failure().message}"
                break
            if self._source.state is not platform_log_reader.LogState.IN_SYNC:
                reason = self._out_of_step()
                break
            batch, changes = self._prepare(batch)
            if not batch:
                return
            committed = await self._log.append(self._source.head, changes)
            if isinstance(committed, result.Success):
                self._bring_into_force(changes)
                _settle_accepted(batch, changes)
                return
            kind = committed.failure().kind
            reason = committed.failure().message
            if kind is storage.StorageErrorKind.UNAVAILABLE:
                break
            if kind is storage.StorageErrorKind.OUTCOME_UNKNOWN:
                uncertain = True
            self._metrics.count("acceptance_retries_total", kind=kind.value)
            conflict = kind is storage.StorageErrorKind.CONFLICT
            await self._back_off(attempt)
            attempt += 1
            batch += self._take(BATCH_MAX_SUBMISSIONS - len(batch))
        if uncertain:
            await self._source.read_now()
            batch = _settle_known(batch, self._store)
        conflict = conflict and not uncertain
        rejection = Rejection(reason, conflict, None if uncertain else False)
        _settle_all(batch, rejection)

    def _prepare(
        self, batch: list[_Waiting]
    ) -> tuple[list[_Waiting], list[configuration.Change]]:
        """Settle what needs no transaction; return the rest as changes."""
        kept: list[_Waiting] = []
        changes: list[configuration.Change] = []
        seen: set[str] = set()
        state = self._store.current
        for waiting in _settle_known(batch, self._store):
            submission = waiting.submission
            if submission.change_id in seen:
                kept.append(waiting)
                continue
            refused = self._check_base(submission, changes)
            change = self._change(state, submission)
            merged = configuration.apply_change(state, change)
            if refused is None and isinstance(merged, result.Failure):
                refused = Rejection(merged.failure().message)
            if refused is not None:
                waiting.settle(result.Failure(refused))
                continue
            state = merged.unwrap()
            seen.add(submission.change_id)
            kept.append(waiting)
            changes.append(change)
        return kept, changes

    def _change(
        self, state: configuration.Configuration, submission: ChangeProposal
    ) -> configuration.Change:
        return configuration.make_change(
            state,
            state.version + 1,
            submission.change_id,
            submission.author,
            self._clock.now(),
            submission.puts,
            submission.deletes,
        )

    def _check_base(
        self,
        submission: ChangeProposal,
        earlier: abc.Sequence[configuration.Change],
    ) -> Rejection | None:
        wanted = submission.base_version
        if wanted is None:
            return None
        known = self._store.changes_since(wanted)
        if known is None:
            text = f"version {wanted} is too old or unknown; look again"
            return Rejection(text, conflict=True)
        touched = submission.keys()
        named = []
        racing = []
        for change in [*known, *earlier]:
            keys = {item.key for item in change.puts} | set(change.deletes)
            if keys & touched:
                racing.append(change)
            for key in sorted(keys & touched):
                named.append(f"{key} in {change.version} by {change.author}")
        if not named:
            return None
        text = f"changed since version {wanted}: "
        text += ", ".join(named[:NAMED_MAX])
        return Rejection(text, conflict=True, changes=tuple(racing))

    def _bring_into_force(self, changes: list[configuration.Change]) -> None:
        self._metrics.count("transactions_accepted_total")
        self._metrics.count("changes_accepted_total", len(changes))
        for change in changes:
            self._store.apply_change(change)
        self._distribution.push_to_zones()

    def _out_of_step(self) -> str:
        own = self._store.current.version
        return (
            f"the platform's log is {self._source.state.value}: it ends at "
            f"version {self._source.head.version} and version {own} is in "
            "force; nothing is accepted until that is repaired"
        )


def _settle_known(
    batch: list[_Waiting], configurations: store.ConfigurationStore
) -> list[_Waiting]:
    left = []
    for waiting in batch:
        found = configurations.find_change(waiting.submission.change_id)
        if found is None:
            left.append(waiting)
            continue
        waiting.settle(result.Success(found))
    return left


def _settle_accepted(
    batch: list[_Waiting], changes: list[configuration.Change]
) -> None:
    by_id = {change.change_id: change for change in changes}
    for waiting in batch:
        change = by_id[waiting.submission.change_id]
        accepted = configuration.AcceptedVersion(
            change.version,
            change.digest,
            change.change_id,
            change.accepted_at,
        )
        waiting.settle(result.Success(accepted))


def _settle_all(batch: list[_Waiting], rejection: Rejection) -> None:
    for waiting in batch:
        waiting.settle(result.Failure(rejection))
