"""What a node takes for the present configuration is not an old one.

Guards against a state that is taken for the present one because it has just
arrived: its reader was slow, its message or its response waited, or the store
answered with an earlier state.
"""

import asyncio
from collections import abc

import pytest

from balsamramp_node.configuration import zone_feed
from balsamramp_testing import feed_zone
from balsamramp_testing import virtual_time

# Operators expect a change in force on all nodes within this time.
APPLY_SECONDS = 2.0
# Time between changes, and how many there are.
CHANGE_SECONDS = 0.57
CHANGES = 23
SAMPLE_SECONDS = 0.1
FIRST_READER = 3
SECOND_READER = 7
LATE_NODE = 5
GOSSIP_SECONDS = 0.5
CALM_SECONDS = 1200

Disturb = abc.Callable[[feed_zone.FeedZone], None]


class _Changes:
    """Changes in a row, and which nodes missed one that was due."""

    def __init__(self, zone: feed_zone.FeedZone, excused: set[str]) -> None:
        self._zone = zone
        self._excused = excused
        self._made_at: list[float] = []
        # Greatest age of the oldest change that a node lacked, in seconds.
        self.latest_in_force = 0.0
        self.oldest_confirmed = 0.0

    async def play(self) -> None:
        loop = asyncio.get_running_loop()
        watches = [
            asyncio.create_task(self._watch(node))
            for node in self._zone.nodes
            if node.member.node not in self._excused
        ]
        for number in range(CHANGES):
            self._zone.operators.add(f"new{number}")
            self._made_at.append(loop.time())
            await asyncio.sleep(CHANGE_SECONDS)
        for task in watches:
            task.cancel()
        await asyncio.gather(*watches, return_exceptions=True)

    async def _watch(self, node: feed_zone.FeedNode) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SAMPLE_SECONDS)
            asked_at = loop.time()
            self.latest_in_force = max(
                self.latest_in_force, self._missing_for(node, asked_at)
            )
            if not await node.feed.confirm():
                continue
            self.oldest_confirmed = max(
                self.oldest_confirmed, self._missing_for(node, asked_at)
            )

    def _missing_for(self, node: feed_zone.FeedNode, now: float) -> float:
        """Return for how long the node has missed a change at ``now``."""
        for number, made_at in enumerate(self._made_at):
            if not node.has(f"new{number}"):
                return now - made_at
        return 0.0


def _play(disturb: Disturb, excused: abc.Iterable[int] = ()) -> _Changes:
    async def main() -> _Changes:
        zone = await feed_zone.started_zone()
        names = {zone.nodes[index].member.node for index in excused}
        changes = _Changes(zone, names)
        disturb(zone)
        await changes.play()
        await zone.stop()
        return changes

    return virtual_time.run(main())


@pytest.mark.parametrize("seconds", [0.5, 0.8, 1.0, 1.15, 2.0])
@pytest.mark.parametrize(
    "slow", [(FIRST_READER,), (FIRST_READER, SECOND_READER)]
)
def test_change_is_in_time_while_readers_are_slow(
    slow: tuple[int, ...], seconds: float
) -> None:
    def disturb(zone: feed_zone.FeedZone) -> None:
        for index in slow:
            zone.nodes[index].source.delay_seconds = seconds

    changes = _play(disturb, slow)
    assert changes.latest_in_force < APPLY_SECONDS
    assert changes.oldest_confirmed < APPLY_SECONDS


@pytest.mark.parametrize("seconds", [0.5, 1.0, 1.5, 2.5, 3.5])
def test_message_that_waited_does_not_confirm_an_old_state(
    seconds: float,
) -> None:
    def disturb(zone: feed_zone.FeedZone) -> None:
        zone.delay_messages(zone.nodes[LATE_NODE], seconds)

    changes = _play(disturb)
    assert changes.latest_in_force < APPLY_SECONDS
    assert changes.oldest_confirmed < APPLY_SECONDS


@pytest.mark.parametrize("seconds", [1.0, 3.0])
def test_response_of_an_earlier_state_does_not_confirm_it(
    seconds: float,
) -> None:
    def disturb(zone: feed_zone.FeedZone) -> None:
        zone.nodes[FIRST_READER].source.lag_seconds = seconds

    changes = _play(disturb, [FIRST_READER])
    assert changes.latest_in_force < APPLY_SECONDS
    assert changes.oldest_confirmed < APPLY_SECONDS


