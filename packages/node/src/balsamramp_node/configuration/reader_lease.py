"""Leases that limit how many nodes of a zone read the platform's log.

Each zone has SLOTS_PER_ZONE rows in the table, its slots. A node holds a
slot while it renews the row. Another node may take over a row that has
not changed for LEASE_DURATION on that node's own monotonic clock, so the
clocks of VMs need not agree. A holder that was paused sees on its own
clock that its lease has expired and stops reading. Two concurrent
holders of a slot are safe: versions only increase, and every write is
conditional.
"""

import asyncio
from collections import abc
import datetime
import random
import typing

from absl import logging
import attrs
import msgspec
from returns import result
import xxhash

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import storage
from balsamramp_node.configuration import read_age
from balsamramp_node.configuration import readiness
from balsamramp_node.membership import member_list

__all__ = ["LeaseRow", "ReaderLease", "lease_key"]

SLOTS_PER_ZONE = 2
CANDIDATES_PER_ZONE = 6
LEASE_DURATION = datetime.timedelta(seconds=2)
RENEW_INTERVAL = datetime.timedelta(seconds=1)
WATCH_INTERVAL = datetime.timedelta(milliseconds=500)
STALE_AFTER = datetime.timedelta(seconds=8)


@attrs.frozen(kw_only=True)
class LeaseRow:
    """The holder of a slot; ``renewals`` counts its writes."""

    node: str
    incarnation: int
    renewals: int


@attrs.frozen
class _ObservedRow:
    revision: int
    unchanged_since: datetime.timedelta


def lease_key(zone: str, slot: int) -> str:
    """Return the table key of a slot of ``zone``."""
    return f"readers/{zone}/{slot}"


class ReaderLease(service_manager.Service, read_age.ReadAge):
    """Acquires, renews and releases one slot of this node's zone.

    Only CANDIDATES_PER_ZONE live members of the zone, the first by the
    hash of their names, poll the slots. Once no node of the zone has
    read the platform for STALE_AFTER, any node may.
    """

    name = "reader-lease"
    requires = ("readiness",)

    def __init__(
        self,
        node: str,
        zone: str,
        incarnation: int,
        members: member_list.MemberList,
        ready: readiness.Readiness,
        table: storage.Table,
        time: clock.Clock,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._zone = zone
        self._incarnation = incarnation
        self._members = members
        self._readiness = ready
        self._table = table
        read_age.ReadAge.__init__(self, time)
        self._metrics = counters
        self._random = rng
        self._slot: int | None = None
        self._revision = 0
        self._renewals = 0
        self._held_until = datetime.timedelta()
        self._observed_rows: dict[int, _ObservedRow] = {}
        self._acquired = asyncio.Event()
        self._started_at = datetime.timedelta()
        self._task: asyncio.Task[None] | None = None

    @property
    def held(self) -> bool:
        """Return whether this node holds a slot now."""
        if self._slot is None:
            return False
        return self._clock.monotonic() < self._held_until

    @property
    def is_leader(self) -> bool:
        """Return whether this node holds slot 0 and so writes for the zone."""
        return self.held and self._slot == 0

    def zone_size(self) -> int:
        """Return the number of live nodes in this node's zone."""
        return len(self._members.alive_in(self._zone))

    async def wait_until_held(self) -> None:
        """Return once this node holds a slot."""
        while not self.held:
            self._acquired.clear()
            await self._acquired.wait()

    async def start(self) -> None:
        self._started_at = self._clock.monotonic()
        self._task = background_task.start(
            self._run, self._clock, self._metrics
        )

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self.held:
            await self._write_row(None)

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {"slot": self._slot if self.held else None}

    async def _run(self) -> None:
        await self._readiness.wait_until_peers_tried()
        while True:
            if self._slot is not None:
                await self._renew()
            else:
                watched_slot = self._slot_to_watch()
                if watched_slot is not None:
                    await self._try_acquire(watched_slot)
            held = self._slot is not None
            interval = RENEW_INTERVAL if held else WATCH_INTERVAL
            jitter = 0.8 + 0.4 * self._random.random()
            await self._clock.sleep(interval * jitter)

    def _slot_to_watch(self) -> int | None:
        """Return the slot that this node polls, or None.

        Each candidate polls one slot, so that only a few nodes read each
        row.
        """
        nodes = [member.node for member in self._members.alive_in(self._zone)]
        nodes.sort(key=lambda node: xxhash.xxh64_intdigest(node.encode()))
        if self._node in nodes[:CANDIDATES_PER_ZONE]:
            return nodes.index(self._node) % SLOTS_PER_ZONE
        last_read_at = self._last_read_at or self._started_at
        if self._clock.monotonic() - last_read_at < STALE_AFTER:
            return None
        if self._random.random() > CANDIDATES_PER_ZONE / len(nodes):
            return None
        return self._random.randrange(SLOTS_PER_ZONE)

    async def _try_acquire(self, slot: int) -> None:
        read = await self._table.read(lease_key(self._zone, slot))
        if isinstance(read, result.Failure):
            return
        row = read.unwrap()
        if row is not None and not self._lease_expired(slot, row):
            return
        self._slot = slot
        self._held_until = datetime.timedelta()
        self._revision = 0 if row is None else row.revision
        self._renewals = 0
        if await self._renew():
            logging.info("holds reader slot %d", slot)
            self._metrics.count("reader_leases_taken_total")

    def _lease_expired(self, slot: int, row: storage.Row) -> bool:
        now = self._clock.monotonic()
        observed = self._observed_rows.get(slot)
        if observed is None or observed.revision != row.revision:
            self._observed_rows[slot] = _ObservedRow(row.revision, now)
            return False
        return now - observed.unchanged_since >= LEASE_DURATION

    async def _renew(self) -> bool:
        sent_at = self._clock.monotonic()
        self._renewals += 1
        row = LeaseRow(
            node=self._node,
            incarnation=self._incarnation,
            renewals=self._renewals,
        )
        if await self._write_row(row):
            self._held_until = sent_at + LEASE_DURATION
            self._acquired.set()
            return True
        return self.held

    async def _write_row(self, row: LeaseRow | None) -> bool:
        assert self._slot is not None
        key = lease_key(self._zone, self._slot)
        value = None if row is None else msgspec.json.encode(row)
        committed = await self._table.commit(
            storage.Transaction(
                (storage.Condition(key, self._revision),),
                (storage.Write(key, value),),
            )
        )
        if isinstance(committed, result.Success) and row is None:
            return True
        read = await self._table.read(key)
        if isinstance(read, result.Failure):
            self._release_if_expired()
            return False
        found = read.unwrap()
        if found is not None and found.value == value:
            self._revision = found.revision
            return True
        self._slot = None
        return False

    def _release_if_expired(self) -> None:
        if not self.held:
            self._slot = None
