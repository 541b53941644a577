"""The store states its time, and nodes know how old its answers are."""

import asyncio
from collections import abc
import datetime
import typing

import fake_store
import pytest
import sidecar_fleet
import store_client
import store_intent_source

from balsamramp_core import clock
from balsamramp_core import settings

TIMEOUT = datetime.timedelta(seconds=5)
POLL_TIME = datetime.timedelta(seconds=0.2)
SECOND = datetime.timedelta(seconds=1)


class _Store(fake_store.FakeStore):
    """States ``stated`` in place of its time, unless that is missing."""

    def __init__(self, **stated: typing.Any) -> None:
        super().__init__()
        self.stated = stated

    def _stamp(self, table: str = "") -> dict[str, typing.Any]:
        return {**super()._stamp(table), **self.stated}


Trial = abc.Callable[
    [fake_store.FakeStore, store_intent_source.StoreIntentSource],
    abc.Awaitable[None],
]


def _try(trial: Trial, **stated: typing.Any) -> None:
    async def main() -> None:
        store = _Store(**stated)
        await store.start()
        store.put("op", "config", sidecar_fleet.configuration(3))
        client = store_client.StoreClient(
            settings.Address("127.0.0.1", store.port),
            TIMEOUT,
            clock.SystemClock(),
        )
        await trial(store, store_intent_source.StoreIntentSource(client))
        await client.stop()
        await store.stop()

    asyncio.run(main())


def test_reads_are_dated_by_the_store() -> None:
    async def trial(
        store: fake_store.FakeStore,
        source: store_intent_source.StoreIntentSource,
    ) -> None:
        for _ in range(2):
            await source.next(POLL_TIME)
            assert source.read_at is not None
            age = source.clock.age(source.read_at)
            assert age is not None
            assert age < SECOND

    _try(trial)


def test_read_of_an_earlier_state_is_as_old_as_it_states() -> None:
    async def trial(
        store: fake_store.FakeStore,
        source: store_intent_source.StoreIntentSource,
    ) -> None:
        await source.read_clock()
        await source.next(POLL_TIME)
        store.behind_seconds = 2.0
        await source.next(POLL_TIME)
        assert source.read_at is not None
        age = source.clock.age(source.read_at)
        assert age is not None
        assert age >= 2 * SECOND

    _try(trial)


def test_short_call_narrows_what_a_long_poll_left_open() -> None:
    async def trial(
        store: fake_store.FakeStore,
        source: store_intent_source.StoreIntentSource,
    ) -> None:
        await source.next(POLL_TIME)
        source.clock.reset()
        await source.next(POLL_TIME)
        loose = source.clock.uncertainty
        assert loose is not None
        assert loose >= POLL_TIME
        await source.read_clock()
        narrow = source.clock.uncertainty
        assert narrow is not None
        assert narrow < POLL_TIME

    _try(trial)


@pytest.mark.parametrize("stated", ["soon", -5, None, 1.5, True, 10**30])
def test_time_that_cannot_be_read_dates_nothing(stated: object) -> None:
    async def trial(
        store: fake_store.FakeStore,
        source: store_intent_source.StoreIntentSource,
    ) -> None:
        read = await source.next(POLL_TIME)
        assert read.unwrap() is not None
        assert source.read_at is None
        assert source.clock.uncertainty is None

    _try(trial, nowMs=stated)


def test_clock_is_measured_anew_in_a_later_era() -> None:
    async def trial(
        store: fake_store.FakeStore,
        source: store_intent_source.StoreIntentSource,
    ) -> None:
        store.era = 1
        await source.next(POLL_TIME)
        store.restore(store.copy())
        source.restart()
        await source.next(POLL_TIME)
        assert source.read_at is not None
        age = source.clock.age(source.read_at)
        assert age is not None
        assert age < SECOND

    _try(trial)