@pytest.mark.parametrize("seconds", [0.5, 0.8, 1.15])
def test_change_is_in_time_while_one_reader_is_slow_and_the_next_dead(
    seconds: float,
) -> None:
    def disturb(zone: feed_zone.FeedZone) -> None:
        zone.nodes[FIRST_READER].source.delay_seconds = seconds
        zone.kill(zone.nodes[SECOND_READER])

    changes = _play(disturb, [FIRST_READER, SECOND_READER])
    assert changes.latest_in_force < APPLY_SECONDS
    assert changes.oldest_confirmed < APPLY_SECONDS


def test_change_is_in_time_while_one_reader_is_slow_and_a_node_is_late() -> (
    None
):
    def disturb(zone: feed_zone.FeedZone) -> None:
        zone.nodes[FIRST_READER].source.delay_seconds = 1.0
        zone.delay_messages(zone.nodes[LATE_NODE], 1.0)

    changes = _play(disturb, [FIRST_READER])
    assert changes.latest_in_force < APPLY_SECONDS
    assert changes.oldest_confirmed < APPLY_SECONDS


def test_change_that_peers_of_other_zones_have_is_in_time() -> None:
    """The store tells the zone's reader old states and the present time."""

    def disturb(zone: feed_zone.FeedZone) -> None:
        source = zone.nodes[FIRST_READER].source
        source.lag_seconds = 3.0
        source.states_now = True
        zone.gossip_versions(GOSSIP_SECONDS)

    changes = _play(disturb, [FIRST_READER])
    assert changes.latest_in_force < APPLY_SECONDS
    assert changes.oldest_confirmed < APPLY_SECONDS


def test_nothing_is_confirmed_while_a_peer_has_a_later_version() -> None:
    async def main() -> None:
        zone = await feed_zone.started_zone()
        node = zone.nodes[LATE_NODE]
        version = node.configurations.current.version
        assert await node.feed.confirm()
        node.feed.record_later_version(version)
        assert await node.feed.confirm()
        node.feed.record_later_version(version + 1)
        assert not await node.feed.confirm()
        assert node.feed.confirmation.later_version == version + 1
        zone.operators.add("new")
        await zone.time_until_all_have("new")
        assert await node.feed.confirm()
        await zone.stop()

    virtual_time.run(main())


def test_version_that_no_peer_has_any_more_is_forgotten() -> None:
    async def main() -> None:
        zone = await feed_zone.started_zone()
        node = zone.nodes[LATE_NODE]
        node.feed.record_later_version(99)
        assert not await node.feed.confirm()
        await asyncio.sleep(zone_feed.LATER_VERSION_TIME.total_seconds())
        assert await node.feed.confirm()
        await zone.stop()

    virtual_time.run(main())


def test_message_without_a_time_confirms_nothing() -> None:
    """Readers of an earlier release tell no time."""

    async def main() -> None:
        zone = await feed_zone.started_zone()
        node = zone.nodes[LATE_NODE]
        copies = node.source.copies
        zone.drop_read_times(node)
        await asyncio.sleep(5)
        assert await node.feed.confirm()
        assert node.feed.confirmation.source == node.member.node
        assert node.source.copies > copies
        node.source.away = True
        await asyncio.sleep(3)
        assert not await node.feed.confirm()
        await zone.stop()

    virtual_time.run(main())


def test_node_that_returns_from_a_cut_confirms_no_state_of_before() -> None:
    async def main() -> None:
        zone = await feed_zone.started_zone()
        cut = zone.nodes[LATE_NODE]
        zone.network.down.add(cut.member.node)
        cut.source.away = True
        zone.operators.add("new")
        await asyncio.sleep(5)
        assert not await cut.feed.confirm()
        zone.network.down.discard(cut.member.node)
        for _ in range(20):
            if await cut.feed.confirm():
                break
        assert cut.has("new")
        await zone.stop()

    virtual_time.run(main())


def test_node_that_has_just_started_confirms_nothing() -> None:
    async def main() -> None:
        zone = feed_zone.FeedZone()
        node = zone.nodes[LATE_NODE]
        assert not await node.feed.confirm()
        assert node.feed.confirmation.age is None

    virtual_time.run(main())


