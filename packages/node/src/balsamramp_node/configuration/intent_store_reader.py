"""Applies configuration states read from an external intent store."""

import asyncio
from collections import abc
import datetime
import random
import typing

from absl import logging
from returns import result

from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import intents
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core import storage
from balsamramp_node.configuration import configuration_reader
from balsamramp_node.configuration import read_age
from balsamramp_node.configuration import readiness
from balsamramp_node.configuration import store
from balsamramp_node.process import decision_log

__all__ = ["IntentStoreReader"]

# Minimum time between reads, so that a burst of changes is read at once.
# Kept well below the 2 s within which operators expect a change in force.
COALESCE_INTERVAL = datetime.timedelta(milliseconds=400)
# Bounds of the exponential backoff after a failed read. The upper bound keeps
# each node at one read per second at most while the store rejects reads.
RETRY_MIN = datetime.timedelta(milliseconds=200)
RETRY_MAX = datetime.timedelta(seconds=2)
AUTHOR = "operators"


class IntentStoreReader(configuration_reader.ConfigurationReader):
    """Polls an intent source and applies each state to the local store.

    The external store assigns and keeps the versions, so this class
    commits no changes and repairs no log. An invalid state is rejected
    as a whole, and the previous one stays in force.
    """

    requires = ("configuration", "readiness")

    def __init__(
        self,
        source: intents.IntentSource,
        configurations: store.ConfigurationStore,
        ready: readiness.Readiness,
        age: read_age.ReadAge,
        time: clock.Clock,
        counters: metrics.Metrics,
        decisions: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._store = configurations
        self._readiness = ready
        self._age = age
        self._clock = time
        self._metrics = counters
        self._decisions = decisions
        self._random = rng
        self._task: asyncio.Task[None] | None = None
        self._reachable: bool | None = None
        self._retry_wait = RETRY_MIN
        self._read_at: datetime.datetime | None = None

    async def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def resolve_divergence(self) -> None:
        """Do nothing: the external store alone defines each revision."""

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {"reachable": self._reachable, "last_read": self._read_at}

    async def _run(self) -> None:
        while True:
            read = await self._source.next()
            self._record_read(read)
            if isinstance(read, result.Failure):
                jitter = 0.5 + self._random.random()
                await self._clock.sleep(self._retry_wait * jitter)
                self._retry_wait = min(2 * self._retry_wait, RETRY_MAX)
                continue
            self._retry_wait = RETRY_MIN
            latest = read.unwrap()
            if latest is None:
                continue
            self._apply_intents(latest)
            await self._clock.sleep(COALESCE_INTERVAL)

    def _record_read(
        self,
        read: result.Result[intents.Intents | None, storage.StorageError],
    ) -> None:
        reachable = isinstance(read, result.Success)
        self._metrics.count("source_reads_total", ok=str(reachable).lower())
        if reachable:
            self._read_at = self._clock.now()
            self._age.update_read_age(datetime.timedelta())
        if reachable is self._reachable:
            return
        self._reachable = reachable
        text = ""
        if isinstance(read, result.Failure):
            text = read.failure().message
        event = "dependency_regained" if reachable else "dependency_lost"
        self._decisions.write(event, dependency="intents", cause=text)

    def _apply_intents(self, latest: intents.Intents) -> None:
        current = self._store.current
        if latest.revision > current.version:
            built = _build_configuration(current, latest, self._clock.now())
            if isinstance(built, result.Failure):
                self._record_refusal(latest, built.failure())
                return
            changed = configuration.changed_keys(current, built.unwrap())
            self._store.restore(configuration.Snapshot(built.unwrap()))
            self._decisions.write(
                "configuration",
                version=latest.revision,
                label=latest.label,
                previous=current.version,
                changed=len(changed),
                source="store",
            )
        self._readiness.record_platform_read()

    def _record_refusal(
        self, latest: intents.Intents, refusal: configuration.Refusal
    ) -> None:
        logging.warning(
            "rejected invalid revision %d; nothing was applied: %s",
            latest.revision,
            refusal,
        )
        self._metrics.count("changes_refused_total", kind=refusal.kind.value)
        self._decisions.write(
            "configuration_refused",
            version=latest.revision,
            label=latest.label,
            in_force=self._store.current.version,
            cause=refusal.message,
        )


def _build_configuration(
    current: configuration.Configuration,
    latest: intents.Intents,
    now: datetime.datetime,
) -> result.Result[configuration.Configuration, configuration.Refusal]:
    """Return the validated configuration that ``found`` describes.

    Unchanged resources are shared with ``current``, as a change usually
    touches a small part of a large configuration.
    """
    items: dict[resource.ResourceKey, resource.Resource] = {}
    for item in latest.resources:
        if item.key in items:
            message = f"{item.key} is defined twice"
            kind = configuration.RefusalKind.INVALID
            return result.Failure(configuration.Refusal(kind, message))
        items[item.key] = item
    puts = tuple(
        item
        for key, item in items.items()
        if current.resources.get(key) != item
    )
    deletes = tuple(key for key in current.resources if key not in items)
    change = configuration.Change(
        version=latest.revision,
        base_version=current.version,
        change_id=str(latest.revision),
        base_digest=current.digest,
        digest=0,
        author=AUTHOR,
        accepted_at=now,
        puts=puts,
        deletes=deletes,
    )
    merged = configuration.merge(current, latest.revision, puts, deletes)
    problems = configuration.problems(merged, change)
    if problems:
        return result.Failure(problems[0])
    return result.Success(merged)
