"""Persists rollout outcomes in the transactional table."""

import asyncio
import contextlib
import datetime
import random

from absl import logging
import msgspec
from returns import result

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import decoding
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import storage
from balsamramp_node.rollouts import rollout_controller
from balsamramp_node.rollouts import rollout_gossip
from balsamramp_node.rollouts import rollout_state
from balsamramp_wire import rollout_messages

__all__ = ["KEY_PREFIX", "RolloutPersistence"]

KEY_PREFIX = "outcomes/"
SYNC_INTERVAL = datetime.timedelta(seconds=1)
SCAN_ROWS_MAX = 256
# An outcome that is not stored, or not read, holds up calls and reports, so
# coordinators notice soon that the table is back.
COORDINATOR_INTERVAL_MAX = datetime.timedelta(seconds=3)
OTHER_INTERVAL_MAX = datetime.timedelta(seconds=8)

PHASE = rollout_state.RolloutPhase
COMPLETED_PHASES = (PHASE.COMPLETED, PHASE.FINISHED)

State = rollout_messages.RolloutState


class RolloutPersistence(service_manager.Service):
    """Reads rollout outcomes from the table and writes them.

    The coordinators of a service do so at once, other nodes in turn after a
    delay.
    They scan its rows once and write a row when a phase is entered. What is
    stored, and that there is no row to read, is gossiped as a mark of the
    rollout, so that other nodes leave it. Concurrent writers are safe, since
    each merges its state with the stored one. An intent that started before
    all nodes and has no row is granted no step and expires. A table that came
    back from a copy has none of the marks, so its rows are written again.
    """

    name = "rollout-record"
    requires = ("rollout-spread",)

    def __init__(
        self,
        table: storage.Table,
        controller: rollout_controller.RolloutController,
        gossip: rollout_gossip.RolloutGossip,
        time: clock.Clock,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._rollouts = controller
        self._gossip = gossip
        self._clock = time
        self._metrics = counters
        self._random = rng
        self._scanned_services: set[str] = set()
        self._fallback_at: dict[str, datetime.timedelta] = {}
        self._interval = SYNC_INTERVAL
        self._has_unstored = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        controller.listen(self._on_changed_state)

    async def start(self) -> None:
        self._task = background_task.start(
            self._run, self._clock, self._metrics
        )

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _on_changed_state(self, state: State) -> None:
        if rollout_state.is_stored(state, self._table.generation):
            return
        if self._gossip.is_coordinator(state.service):
            self._has_unstored.set()

    async def _run(self) -> None:
        while True:
            self._has_unstored.clear()
            reachable = await self._synchronise()
            self._interval = min(2 * self._interval, self._interval_max())
            if reachable:
                self._interval = SYNC_INTERVAL
            jitter = 0.5 + self._random.random()
            with contextlib.suppress(TimeoutError):
                wait = self._interval * jitter
                async with asyncio.timeout(wait.total_seconds()):
                    await self._has_unstored.wait()

    def _is_settled(self, state: State) -> bool:
        return _is_history_settled(state) and rollout_state.is_stored(
            state, self._table.generation
        )

    def _interval_max(self) -> datetime.timedelta:
        for state in self._rollouts.states():
            if self._is_settled(state):
                continue
            if self._gossip.is_coordinator(state.service):
                return COORDINATOR_INTERVAL_MAX
        return OTHER_INTERVAL_MAX

    async def _synchronise(self) -> bool:
        for state in self._rollouts.states():
            if not self._acts_on(state):
                continue
            if not await self._read_service(state):
                return False
            self._rollouts.end_unknown_history(state.service)
            current = self._rollouts.state(state.intent)
            if current is None or rollout_state.is_stored(
                current, self._table.generation
            ):
                continue
            if not await self._write_state(current):
                return False
        return True

    def _acts_on(self, state: State) -> bool:
        """Return whether this node reads or writes the row of ``state``."""
        if self._gossip.is_coordinator(state.service):
            return True
        if self._is_settled(state):
            self._fallback_at.pop(state.intent, None)
            return False
        now = self._clock.monotonic()
        if state.intent not in self._fallback_at:
            delay = self._gossip.fallback_delay(state.service)
            self._fallback_at[state.intent] = now + delay
        return now >= self._fallback_at[state.intent]

    async def _read_service(self, state: State) -> bool:
        """Read the stored outcomes of the service, if any may be missing."""
        service = state.service
        if service in self._scanned_services and _is_history_settled(state):
            return True
        prefix = f"{KEY_PREFIX}{service}/"
        after = ""
        found: list[State] = []
        while True:
            scanned = await self._table.scan(prefix, after, SCAN_ROWS_MAX)
            if isinstance(scanned, result.Failure):
                return False
            # A page may be shorter than the limit although others follow.
            rows = scanned.unwrap()
            if not rows:
                break
            after = rows[-1].key
            found += _decode_states(rows)
        for stored in _without_superseded(found):
            self._merge_stored(stored)
        self._scanned_services.add(service)
        self._rollouts.mark_history_absent(service)
        return True

    def _merge_stored(self, stored: State) -> None:
        self._rollouts.merge([stored])
        self._rollouts.mark_stored(
            stored.intent,
            rollout_state.outcome_phases(stored),
            self._table.generation,
        )

    async def _write_state(self, state: State) -> bool:
        """Write ``state``, merged with the stored row if there is one."""
        key = f"{KEY_PREFIX}{state.service}/{state.intent}"
        read = await self._table.read(key)
        if isinstance(read, result.Failure):
            return False
        row = read.unwrap()
        for stored in _decode_states([row] if row is not None else []):
            self._merge_stored(stored)
            state = rollout_state.merge_states(state, stored)
            phases = rollout_state.outcome_phases(state)
            if rollout_state.outcome_phases(stored) >= phases:
                return True
        return await self._commit(key, row, state)

    async def _commit(
        self, key: str, row: storage.Row | None, state: State
    ) -> bool:
        revision = row.revision if row else 0
        transaction = storage.Transaction(
            conditions=(storage.Condition(key, revision),),
            writes=(storage.Write(key, msgspec.msgpack.encode(state)),),
        )
        generation = self._table.generation
        committed = await self._table.commit(transaction)
        ok = isinstance(committed, result.Success)
        self._metrics.count("outcome_writes_total", ok=str(ok).lower())
        if ok:
            phases = rollout_state.outcome_phases(state)
            self._rollouts.mark_stored(state.intent, phases, generation)
            return True
        kind = storage.StorageErrorKind.UNAVAILABLE
        return committed.failure().kind is not kind


def _is_history_settled(state: State) -> bool:
    return rollout_state.is_history_known(
        state
    ) or rollout_state.is_history_absent(state)


def _without_superseded(states: list[State]) -> list[State]:
    """Return states without outcomes that a later one has made void.

    A version that was rolled back and completed by a later order is no
    longer excluded, even if that order is gone.
    """
    completed_at = {
        state.new: state.start
        for state in sorted(states, key=lambda item: item.start)
        if rollout_state.phase(state) in COMPLETED_PHASES
    }
    left = []
    for state in states:
        is_rolled_back = (
            rollout_state.phase(state) in rollout_state.ROLLED_BACK_PHASES
        )
        later = completed_at.get(state.new)
        if is_rolled_back and later is not None and state.start < later:
            continue
        left.append(state)
    return left


def _decode_states(rows: list[storage.Row]) -> list[State]:
    """Return the states in ``rows``, without malformed ones."""
    states = []
    for row in rows:
        try:
            states.append(decoding.decode_msgpack(row.value, State))
        except decoding.DecodingError as error:
            logging.warning("ignoring malformed row %s: %s", row.key, error)
    return states
