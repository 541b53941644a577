"""Applies configuration states read from an external intent store."""

import asyncio
from collections import abc
import datetime
import random
import typing

from absl import logging
import attrs
from returns import result

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import intents
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core import storage
from balsamramp_node.configuration import configuration_reader
from balsamramp_node.configuration import read_age
from balsamramp_node.configuration import readiness
from balsamramp_node.configuration import restored_intents
from balsamramp_node.configuration import store
from balsamramp_node.configuration import zone_feed
from balsamramp_node.process import decision_log

__all__ = ["IntentStoreReader", "build_configuration"]

# Minimum time between reads, so that a burst of changes is read at once.
# Kept well below the 2 s within which operators expect a change in force.
COALESCE_INTERVAL = datetime.timedelta(milliseconds=400)
# Bounds of the exponential backoff after a failed read. With its jitter, the
# upper bound leaves time for a read before a change has to be in force.
RETRY_MIN = datetime.timedelta(milliseconds=200)
RETRY_MAX = datetime.timedelta(milliseconds=700)
# How well this node knows the store's clock, and how often it checks that.
CLOCK_UNCERTAINTY_MAX = datetime.timedelta(milliseconds=250)
CLOCK_CHECK_INTERVAL = datetime.timedelta(seconds=30)
AUTHOR = "operators"
# Resources that are edited before the event loop runs other tasks.
EDITS_PER_TURN = 50

_Item = typing.TypeVar("_Item")


class IntentStoreReader(configuration_reader.ConfigurationReader):
    """Polls an intent source and applies each state to the local store.

    It does so while the zone's feed does not tell what is in force.

    The external store assigns and keeps the versions, so this class
    commits no changes and repairs no log. An invalid state is rejected
    as a whole, and the previous one stays in force.
    """

    requires = ("configuration", "readiness", "zone-feed")

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
        feed: zone_feed.ZoneFeed,
        restored: restored_intents.RestoredIntents,
    ) -> None:
        self._feed = feed
        self._restored = restored
        self._latest: intents.Intents | None = None
        self._source = source
        self._store = configurations
        self._readiness = ready
        self._age = age
        self._clock = time
        self._metrics = counters
        self._decisions = decisions
        self._random = rng
        self._tasks: tuple[asyncio.Task[None], ...] = ()
        self._reachable: bool | None = None
        self._retry_wait = RETRY_MIN
        self._read_at: datetime.datetime | None = None
        self._rejection: intents.Rejection | None = None

    async def start(self) -> None:
        self._tasks = tuple(
            background_task.start(run, self._clock, self._metrics)
            for run in (self._run, self._keep_clock)
        )

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def resolve_divergence(self) -> None:
        """Do nothing: the external store alone defines each revision."""

    def record_later_version(self, version: int) -> None:
        self._feed.record_later_version(version)

    def dump(self) -> abc.Mapping[str, typing.Any]:
        rejection = self._rejection
        return {
            "reachable": self._reachable,
            "last_read": self._read_at,
            "refused": None if rejection is None else rejection.message,
        }

    async def _run(self) -> None:
        while True:
            try:
                await self._follow()
            except Exception:
                logging.exception("following the store failed; starting again")
                self._source.restart()
                await self._clock.sleep(RETRY_MAX)

    async def _keep_clock(self) -> None:
        """Measure the store's clock anew before its bounds are too wide."""
        while True:
            jitter = 0.5 + self._random.random()
            await self._clock.sleep(CLOCK_CHECK_INTERVAL * jitter)
            uncertainty = self._source.clock.uncertainty
            if uncertainty is None or uncertainty > CLOCK_UNCERTAINTY_MAX:
                await self._source.read_clock()

    async def _follow(self) -> None:
        while True:
            if await self._feed.wait_until_read_needed():
                self._source.restart()
            read = await self._source.next(self._feed.poll_time)
            self._record_read(read)
            if isinstance(read, result.Failure):
                jitter = 0.5 + self._random.random()
                await self._clock.sleep(self._retry_wait * jitter)
                self._retry_wait = min(2 * self._retry_wait, RETRY_MAX)
                continue
            self._retry_wait = RETRY_MIN
            self._record_rejection(self._source.rejection)
            latest = read.unwrap()
            if latest is None and self._restored.is_due:
                latest = self._latest
            if latest is not None:
                self._latest = latest
                merged = self._restored.merge(latest)
                await self._apply_intents(merged)
                if self._store.current.version == merged.revision:
                    self._restored.record_number(merged.number)
            self._feed.record_read(self._source.read_at)
            if latest is not None:
                await self._clock.sleep(COALESCE_INTERVAL)

    def _record_read(
        self,
        read: result.Result[intents.Intents | None, storage.StorageError],
    ) -> None:
        reachable = isinstance(read, result.Success)
        self._metrics.count("source_reads_total", ok=str(reachable).lower())
        if reachable:
            self._read_at = self._clock.now()
            self._record_read_age()
        if reachable is self._reachable:
            return
        self._reachable = reachable
        text = ""
        if isinstance(read, result.Failure):
            text = read.failure().message
        event = "dependency_regained" if reachable else "dependency_lost"
        self._decisions.write(event, dependency="intents", cause=text)

    def _record_read_age(self) -> None:
        age = self._last_read_age()
        if age is not None:
            self._age.update_read_age(age)

    def _last_read_age(self) -> datetime.timedelta | None:
        """Return how long ago the last read was true, None if unknown."""
        read_at = self._source.read_at
        return None if read_at is None else self._source.clock.age(read_at)

    def _record_rejection(self, rejection: intents.Rejection | None) -> None:
        if rejection == self._rejection:
            return
        self._rejection = rejection
        if rejection is None:
            self._readiness.record_rejection("")
            return
        self._readiness.record_rejection(rejection.message)
        kind = configuration.RefusalKind.INVALID
        self._record_refusal(
            rejection.revision,
            "",
            configuration.Refusal(kind, rejection.message),
        )

    async def _apply_intents(self, latest: intents.Intents) -> None:
        while latest.revision > self._store.current.version:
            current = self._store.current
            built = await build_configuration(
                current, latest, self._clock.now()
            )
            if isinstance(built, result.Failure):
                self._record_refusal(
                    latest.revision, latest.label, built.failure()
                )
                return
            if self._store.current is not current:
                # A peer's configuration came into force in the meantime.
                continue
            merged, changed_count = built.unwrap()
            self._store.restore(configuration.Snapshot(merged))
            self._decisions.write(
                "configuration",
                version=latest.revision,
                label=latest.label,
                previous=current.version,
                changed=changed_count,
                source="store",
                read_age_ms=decision_log.milliseconds(self._last_read_age()),
            )
        self._readiness.record_platform_read()

    def _record_refusal(
        self, revision: int, label: str, refusal: configuration.Refusal
    ) -> None:
        logging.warning(
            "rejected invalid revision %d; nothing was applied: %s",
            revision,
            refusal.message,
        )
        self._metrics.count("changes_refused_total", kind=refusal.kind.value)
        self._decisions.write(
            "configuration_refused",
            version=revision,
            label=label,
            in_force=self._store.current.version,
            cause=refusal.message,
        )


