"""One node of a zone reads the store; the others have changes in time.

Guards against nodes that each read the whole configuration for each change,
over links that take longer for it than changes come apart.
"""

import asyncio

import pytest

from balsamramp_node.configuration import store
from balsamramp_node.configuration import zone_feed
from balsamramp_testing import feed_zone
from balsamramp_testing import virtual_time

# Operators expect a change in force on all nodes within this time.
APPLY_SECONDS = 2.0


def test_one_node_reads_and_all_have_each_change() -> None:
    async def main() -> None:
        zone = await feed_zone.started_zone()
        copies = [node.source.copies for node in zone.nodes]
        for number in range(10):
            zone.operators.add(f"new{number}")
            elapsed = await zone.time_until_all_have(f"new{number}")
            assert elapsed < APPLY_SECONDS
        assert [node.feed.is_reader for node in zone.nodes].count(True) == 1
        for node, before in zip(zone.nodes, copies, strict=True):
            if not node.feed.is_reader:
                assert node.source.copies == before, node.member.node
        assert zone.nodes[3].feed.is_reader
        digests = {n.configurations.current.digest for n in zone.nodes}
        assert len(digests) == 1
        await zone.stop()

    virtual_time.run(main())


@pytest.mark.parametrize("after", [0.0, 0.2, 0.4, 0.6, 0.9, 1.1])
def test_change_is_in_time_when_the_reader_dies(after: float) -> None:
    async def main() -> None:
        zone = await feed_zone.started_zone()
        zone.kill(zone.nodes[3])
        await asyncio.sleep(after)
        zone.operators.add("new")
        assert await zone.time_until_all_have("new") < APPLY_SECONDS
        await zone.stop()

    virtual_time.run(main())


def test_next_reader_takes_over_and_the_others_stop_reading() -> None:
    async def main() -> None:
        zone = await feed_zone.started_zone()
        zone.kill(zone.nodes[3])
        await asyncio.sleep(10)
        copies = [node.source.copies for node in zone.nodes]
        for number in range(5):
            zone.operators.add(f"new{number}")
            await asyncio.sleep(1)
        assert await zone.time_until_all_have("new4") < APPLY_SECONDS
        read = [
            node.member.node
            for node, before in zip(zone.nodes, copies, strict=True)
            if node.source.copies > before
        ]
        assert read == ["n07"]
        await zone.stop()

    virtual_time.run(main())


@pytest.mark.parametrize("count", [40, 1400])
def test_large_change_is_read_by_one_node(count: int) -> None:
    """Guards against a copy of all resources for each node at once."""

    async def main() -> None:
        zone = await feed_zone.started_zone()
        copies = zone.copies()
        names = [f"new{i}" for i in range(count)]
        zone.operators.add(*names)
        assert await zone.time_until_all_have(names[-1]) < APPLY_SECONDS
        zone.operators.add("after")
        assert await zone.time_until_all_have("after") < APPLY_SECONDS
        await asyncio.sleep(3)
        assert zone.readers_since(copies) == ["n03"]
        await zone.stop()

    virtual_time.run(main())


def test_node_that_missed_a_large_change_reads_the_store() -> None:
    async def main() -> None:
        zone = await feed_zone.started_zone()
        cut = zone.nodes[5]
        names = [f"new{i}" for i in range(2 * zone_feed.CHANGE_MAX_KEYS)]
        zone.network.down.add(cut.member.node)
        zone.operators.add(*names)
        await asyncio.sleep(5)
        zone.network.down.discard(cut.member.node)
        assert await zone.time_until_all_have(names[-1]) < APPLY_SECONDS
        await zone.stop()

    virtual_time.run(main())


def test_few_nodes_read_while_the_reader_hears_nothing() -> None:
    """Guards against all nodes that read the table when the feed is silent.

    The store answers no poll of its feed for a while; the table is served.
    """

    async def main() -> None:
        zone = await feed_zone.started_zone()
        copies = zone.copies()
        zone.operators.silent = True
        await asyncio.sleep(0.3)
        zone.operators.add("new")
        assert await zone.time_until_all_have("new") < APPLY_SECONDS
        await asyncio.sleep(1)
        zone.operators.silent = False
        await asyncio.sleep(3)
        assert len(zone.readers_since(copies)) <= 3
        await zone.stop()

    virtual_time.run(main())


def test_node_that_missed_messages_catches_up_with_the_next() -> None:
    async def main() -> None:
        zone = await feed_zone.started_zone()
        cut = zone.nodes[5]
        copies = cut.source.copies
        zone.network.down.add(cut.member.node)
        zone.operators.add("missed")
        await asyncio.sleep(0.1)
        zone.network.down.discard(cut.member.node)
        zone.operators.add("next")
        assert await zone.time_until_all_have("next") < APPLY_SECONDS
        assert cut.has("missed")
        assert cut.source.copies == copies
        await zone.stop()

    virtual_time.run(main())


def test_configuration_is_confirmed_until_the_store_is_away() -> None:
    async def main() -> None:
        zone = await feed_zone.started_zone()
        for _ in range(20):
            await asyncio.sleep(0.1)
            for node in zone.nodes:
                assert await node.feed.confirm()
        for node in zone.nodes:
            node.source.away = True
        await asyncio.sleep(2)
        for node in zone.nodes:
            assert not await node.feed.confirm()
        await zone.stop()

    virtual_time.run(main())


def test_change_that_does_not_fit_is_not_applied() -> None:
    async def main() -> None:
        zone = await feed_zone.started_zone()
        node = zone.nodes[5]
        odd = store.configuration.merge(
            node.configurations.current,
            node.configurations.current.version,
            (feed_zone.make_entry("odd"),),
            (),
        )
        node.configurations._current = odd
        zone.operators.add("new")
        assert await zone.time_until_all_have("new") < APPLY_SECONDS
        assert not node.has("odd")
        await zone.stop()

    virtual_time.run(main())
