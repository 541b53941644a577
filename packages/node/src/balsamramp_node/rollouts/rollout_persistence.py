"""Persists rollout outcomes in the transactional table."""

import asyncio
import datetime
import random

from absl import logging
import msgspec
from returns import result

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
RETRY_INTERVAL_MAX = datetime.timedelta(seconds=30)
PHASE = rollout_state.RolloutPhase

State = rollout_messages.RolloutState


class RolloutPersistence(service_manager.Service):
    """Reads rollout outcomes from the table and writes them.

    Only the coordinators of a service do so. They scan its rows once and
    write a row when a phase is entered. Concurrent writers are safe, since
    each merges its state with the stored one. An intent that started
    before all nodes and has no row is granted no step and expires.
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
        self._written_phases: dict[str, frozenset[str]] = {}
        self._interval = SYNC_INTERVAL
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            reachable = await self._synchronise()
            self._interval = min(2 * self._interval, RETRY_INTERVAL_MAX)
            if reachable:
                self._interval = SYNC_INTERVAL
            jitter = 0.5 + self._random.random()
            await self._clock.sleep(self._interval * jitter)

    async def _synchronise(self) -> bool:
        for state in self._rollouts.states():
            if not self._gossip.is_coordinator(state.service):
                continue
            if not await self._read_service(state.service):
                return False
            phases = _phases(state)
            if self._written_phases.get(state.intent, frozenset()) >= phases:
                continue
            if not await self._write_state(state):
                return False
        return True

    async def _read_service(self, service: str) -> bool:
        """Scan the stored outcomes of ``service``, unless already done."""
        if service not in self._scanned_services:
            prefix = f"{KEY_PREFIX}{service}/"
            scanned = await self._table.scan(prefix, "", SCAN_ROWS_MAX)
            if isinstance(scanned, result.Failure):
                return False
            self._scanned_services.add(service)
            self._rollouts.merge(_decode_states(scanned.unwrap()))
        self._rollouts.expire_unknown_history(service)
        return True

    async def _write_state(self, state: State) -> bool:
        """Write ``state``, merged with the stored row if there is one."""
        key = f"{KEY_PREFIX}{state.service}/{state.intent}"
        read = await self._table.read(key)
        if isinstance(read, result.Failure):
            return False
        row = read.unwrap()
        for stored in _decode_states([row] if row is not None else []):
            self._rollouts.merge([stored])
            state = rollout_state.merge_states(state, stored)
            if _phases(stored) >= _phases(state):
                self._written_phases[state.intent] = _phases(state)
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
        committed = await self._table.commit(transaction)
        ok = isinstance(committed, result.Success)
        self._metrics.count("outcome_writes_total", ok=str(ok).lower())
        if ok:
            self._written_phases[state.intent] = _phases(state)
            return True
        kind = storage.StorageErrorKind.UNAVAILABLE
        return committed.failure().kind is not kind


def _phases(state: State) -> frozenset[str]:
    return frozenset(
        phase.value
        for phase in PHASE
        if phase.value in state.marks and phase is not PHASE.PROGRESSING
    )


def _decode_states(rows: list[storage.Row]) -> list[State]:
    """Return the states in ``rows``, without malformed ones."""
    states = []
    for row in rows:
        try:
            states.append(decoding.decode_msgpack(row.value, State))
        except decoding.DecodingError as error:
            logging.warning("ignoring malformed row %s: %s", row.key, error)
    return states
