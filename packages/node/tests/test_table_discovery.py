"""A node's row in the table is that of its latest start.

A predecessor of the same name may be slow or paused, and its writes may come
after its successor's; new nodes would then find nobody at the row's address.
"""

import asyncio
from collections import abc
import datetime
import random

import msgspec

from balsamramp_core import settings
from balsamramp_core import storage
from balsamramp_node.membership import member_list
from balsamramp_node.membership import table_discovery
from balsamramp_testing import member_fixture
from balsamramp_testing import memory_platform
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

KEY = "members/z/a"
SOON = datetime.timedelta(seconds=1)
PRUNED = 2 * table_discovery.PRUNE_INTERVAL


class _World:
    """Starts of nodes beside one table."""

    def __init__(self) -> None:
        self.clock = virtual_time.VirtualClock()
        self.faults = memory_platform.Faults()
        self.table = memory_platform.MemoryTable(self.faults, self.clock)
        self.members = member_list.MemberList()

    def make(self, incarnation: int) -> table_discovery.TableDiscovery:
        return table_discovery.TableDiscovery(
            member_fixture.make_member(
                "a",
                incarnation=incarnation,
                control=settings.Address(f"start-{incarnation}", 1),
            ),
            self.table,
            self.members,
            self.clock,
            random.Random(incarnation),
        )

    async def start(self, incarnation: int) -> table_discovery.TableDiscovery:
        discovery = self.make(incarnation)
        await discovery.start()
        await self.clock.sleep(SOON)
        return discovery

    async def incarnation(self) -> int | None:
        """Return the start that the row is of, or None without a row."""
        row = (await self.table.read(KEY)).unwrap()
        if row is None:
            return None
        return int(msgspec.json.decode(row.value)["incarnation"])


def _run(scenario: abc.Callable[[_World], abc.Awaitable[None]]) -> None:
    async def main() -> None:
        await scenario(_World())

    virtual_time.run(main())


def test_row_is_deleted_by_the_node_that_wrote_it() -> None:
    async def main(world: _World) -> None:
        node = await world.start(1)
        assert await world.incarnation() == 1
        await node.withdraw()
        assert await world.incarnation() is None

    _run(main)


def test_late_withdrawal_keeps_the_row_of_a_successor() -> None:
    async def main(world: _World) -> None:
        predecessor = await world.start(1)
        successor = await world.start(2)
        await predecessor.withdraw()
        assert await world.incarnation() == 2
        await successor.withdraw()
        assert await world.incarnation() is None

    _run(main)


def test_late_registration_keeps_the_row_of_a_successor() -> None:
    async def main(world: _World) -> None:
        successor = await world.start(2)
        predecessor = await world.start(1)
        assert await world.incarnation() == 2
        await predecessor.withdraw()
        await successor.withdraw()

    _run(main)


def test_successor_replaces_the_row_that_a_killed_predecessor_left() -> None:
    async def main(world: _World) -> None:
        predecessor = await world.start(1)
        successor = await world.start(2)
        assert await world.incarnation() == 2
        await asyncio.gather(predecessor.withdraw(), successor.withdraw())

    _run(main)


def test_row_that_is_no_valid_entry_is_replaced() -> None:
    async def main(world: _World) -> None:
        for value in (b"", b"{}", b'{"incarnation":"x"}'):
            transaction = storage.Transaction(
                conditions=(), writes=(storage.Write(KEY, value),)
            )
            (await world.table.commit(transaction)).unwrap()
            node = await world.start(1)
            assert await world.incarnation() == 1
            await node.withdraw()

    _run(main)


def test_row_of_a_departed_node_that_has_started_again_is_kept() -> None:
    async def main(world: _World) -> None:
        first = member_fixture.make_member("0")
        world.members.put(first)
        pruner = table_discovery.TableDiscovery(
            first,
            world.table,
            world.members,
            world.clock,
            random.Random(0),
        )
        await pruner.start()
        world.members.put(
            member_fixture.make_member(
                "a", incarnation=1, state=messages.MemberState.DEAD
            )
        )
        started_again = await world.start(2)
        await world.clock.sleep(PRUNED)
        assert await world.incarnation() == 2
        await started_again.withdraw()
        departed = await world.start(1)
        await world.clock.sleep(PRUNED)
        assert await world.incarnation() is None
        await departed.withdraw()
        await pruner.withdraw()

    _run(main)
