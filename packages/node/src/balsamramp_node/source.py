"""Source: reads accepted changes from the platform's table."""

import asyncio
from collections import abc
import datetime
import typing

from absl import logging
from returns import result

from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import kernel
from balsamramp_core import metrics
from balsamramp_core import platform
from balsamramp_node import acceptance
from balsamramp_node import store

__all__ = ["ConfigurationSource"]

READ_MAX_ROWS = 256


class ConfigurationSource(kernel.Service):
    """Polls the log behind the version in force and offers what is new."""

    name = "source"
    requires = ("configuration",)

    def __init__(
        self,
        table: platform.Table,
        configurations: store.ConfigurationStore,
        time: clock.Clock,
        counters: metrics.Metrics,
        interval: datetime.timedelta,
    ) -> None:
        self._table = table
        self._store = configurations
        self._clock = time
        self._metrics = counters
        self._interval = interval
        self._task: asyncio.Task[None] | None = None
        self._reachable = True
        self._last_read: datetime.datetime | None = None

    async def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def read_now(self) -> result.Result[int, platform.PlatformError]:
        """Read to the end of the log; return the version in force."""
        while True:
            after = acceptance.log_key(self._store.current.version)
            scanned = await self._table.scan(
                acceptance.LOG_PREFIX, after, READ_MAX_ROWS
            )
            self._note(scanned)
            if isinstance(scanned, result.Failure):
                return scanned
            rows = scanned.unwrap()
            if not self._offer(rows) or len(rows) < READ_MAX_ROWS:
                return result.Success(self._store.current.version)

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {"reachable": self._reachable, "last_read": self._last_read}

    def _offer(self, rows: list[platform.Row]) -> bool:
        for row in rows:
            change = configuration.change_from_bytes(row.value)
            if isinstance(change, result.Failure):
                logging.error("%s: %s", row.key, change.failure())
                return False
            offered = self._store.offer(change.unwrap())
            if isinstance(offered, result.Success):
                continue
            old = configuration.RefusalKind.OLD
            if offered.failure().kind is not old:
                return False
        return True

    def _note(
        self, scanned: result.Result[typing.Any, platform.PlatformError]
    ) -> None:
        reachable = isinstance(scanned, result.Success)
        self._metrics.count("source_reads_total", ok=str(reachable).lower())
        if reachable:
            self._last_read = self._clock.now()
        if reachable is self._reachable:
            return
        self._reachable = reachable
        logging.info("platform reachable: %s", reachable)

    async def _run(self) -> None:
        while True:
            await self.read_now()
            await self._clock.sleep(self._interval)
