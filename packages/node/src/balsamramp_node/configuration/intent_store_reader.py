"""Watched source: brings intents into force that an outside store orders."""

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

# Changes within this time are read together; a quarter of the 2 s within
# which operators expect a change in force.
GATHER_INTERVAL = datetime.timedelta(milliseconds=400)
# First and longest wait after a failed read. The longest keeps a fleet that
# the store turns away below one call a second and node.
RETRY_MIN = datetime.timedelta(milliseconds=200)
RETRY_MAX = datetime.timedelta(seconds=2)
AUTHOR = "operators"


class IntentStoreReader(configuration_reader.ConfigurationReader):
    """Follows an intent source and offers each state to the store.

    The store of the operators' intents orders them and keeps them, so
    nothing is accepted, logged or repaired here. A state that cannot be
    brought into force is refused whole and the one before stays.
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
        self._wait = RETRY_MIN
        self._read_at: datetime.datetime | None = None

    async def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def resolve_divergence(self) -> None:
        """Do nothing: the store alone says what a revision holds."""

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {"reachable": self._reachable, "last_read": self._read_at}

    async def _run(self) -> None:
        while True:
            read = await self._source.next()
            self._note(read)
            if isinstance(read, result.Failure):
                jitter = 0.5 + self._random.random()
                await self._clock.sleep(self._wait * jitter)
                self._wait = min(2 * self._wait, RETRY_MAX)
                continue
            self._wait = RETRY_MIN
            found = read.unwrap()
            if found is None:
                continue
            self._bring_into_force(found)
            await self._clock.sleep(GATHER_INTERVAL)

    def _note(
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

    def _bring_into_force(self, found: intents.Intents) -> None:
        current = self._store.current
        if found.revision > current.version:
            later = _follow(current, found, self._clock.now())
            if isinstance(later, result.Failure):
                self._refuse(found, later.failure())
                return
            changed = configuration.changed_keys(current, later.unwrap())
            self._store.restore(configuration.Snapshot(later.unwrap()))
            self._decisions.write(
                "configuration",
                version=found.revision,
                label=found.label,
                previous=current.version,
                changed=len(changed),
                source="store",
            )
        self._readiness.record_platform_read()

    def _refuse(
        self, found: intents.Intents, refusal: configuration.Refusal
    ) -> None:
        logging.warning("revision %d refused: %s", found.revision, refusal)
        self._metrics.count("changes_refused_total", kind=refusal.kind.value)
        self._decisions.write(
            "configuration_refused",
            version=found.revision,
            label=found.label,
            in_force=self._store.current.version,
            cause=refusal.message,
        )


def _follow(
    current: configuration.Configuration,
    found: intents.Intents,
    now: datetime.datetime,
) -> result.Result[configuration.Configuration, configuration.Refusal]:
    """Return the checked configuration that ``found`` describes.

    It shares with ``current`` what did not change, since a change of some
    routes is a small part of a large configuration.
    """
    items: dict[resource.ResourceKey, resource.Resource] = {}
    for item in found.resources:
        if item.key in items:
            message = f"{item.key} stands twice"
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
        version=found.revision,
        base_version=current.version,
        change_id=str(found.revision),
        base_digest=current.digest,
        digest=0,
        author=AUTHOR,
        accepted_at=now,
        puts=puts,
        deletes=deletes,
    )
    merged = configuration.merge(current, found.revision, puts, deletes)
    problems = configuration.problems(merged, change)
    if problems:
        return result.Failure(problems[0])
    return result.Success(merged)
