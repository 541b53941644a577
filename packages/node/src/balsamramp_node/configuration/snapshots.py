"""Writes snapshots so that the log of accepted changes stays short."""

import asyncio
import datetime
import random

from absl import logging
from returns import result

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_node.configuration import accepted_log
from balsamramp_node.configuration import platform_log_reader
from balsamramp_node.configuration import reader_lease
from balsamramp_node.configuration import store

__all__ = ["Snapshots"]

CHECK_INTERVAL = datetime.timedelta(seconds=2)


class Snapshots(service_manager.Service):
    """Writes a snapshot every ``every_versions`` as leader of the zone.

    Leaders of several zones may try at once; the conditional write of
    the head lets one succeed, and the others see its snapshot at their
    next check.
    """

    name = "snapshots"
    requires = ("source",)

    def __init__(
        self,
        log: accepted_log.AcceptedLog,
        configurations: store.ConfigurationStore,
        reader: platform_log_reader.PlatformLogReader,
        lease: reader_lease.ReaderLease,
        time: clock.Clock,
        counters: metrics.Metrics,
        every_versions: int,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._store = configurations
        self._log_reader = reader
        self._lease = lease
        self._clock = time
        self._metrics = counters
        self._every_versions = every_versions
        self._random = rng
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._task = background_task.start(
            self._run, self._clock, self._metrics
        )

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            jitter = 0.5 + self._random.random()
            await self._clock.sleep(CHECK_INTERVAL * jitter)
            if self._is_due():
                await self._write_snapshot()

    def _is_due(self) -> bool:
        if not self._lease.is_leader:
            return False
        if self._log_reader.state is not platform_log_reader.LogState.IN_SYNC:
            return False
        head = self._log_reader.head.head
        return head.version - head.snapshot_version >= self._every_versions

    async def _write_snapshot(self) -> None:
        expected_head = self._log_reader.head
        if expected_head.version != self._store.current.version:
            return
        snapshot = self._store.snapshot()
        written = await self._log.write_snapshot(expected_head, snapshot)
        if isinstance(written, result.Failure):
            return
        self._metrics.count("snapshots_written_total")
        version = snapshot.configuration.version
        logging.info("wrote snapshot of version %d", version)
