"""Assigns versions to operators' changes and commits them to the log."""

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
BATCH_MAX_PROPOSALS = 64
BATCH_INTERVAL = datetime.timedelta(milliseconds=100)
BACKOFF_MIN = datetime.timedelta(milliseconds=20)
BACKOFF_DOUBLINGS_MAX = 6
CONFLICTS_NAMED_MAX = 5


@attrs.frozen(kw_only=True)
class ChangeProposal:
    """A change that an operator submits.

    ``change_id`` stays the same when the operator's client retries,
    also through another node. ``base_version`` is the version on which
    the operator based the change; None skips the check for conflicts.
    """

    change_id: str
    author: str
    puts: tuple[resource.Resource, ...] = ()
    deletes: tuple[resource.ResourceKey, ...] = ()
    base_version: int | None = None

    def keys(self) -> set[resource.ResourceKey]:
        """Return the keys of the resources that the proposal writes."""
        return {item.key for item in self.puts} | set(self.deletes)


@attrs.frozen
class Rejection:
    """The reason why a proposal was not accepted.

    ``conflict`` is true for a race with another operator and false for
    invalid content or an unavailable platform. ``accepted`` is None when
    the outcome of the commit is unknown. For a conflict, ``changes``
    holds the accepted changes that conflict with the proposal.
    """

    message: str
    conflict: bool = False
    accepted: bool | None = False
    changes: tuple[configuration.Change, ...] = ()


Outcome = result.Result[configuration.AcceptedVersion, Rejection]


@attrs.define(eq=False)
class _QueuedProposal:
    proposal: ChangeProposal
    future: asyncio.Future[Outcome]

    def resolve(self, outcome: Outcome) -> None:
        if not self.future.done():
            self.future.set_result(outcome)


