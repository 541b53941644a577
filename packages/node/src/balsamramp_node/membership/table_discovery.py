"""Peer discovery through one table row per node.

A node writes its row when it starts, again when the table has come back from
a copy, and deletes it when it stops; changes in between propagate by gossip.
So the table gets one write and one read for each start, and as many for each
stop. A row is replaced and deleted only for
the same or a later start of its node: writes of a predecessor may come after
its successor's.
"""

import asyncio
import datetime
import random

from absl import logging
import attrs
import msgspec
from returns import result

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import decoding
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_core import storage
from balsamramp_node.membership import member_list
from balsamramp_node.membership import peer_discovery
from balsamramp_wire import messages

__all__ = ["TableDiscovery"]

PREFIX = "members/"
READ_MAX_ROWS = 500
# Bounds of the exponential backoff between attempts to write the row.
RETRY_MIN = datetime.timedelta(milliseconds=200)
RETRY_MAX = datetime.timedelta(seconds=5)
# Time between checks for rows of departed nodes. A stale row only costs a
# failed exchange.
PRUNE_INTERVAL = datetime.timedelta(seconds=60)
# Interval of checks whether the table has come back from a copy, and the time
# over which the nodes then write their rows.
RESTORED_CHECK_INTERVAL = datetime.timedelta(seconds=1)
RESTORED_SPREAD = datetime.timedelta(seconds=3)
STOP_TIMEOUT = datetime.timedelta(milliseconds=500)
# Of a row that does not exist.
NO_REVISION = 0


@attrs.frozen(kw_only=True)
class _Row:
    address: settings.Address
    incarnation: int


class TableDiscovery(service_manager.Service, peer_discovery.PeerDiscovery):
    """Registers this node in the table and lists the other nodes."""

    name = "roster"
    lists_every_node = True
    requires = ()

    def __init__(
        self,
        own: messages.Member,
        table: storage.Table,
        members: member_list.MemberList,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._table = table
        self._members = members
        self._clock = time
        self._random = rng
        self._key = f"{PREFIX}{own.zone}/{own.node}"
        self._task: asyncio.Task[None] | None = None
        self._withdrawn = False
        self._zones: frozenset[str] = frozenset()

    @property
    def zones(self) -> frozenset[str]:
        return self._zones

    async def start(self) -> None:
        self._task = background_task.start(self._run, self._clock)

    async def stop(self) -> None:
        await self.withdraw()

    async def withdraw(self) -> None:
        """Delete the row of this node; later calls have no effect."""
        if self._withdrawn:
            return
        self._withdrawn = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        try:
            async with asyncio.timeout(STOP_TIMEOUT.total_seconds()):
                await self._write(self._key, self._own.incarnation, None)
        except TimeoutError:
            logging.warning(
                "deleting row %s timed out; it stays until another node of "
                "the zone deletes it",
                self._key,
            )

    async def read(self) -> list[settings.Address]:
        """Return the control addresses of the other registered nodes."""
        scanned = await self._table.scan(PREFIX, "", READ_MAX_ROWS)
        if isinstance(scanned, result.Failure):
            return []
        found = []
        zones = {self._own.zone}
        for row in scanned.unwrap():
            zones.add(row.key.removeprefix(PREFIX).partition("/")[0])
            if row.key == self._key:
                continue
            try:
                entry = decoding.decode_json(row.value, _Row)
            except decoding.DecodingError as error:
                logging.warning(
                    "ignoring row %s, which is not a valid entry: %s",
                    row.key,
                    error,
                )
                continue
            found.append(entry.address)
        self._zones = frozenset(zones)
        return found

    async def _run(self) -> None:
        wait = RETRY_MIN
        row = _Row(
            address=self._own.control, incarnation=self._own.incarnation
        )
        value = msgspec.json.encode(row)
        # Most nodes find no row, as their predecessor has deleted it.
        generation = self._table.generation
        registered = await self._commit(self._key, value, NO_REVISION)
        while True:
            while not registered and not await self._write(
                self._key, row.incarnation, value
            ):
                await self._clock.sleep(wait * (0.5 + self._random.random()))
                wait = min(2 * wait, RETRY_MAX)
            if not generation:
                # Not known before the first response of the store.
                generation = self._table.generation
            await self._wait_until_restored(generation)
            await self._clock.sleep(RESTORED_SPREAD * self._random.random())
            generation = self._table.generation
            registered, wait = False, RETRY_MIN

    async def _wait_until_restored(self, generation: int) -> None:
        """Return when the table is of a later generation; prune meanwhile."""
        while True:
            jitter = 0.5 + self._random.random()
            prune_at = self._clock.monotonic() + PRUNE_INTERVAL * jitter
            while self._clock.monotonic() < prune_at:
                await self._clock.sleep(RESTORED_CHECK_INTERVAL)
                if self._table.generation > generation:
                    return
            await self._prune()

    async def _prune(self) -> None:
        """Delete rows of departed nodes, if this is the zone's first node."""
        alive = self._members.alive_in(self._own.zone)
        if not alive or alive[0].node != self._own.node:
            return
        for member in self._members.departed_in(self._own.zone):
            key = f"{PREFIX}{member.zone}/{member.node}"
            await self._write(key, member.incarnation, None)

    async def _write(
        self, key: str, incarnation: int, value: bytes | None
    ) -> bool:
        """Write or delete the row of a node, unless a later start has it.

        Return False if the write may be tried again.
        """
        read = await self._table.read(key)
        if isinstance(read, result.Failure):
            return False
        row = read.unwrap()
        if row is None and value is None:
            return True
        if row is not None and _incarnation_of(row) > incarnation:
            logging.warning(
                "row %s is of a later start of its node than %d; keeping it",
                key,
                incarnation,
            )
            return True
        revision = NO_REVISION if row is None else row.revision
        return await self._commit(key, value, revision)

    async def _commit(
        self, key: str, value: bytes | None, revision: int
    ) -> bool:
        """Write or delete a row that has ``revision``; return success."""
        transaction = storage.Transaction(
            conditions=(storage.Condition(key, revision),),
            writes=(storage.Write(key, value),),
        )
        committed = await self._table.commit(transaction)
        return isinstance(committed, result.Success)


def _incarnation_of(row: storage.Row) -> int:
    """Return the start that wrote a row, 0 if it is not a valid entry."""
    try:
        return decoding.decode_json(row.value, _Row).incarnation
    except decoding.DecodingError:
        return 0
