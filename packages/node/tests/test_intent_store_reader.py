"""Watched source: what an outside store orders comes into force whole."""

import random

import attrs
from returns import result

from balsamramp_core import intents
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core import storage
from balsamramp_core.resources import entry
from balsamramp_core.resources import service
from balsamramp_node.configuration import intent_store_reader
from balsamramp_node.configuration import read_age
from balsamramp_node.configuration import readiness
from balsamramp_node.configuration import store
from balsamramp_node.process import decision_log
from balsamramp_testing import virtual_time

CAJA = service.Service(name="caja")
AWAY = storage.StorageError(storage.StorageErrorKind.UNAVAILABLE, "away")

Read = result.Result[intents.Intents | None, storage.StorageError]


class _Source(intents.IntentSource):
    """Gives what it was told to, then nothing new."""

    def __init__(
        self, reads: list[Read], clock: virtual_time.VirtualClock
    ) -> None:
        self._reads = reads
        self._clock = clock

    async def next(self) -> Read:
        if self._reads:
            return self._reads.pop(0)
        await self._clock.sleep(intent_store_reader.RETRY_MAX)
        return result.Success(None)


def _entry(name: str, to: str = "caja") -> entry.Entry:
    return entry.Entry(
        name=name,
        host="h",
        path_prefix=f"/{name}/",
        parts=(entry.Part(service=to),),
    )


def _intents(revision: int, *items: resource.Resource) -> Read:
    return result.Success(intents.Intents(revision=revision, resources=items))


def _follow(*reads: Read) -> store.ConfigurationStore:
    async def main() -> store.ConfigurationStore:
        clock = virtual_time.VirtualClock()
        counters = metrics.Metrics()
        held = store.ConfigurationStore(counters)
        ready = readiness.Readiness(held)
        ready.record_peers_tried()
        followed = intent_store_reader.IntentStoreReader(
            _Source(list(reads), clock),
            held,
            ready,
            read_age.ReadAge(clock),
            clock,
            counters,
            decision_log.DecisionLog(decision_log.NullSink(), clock),
            random.Random(1),
        )
        await followed.start()
        await clock.sleep(10 * intent_store_reader.RETRY_MAX)
        await followed.stop()
        return held

    return virtual_time.run(main())


def _names(held: store.ConfigurationStore) -> list[str]:
    return [str(key) for key in sorted(held.current.resources)]


def test_changes_come_into_force_and_share_what_stays() -> None:
    kept = _entry("a")
    held = _follow(
        _intents(5, CAJA, kept, _entry("b")),
        _intents(9, CAJA, _entry("a"), _entry("c")),
    )
    assert held.current.version == 9
    assert _names(held) == ["entry/a", "entry/c", "service/caja"]
    assert held.current.resources[kept.key] is kept
    assert held.in_service


def test_an_older_state_changes_nothing() -> None:
    held = _follow(_intents(9, CAJA, _entry("a")), _intents(5, CAJA))
    assert held.current.version == 9
    assert _names(held) == ["entry/a", "service/caja"]


def test_a_state_that_lacks_what_it_needs_is_refused_whole() -> None:
    held = _follow(
        _intents(5, CAJA, _entry("a")),
        _intents(9, CAJA, _entry("b"), _entry("c", to="missing")),
    )
    assert held.current.version == 5
    assert _names(held) == ["entry/a", "service/caja"]


def test_a_name_that_stands_twice_is_refused() -> None:
    other = attrs.evolve(_entry("a"), priority=1)
    held = _follow(_intents(5, CAJA, _entry("a"), other))
    assert held.current.version == 0
    assert not held.current.resources


def test_a_store_that_is_away_for_a_while_is_read_again() -> None:
    away: Read = result.Failure(AWAY)
    held = _follow(away, away, away, _intents(5, CAJA))
    assert held.current.version == 5
    assert held.in_service