@pytest.mark.parametrize("changes", [0, 10])
def test_reader_polls_the_store_at_an_even_pace(changes: int) -> None:
    async def main() -> None:
        zone = await feed_zone.started_zone()
        before = sum(node.source.reads for node in zone.nodes)
        for number in range(changes):
            zone.operators.add(f"new{number}")
            await asyncio.sleep(1)
        await asyncio.sleep(10 - changes)
        reads = sum(node.source.reads for node in zone.nodes) - before
        pace = zone_feed.READER_POLL_TIME.total_seconds()
        assert reads <= 10 / pace + changes + 1
        await zone.stop()

    virtual_time.run(main())


def test_age_is_a_metric_that_rises_while_nothing_confirms() -> None:
    async def main() -> None:
        zone = await feed_zone.started_zone()
        node = zone.nodes[LATE_NODE]
        name = "configuration_age_seconds"
        assert node.counters.value(name) < 1
        node.source.away = True
        zone.network.down.add(node.member.node)
        await asyncio.sleep(10)
        assert node.counters.value(name) > 9
        await zone.stop()

    virtual_time.run(main())


def test_clock_of_the_store_is_kept_known_at_little_cost() -> None:
    """Guards against bounds that widen until nodes read in place of one."""

    async def main() -> None:
        zone = await feed_zone.started_zone()
        reads = [node.source.reads for node in zone.nodes]
        measured: list[set[str]] = []
        clock_reads = [0] * len(zone.nodes)
        for _ in range(CALM_SECONDS):
            await asyncio.sleep(1)
            measured.append(set())
            for index, node in enumerate(zone.nodes):
                assert await node.feed.confirm()
                if node.source.clock_reads > clock_reads[index]:
                    clock_reads[index] = node.source.clock_reads
                    measured[-1].add(node.member.node)
        for index, node in enumerate(zone.nodes):
            made = node.source.reads - reads[index]
            allowed = 0.0
            if index == FIRST_READER:
                pace = zone_feed.READER_POLL_TIME.total_seconds()
                allowed = CALM_SECONDS / pace + 1
            assert made <= allowed, node.member.node
            assert node.source.clock_reads <= CALM_SECONDS / 180
        assert max(len(nodes) for nodes in measured) <= 3
        await zone.stop()

    virtual_time.run(main())


def _cut_off_from_the_store(zone: feed_zone.FeedZone) -> None:
    zone.nodes[FIRST_READER].source.away = True


def _cut_off_from_the_zone(zone: feed_zone.FeedZone) -> None:
    for node in zone.nodes:
        if node is not zone.nodes[FIRST_READER]:
            zone.network.partition(
                zone.nodes[FIRST_READER].member.node, node.member.node
            )


def _served_old_states(zone: feed_zone.FeedZone) -> None:
    zone.nodes[FIRST_READER].source.lag_seconds = 1.5


def _slow(zone: feed_zone.FeedZone) -> None:
    zone.nodes[FIRST_READER].source.delay_seconds = 1.0


def _stands_still(zone: feed_zone.FeedZone) -> None:
    """It takes messages and does not pass them on."""
    zone.network.unresponsive.add(zone.nodes[FIRST_READER].member.node)
    zone.nodes[FIRST_READER].source.delay_seconds = 60.0


@pytest.mark.parametrize(
    "first",
    [
        _cut_off_from_the_store,
        _cut_off_from_the_zone,
        _served_old_states,
        _slow,
        _stands_still,
    ],
)
@pytest.mark.parametrize("second", ["slow", "old states", "stands still"])
def test_change_is_in_time_while_both_nodes_that_read_are_disturbed(
    first: Disturb, second: str
) -> None:
    def disturb(zone: feed_zone.FeedZone) -> None:
        first(zone)
        next_reader = zone.nodes[SECOND_READER]
        if second == "slow":
            next_reader.source.delay_seconds = 1.0
        elif second == "old states":
            next_reader.source.lag_seconds = 1.5
        else:
            zone.network.unresponsive.add(next_reader.member.node)
            next_reader.source.delay_seconds = 60.0

    changes = _play(disturb, [FIRST_READER, SECOND_READER])
    assert changes.latest_in_force < APPLY_SECONDS
    assert changes.oldest_confirmed < APPLY_SECONDS