class ChangeCommitter(service_manager.Service):
    """Commits queued proposals in batches, one transaction per batch.

    A transaction assigns the next versions to all proposals of a batch
    on the condition that the head of the log is unchanged. Each proposal
    is checked against the state that results from the ones before it and
    is rejected on its own. At most one transaction runs at a time and
    one starts per BATCH_INTERVAL, so a burst of proposals causes a
    bounded rate of table writes.
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
        self._log_reader = reader
        self._store = configurations
        self._distribution = distributor
        self._clock = time
        self._metrics = counters
        self._random = rng
        self._queue: list[_QueuedProposal] = []
        self._in_progress: list[_QueuedProposal] = []
        self._next_batch_at = datetime.timedelta()
        self._task: asyncio.Task[None] | None = None

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def submit(self, proposal: ChangeProposal) -> Outcome:
        """Commit ``proposal`` as the next version and return the outcome."""
        queued = _QueuedProposal(
            proposal, asyncio.get_running_loop().create_future()
        )
        self._queue.append(queued)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._process_queue())
        return await queued.future

    async def _process_queue(self) -> None:
        while self._queue:
            wait = self._next_batch_at - self._clock.monotonic()
            if wait > datetime.timedelta():
                await self._clock.sleep(wait)
            self._in_progress.clear()
            batch = self._dequeue(BATCH_MAX_PROPOSALS)
            self._next_batch_at = self._clock.monotonic() + BATCH_INTERVAL
            try:
                await self._commit_batch(batch)
            except Exception:
                logging.exception(
                    "committing a batch of changes failed; rejecting them "
                    "with an unknown outcome"
                )
                text = "internal error; whether it was accepted is unknown"
                _reject_all(self._in_progress, Rejection(text, accepted=None))

    def _dequeue(self, count: int) -> list[_QueuedProposal]:
        dequeued = self._queue[:count]
        del self._queue[:count]
        self._in_progress += dequeued
        return dequeued

    async def _back_off(self, attempt: int) -> None:
        wait_max = BACKOFF_MIN * 2 ** min(attempt, BACKOFF_DOUBLINGS_MAX)
        await self._clock.sleep(wait_max * self._random.random())

    async def _commit_batch(self, batch: list[_QueuedProposal]) -> None:
        outcome_unknown = False
        reason = "the change was not committed in time"
        conflict = False
        deadline = self._clock.monotonic() + ACCEPT_TIMEOUT
        attempt = 0
        while self._clock.monotonic() < deadline:
            conflict = False
            read = await self._log_reader.read_now()
            if isinstance(read, result.Failure):
                reason = f"platform: {read.failure().message}"
                break
            if (
                self._log_reader.state
                is not platform_log_reader.LogState.IN_SYNC
            ):
                reason = self._out_of_sync_reason()
                break
            batch, changes = self._build_changes(batch)
            if not batch:
                return
            committed = await self._log.append(self._log_reader.head, changes)
            if isinstance(committed, result.Success):
                self._apply_committed(changes)
                _resolve_accepted(batch, changes)
                return
            kind = committed.failure().kind
            reason = committed.failure().message
            if kind is storage.StorageErrorKind.UNAVAILABLE:
                break
            if kind is storage.StorageErrorKind.OUTCOME_UNKNOWN:
                outcome_unknown = True
            self._metrics.count("acceptance_retries_total", kind=kind.value)
            conflict = kind is storage.StorageErrorKind.CONFLICT
            await self._back_off(attempt)
            attempt += 1
            batch += self._dequeue(BATCH_MAX_PROPOSALS - len(batch))
        if outcome_unknown:
            await self._log_reader.read_now()
            batch = _resolve_committed(batch, self._store)
        conflict = conflict and not outcome_unknown
        rejection = Rejection(
            reason, conflict, None if outcome_unknown else False
        )
        _reject_all(batch, rejection)

    def _build_changes(
        self, batch: list[_QueuedProposal]
    ) -> tuple[list[_QueuedProposal], list[configuration.Change]]:
        """Resolve what needs no commit; return the rest as changes."""
        pending: list[_QueuedProposal] = []
        changes: list[configuration.Change] = []
        seen_ids: set[str] = set()
        state = self._store.current
        for queued in _resolve_committed(batch, self._store):
            proposal = queued.proposal
            if proposal.change_id in seen_ids:
                pending.append(queued)
                continue
            rejection = self._check_base(proposal, changes)
            change = self._make_change(state, proposal)
            applied = configuration.apply_change(state, change)
            if rejection is None and isinstance(applied, result.Failure):
                rejection = Rejection(applied.failure().message)
            if rejection is not None:
                queued.resolve(result.Failure(rejection))
                continue
            state = applied.unwrap()
            seen_ids.add(proposal.change_id)
            pending.append(queued)
            changes.append(change)
        return pending, changes

    def _make_change(
        self, state: configuration.Configuration, proposal: ChangeProposal
    ) -> configuration.Change:
        return configuration.make_change(
            state,
            state.version + 1,
            proposal.change_id,
            proposal.author,
            self._clock.now(),
            proposal.puts,
            proposal.deletes,
        )

    def _check_base(
        self,
        proposal: ChangeProposal,
        earlier: abc.Sequence[configuration.Change],
    ) -> Rejection | None:
        base_version = proposal.base_version
        if base_version is None:
            return None
        later_changes = self._store.changes_since(base_version)
        if later_changes is None:
            text = f"version {base_version} is too old or unknown; look again"
            return Rejection(text, conflict=True)
        touched_keys = proposal.keys()
        conflicts = []
        conflicting_changes = []
        for change in [*later_changes, *earlier]:
            keys = {item.key for item in change.puts} | set(change.deletes)
            if keys & touched_keys:
                conflicting_changes.append(change)
            for key in sorted(keys & touched_keys):
                conflicts.append(
                    f"{key} in {change.version} by {change.author}"
                )
        if not conflicts:
            return None
        text = f"changed since version {base_version}: "
        text += ", ".join(conflicts[:CONFLICTS_NAMED_MAX])
        return Rejection(
            text, conflict=True, changes=tuple(conflicting_changes)
        )

    def _apply_committed(self, changes: list[configuration.Change]) -> None:
        self._metrics.count("transactions_accepted_total")
        self._metrics.count("changes_accepted_total", len(changes))
        for change in changes:
            self._store.apply_change(change)
        self._distribution.push_to_zones()

    def _out_of_sync_reason(self) -> str:
        version_in_force = self._store.current.version
        return (
            f"the platform's log is {self._log_reader.state.value}: it ends "
            f"at version {self._log_reader.head.version} and version "
            f"{version_in_force} is in force; nothing is accepted until the "
            "log is repaired"
        )


def _resolve_committed(
    batch: list[_QueuedProposal], configurations: store.ConfigurationStore
) -> list[_QueuedProposal]:
    remaining = []
    for queued in batch:
        accepted = configurations.find_change(queued.proposal.change_id)
        if accepted is None:
            remaining.append(queued)
            continue
        queued.resolve(result.Success(accepted))
    return remaining


def _resolve_accepted(
    batch: list[_QueuedProposal], changes: list[configuration.Change]
) -> None:
    by_id = {change.change_id: change for change in changes}
    for queued in batch:
        change = by_id[queued.proposal.change_id]
        accepted = configuration.AcceptedVersion(
            change.version,
            change.digest,
            change.change_id,
            change.accepted_at,
        )
        queued.resolve(result.Success(accepted))


def _reject_all(batch: list[_QueuedProposal], rejection: Rejection) -> None:
    for queued in batch:
        queued.resolve(result.Failure(rejection))
