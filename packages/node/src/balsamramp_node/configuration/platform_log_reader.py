"""Reads accepted changes from the log in the platform's table."""

import asyncio
from collections import abc
import datetime
import enum
import random
import typing

from absl import logging
from returns import result

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import metrics
from balsamramp_core import storage
from balsamramp_node.configuration import accepted_log
from balsamramp_node.configuration import configuration_reader
from balsamramp_node.configuration import reader_lease
from balsamramp_node.configuration import readiness
from balsamramp_node.configuration import store

__all__ = ["PlatformLogReader", "LogState"]

START_READS_PER_SECOND_MAX = 50
READ_ATTEMPTS = 8
REPAIR_AFTER_READS = 2
RELOAD_REFUSALS = (
    configuration.RefusalKind.DIVERGED,
    configuration.RefusalKind.GAP,
)


class LogState(enum.Enum):
    """How the platform's log compares with the configuration in force.

    BEHIND: the log ends at an earlier version of this node's history,
    as after a restore from a backup. DIVERGED: the log's history differs
    from this node's. REFUSED: this node can't apply a later version of
    the log.
    """

    UNREAD = "unread"
    IN_SYNC = "in-step"
    BEHIND = "behind"
    DIVERGED = "diverged"
    REFUSED = "refused"


class PlatformLogReader(configuration_reader.ConfigurationReader):
    """Polls the head of the log and applies new changes to the store.

    Only nodes that hold a reader lease of their zone poll. A log that is
    behind or diverged on REPAIR_AFTER_READS reads is repaired. Versions
    in force never decrease, so a log that lost its end gets the state in
    force as a snapshot, and a diverged log gets a change that raises its
    version above the one in force.
    """

    requires = ("configuration", "reader-lease", "readiness")

    def __init__(
        self,
        log: accepted_log.AcceptedLog,
        configurations: store.ConfigurationStore,
        lease: reader_lease.ReaderLease,
        ready: readiness.Readiness,
        time: clock.Clock,
        counters: metrics.Metrics,
        interval: datetime.timedelta,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._store = configurations
        self._lease = lease
        self._readiness = ready
        self._clock = time
        self._metrics = counters
        self._interval = interval
        self._random = rng
        self._lock = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None
        self._head = accepted_log.HeadRow(accepted_log.Head(), 0)
        self._state = LogState.UNREAD
        self._mismatched_reads = 0
        self._reachable = True
        self._read_at: datetime.datetime | None = None

    @property
    def head(self) -> accepted_log.HeadRow:
        """Return the head of the log as last read."""
        return self._head

    @property
    def state(self) -> LogState:
        """Return the result of the comparison at the last read."""
        return self._state

    @property
    def read_at(self) -> datetime.datetime | None:
        """Return when this node last read the log, or None."""
        return self._read_at

    async def start(self) -> None:
        self._task = background_task.start(
            self._run, self._clock, self._metrics
        )

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def read_now(self) -> result.Result[int, storage.StorageError]:
        """Read to the end of the log; return the version in force.

        Reads again if peers pushed a later version meanwhile; otherwise
        that version would look like one that the log has lost.
        """
        async with self._lock:
            for _ in range(READ_ATTEMPTS):
                before = self._store.current.version
                read = await self._read_once()
                if isinstance(read, result.Failure):
                    return read
                after = self._store.current.version
                if after == before or after <= self._head.version:
                    break
            self._compare_with_store()
            return result.Success(self._store.current.version)

    async def resolve_divergence(self) -> None:
        """Compare with the log after a peer reported another state."""
        for _ in range(REPAIR_AFTER_READS):
            await self.read_now()
        if self._state is LogState.DIVERGED:
            await self._repair()
            await self.read_now()

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            "reachable": self._reachable,
            "last_read": self._read_at,
            "state": self._state.value,
            "head": self._head.version,
            "snapshot": self._head.head.snapshot,
        }

    async def _read_once(
        self,
    ) -> result.Result[None, storage.StorageError]:
        read = await self._log.read_head()
        self._record_read(read)
        if isinstance(read, result.Failure):
            return read
        self._head = read.unwrap()
        if self._head.version <= self._store.current.version:
            return result.Success(None)
        return await self._catch_up()

    async def _catch_up(
        self,
    ) -> result.Result[None, storage.StorageError]:
        read = await self._log.read_after(self._store.current.version)
        if isinstance(read, result.Failure):
            return read
        for change in read.unwrap():
            applied = self._store.apply_change(change)
            if isinstance(applied, result.Success):
                continue
            kind = applied.failure().kind
            if kind is configuration.RefusalKind.OLD:
                continue
            if kind in RELOAD_REFUSALS:
                return await self._reload()
            return result.Success(None)
        if self._store.current.version < self._head.version:
            return await self._reload()
        return result.Success(None)

    async def _reload(self) -> result.Result[None, storage.StorageError]:
        loaded = await self._log.load(self._head)
        if isinstance(loaded, result.Failure):
            return loaded
        self._metrics.count("configuration_reloads_total")
        self._store.restore(loaded.unwrap())
        return result.Success(None)

    def _compare_with_store(self) -> None:
        own = self._store.current
        head = self._head
        if (head.version, head.digest) == (own.version, own.digest):
            self._readiness.record_platform_read()
            self._set_state(LogState.IN_SYNC)
            return
        if head.version > own.version:
            self._set_state(LogState.REFUSED)
            return
        ancestor = self._store.has_ancestor(head.version, head.digest)
        older = ancestor and head.version < own.version
        self._set_state(LogState.BEHIND if older else LogState.DIVERGED)

    def _set_state(self, state: LogState) -> None:
        mismatched = state in (LogState.BEHIND, LogState.DIVERGED)
        self._mismatched_reads = (
            self._mismatched_reads + 1 if mismatched else 0
        )
        if state is self._state:
            return
        logging.info("platform's log is %s", state.value)
        self._state = state

    async def _repair(self) -> None:
        self._metrics.count("log_repairs_total", state=self._state.value)
        if self._state is LogState.BEHIND:
            snapshot = self._store.snapshot()
            await self._log.write_snapshot(self._head, snapshot)
            return
        loaded = await self._log.load(self._head)
        if isinstance(loaded, result.Failure):
            return
        own = self._store.current.version
        change = configuration.make_change(
            loaded.unwrap().configuration,
            max(own, self._head.version) + 1,
            f"raise-above-{own}-{self._random.getrandbits(32):08x}",
            "balsamramp",
            self._clock.now(),
        )
        await self._log.append(self._head, [change])

    def _record_read(
        self, read: result.Result[typing.Any, storage.StorageError]
    ) -> None:
        reachable = isinstance(read, result.Success)
        self._metrics.count("source_reads_total", ok=str(reachable).lower())
        if reachable:
            self._read_at = self._clock.now()
            self._lease.update_read_age(datetime.timedelta())
        if reachable is self._reachable:
            return
        self._reachable = reachable
        logging.info("platform reachable: %s", reachable)

    async def _read_without_lease(self) -> None:
        """Read without a lease until this node is in service.

        When all nodes of a zone restart, the leases of their previous
        runs still occupy the zone's slots. The reads are spread over
        time by the size of the zone; once one node is in service, the
        others come into service through it.
        """
        await self._readiness.wait_until_peers_tried()
        while not self._store.in_service:
            window_seconds = (
                self._lease.zone_size() / START_READS_PER_SECOND_MAX
            )
            wait = datetime.timedelta(
                seconds=window_seconds * self._random.random()
            )
            await self._clock.sleep(wait)
            if self._store.in_service or self._lease.held:
                return
            await self.read_now()
            await self._clock.sleep(self._interval)

    async def _run(self) -> None:
        await self._read_without_lease()
        while True:
            await self._lease.wait_until_held()
            await self.read_now()
            if self._mismatched_reads >= REPAIR_AFTER_READS:
                await self._repair()
                await self.read_now()
            jitter = 0.75 + 0.5 * self._random.random()
            await self._clock.sleep(self._interval * jitter)
