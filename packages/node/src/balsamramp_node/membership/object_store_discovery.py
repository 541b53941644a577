"""Peer discovery through an object with some addresses of each zone.

A node finds peers there if no seed responds at its start. Only the node
that holds the first reader slot of a zone writes the zone's object.
"""

import asyncio
from collections import abc
import datetime
import random

from absl import logging
import msgspec
from returns import result

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import decoding
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_core import storage
from balsamramp_node.configuration import reader_lease
from balsamramp_node.membership import member_list
from balsamramp_node.membership import peer_discovery

__all__ = ["ObjectStoreDiscovery"]

PREFIX = "roster/"
ADDRESSES_MAX = 16
WRITE_INTERVAL = datetime.timedelta(seconds=20)


class ObjectStoreDiscovery(
    service_manager.Service, peer_discovery.PeerDiscovery
):
    """Writes the zone's addresses as its leader; reads those of any zone."""

    name = "roster"
    requires = ("reader-lease",)

    def __init__(
        self,
        zone: str,
        objects: storage.ObjectStore,
        members: member_list.MemberList,
        lease: reader_lease.ReaderLease,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._zone = zone
        self._objects = objects
        self._members = members
        self._lease = lease
        self._clock = time
        self._random = rng
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._task = background_task.start(self._run, self._clock)

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def read(self) -> list[settings.Address]:
        """Return addresses of this zone, or of another if it has none."""
        own = await self._read_zone(PREFIX + self._zone)
        if own:
            return own
        listed = await self._objects.list(PREFIX)
        keys: list[str] = listed.value_or([])
        others = [key for key in keys if key != PREFIX + self._zone]
        if not others:
            return []
        return await self._read_zone(self._random.choice(others))

    async def _read_zone(self, key: str) -> list[settings.Address]:
        read = await self._objects.get(key)
        if isinstance(read, result.Failure):
            return []
        data = read.unwrap()
        if data is None:
            return []
        try:
            return decoding.decode_json(data, list[settings.Address])
        except decoding.DecodingError as error:
            logging.warning(
                "ignoring object %s, which is not a list of addresses: %s",
                key,
                error,
            )
            return []

    async def _run(self) -> None:
        while True:
            jitter = 0.5 + self._random.random()
            if self._lease.is_leader:
                await self._write()
                await self._clock.sleep(WRITE_INTERVAL * jitter)
                continue
            await self._clock.sleep(reader_lease.RENEW_INTERVAL * jitter)

    async def _write(self) -> None:
        members = self._members.alive_in(self._zone)
        count = min(ADDRESSES_MAX, len(members))
        chosen: abc.Sequence[settings.Address] = [
            member.control for member in self._random.sample(members, count)
        ]
        data = msgspec.json.encode(chosen)
        await self._objects.put(PREFIX + self._zone, data)
