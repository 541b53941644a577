"""States of an external store come into force as a whole, in order.

Guards against older or invalid states in force, and against a reader
that stops after the store was unavailable.
"""

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
STORE_UNAVAILABLE = storage.StorageError(
    storage.StorageErrorKind.UNAVAILABLE, "unavailable"
)

Read = result.Result[intents.Intents | None, storage.StorageError]


class _FakeSource(intents.IntentSource):
    """Returns the given reads, then reports no new state."""

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


def _read_all(*reads: Read) -> store.ConfigurationStore:
    async def main() -> store.ConfigurationStore:
        clock = virtual_time.VirtualClock()
        counters = metrics.Metrics()
        configurations = store.ConfigurationStore(counters)
        ready = readiness.Readiness(configurations)
        ready.record_peers_tried()
        reader = intent_store_reader.IntentStoreReader(
            _FakeSource(list(reads), clock),
            configurations,
            ready,
            read_age.ReadAge(clock),
            clock,
            counters,
            decision_log.DecisionLog(decision_log.NullSink(), clock),
            random.Random(1),
        )
        await reader.start()
        await clock.sleep(10 * intent_store_reader.RETRY_MAX)
        await reader.stop()
        return configurations

    return virtual_time.run(main())


def _names(configurations: store.ConfigurationStore) -> list[str]:
    return [str(key) for key in sorted(configurations.current.resources)]


def test_applies_changes_and_reuses_unchanged_resources() -> None:
    kept = _entry("a")
    configurations = _read_all(
        _intents(5, CAJA, kept, _entry("b")),
        _intents(9, CAJA, _entry("a"), _entry("c")),
    )
    assert configurations.current.version == 9
    assert _names(configurations) == ["entry/a", "entry/c", "service/caja"]
    assert configurations.current.resources[kept.key] is kept
    assert configurations.in_service


def test_ignores_older_revision() -> None:
    configurations = _read_all(
        _intents(9, CAJA, _entry("a")), _intents(5, CAJA)
    )
    assert configurations.current.version == 9
    assert _names(configurations) == ["entry/a", "service/caja"]


def test_rejects_state_with_missing_dependency_as_a_whole() -> None:
    configurations = _read_all(
        _intents(5, CAJA, _entry("a")),
        _intents(9, CAJA, _entry("b"), _entry("c", to="missing")),
    )
    assert configurations.current.version == 5
    assert _names(configurations) == ["entry/a", "service/caja"]


def test_rejects_duplicate_key() -> None:
    other = attrs.evolve(_entry("a"), priority=1)
    configurations = _read_all(_intents(5, CAJA, _entry("a"), other))
    assert configurations.current.version == 0
    assert not configurations.current.resources


def test_retries_while_store_is_unavailable() -> None:
    unavailable: Read = result.Failure(STORE_UNAVAILABLE)
    configurations = _read_all(
        unavailable, unavailable, unavailable, _intents(5, CAJA)
    )
    assert configurations.current.version == 5
    assert configurations.in_service