async def build_configuration(
    current: configuration.Configuration,
    latest: intents.Intents,
    now: datetime.datetime,
) -> result.Result[
    tuple[configuration.Configuration, int], configuration.Refusal
]:
    """Return the configuration that ``latest`` describes, validated.

    The second value is the number of resources that differ from
    ``current``. Unchanged resources are shared with it, as a change usually
    touches a small part of a large configuration.
    """
    items: dict[resource.ResourceKey, resource.Resource] = {}
    for item in latest.resources:
        if item.key in items:
            message = f"{item.key} is defined twice"
            kind = configuration.RefusalKind.INVALID
            return result.Failure(configuration.Refusal(kind, message))
        items[item.key] = item
    puts = []
    for key, item in items.items():
        existing = current.resources.get(key)
        if existing is not item and existing != item:
            puts.append(item)
    deletes = [key for key in current.resources if key not in items]
    change = configuration.Change(
        version=latest.revision,
        base_version=current.version,
        change_id=str(latest.revision),
        base_digest=current.digest,
        digest=0,
        author=AUTHOR,
        accepted_at=now,
    )
    parts = [attrs.evolve(change, puts=tuple(part)) for part in _split(puts)]
    parts += [
        attrs.evolve(change, deletes=tuple(part)) for part in _split(deletes)
    ]
    merged = attrs.evolve(current, version=latest.revision)
    for part in parts:
        merged = configuration.merge(
            merged, latest.revision, part.puts, part.deletes
        )
        await asyncio.sleep(0)
    for part in parts:
        problems = configuration.problems(merged, part)
        if problems:
            return result.Failure(problems[0])
        await asyncio.sleep(0)
    return result.Success((merged, len(puts) + len(deletes)))


def _split(items: list[_Item]) -> abc.Iterator[list[_Item]]:
    """Return parts whose edits take the event loop a short time each."""
    for start in range(0, len(items), EDITS_PER_TURN):
        yield items[start : start + EDITS_PER_TURN]
