"""Distribution: hands changes of configuration from node to node."""

import asyncio
import bisect
from collections import abc
import datetime
import random
import typing

from absl import logging
from returns import result

from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import configuration_codec
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_node.configuration import configuration_reader
from balsamramp_node.configuration import fanout_tree
from balsamramp_node.configuration import store
from balsamramp_node.configuration import transfer_rate_limiter
from balsamramp_node.membership import member_list
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["Distribution"]

REQUEST_TIMEOUT = datetime.timedelta(seconds=2)
PUSH_TIMEOUT = datetime.timedelta(milliseconds=500)
PUSH_INTERVAL = datetime.timedelta(milliseconds=200)
PUSH_MAX_CHANGES = 64
FETCH_MAX_CHANGES = 2048
FORWARDED_MAX_VERSIONS = 256
ENTRIES_PER_ZONE = 2
TREE_VERSIONS = 32


class Distribution(service_manager.Service):
    """Pushes changes down a tree of the zone and repairs what is missed.

    A node that read a change from the platform, accepted it, or fetched
    it from another zone starts a push at the root of its zone's tree;
    each node hands it on once. Whoever missed it finds a later version
    or another digest in an exchange and fetches the difference, or a
    snapshot where the peer went through other states.

    With ``fetch_delay`` every node reads from the source itself. Nothing is
    pushed then, and a node fetches from a peer only what it has known to
    be behind for that long, or to start with.
    """

    name = "distribution"
    requires = ("configuration",)

    def __init__(
        self,
        own: messages.Member,
        members: member_list.MemberList,
        transport: control_transport.ControlTransport,
        configurations: store.ConfigurationStore,
        reader: configuration_reader.ConfigurationReader,
        budget: transfer_rate_limiter.TransferRateLimiter,
        time: clock.Clock,
        counters: metrics.Metrics,
        rng: random.Random,
        fetch_delay: datetime.timedelta | None = None,
    ) -> None:
        self._fetch_delay = fetch_delay
        self._behind: tuple[int, datetime.timedelta] | None = None
        self._node = own.node
        self._zone = own.zone
        self._members = members
        self._transport = transport
        self._store = configurations
        self._source = reader
        self._budget = budget
        self._clock = time
        self._metrics = counters
        self._random = rng
        self._from_peer = False
        self._to_zones = False
        self._known = configuration.EMPTY
        self._unsent_after: configuration.Configuration | None = None
        self._pushing: asyncio.Task[None] | None = None
        self._fetching: asyncio.Task[None] | None = None
        self._checking: asyncio.Task[None] | None = None
        self._sending: set[asyncio.Task[None]] = set()
        self._forwarded: dict[int, None] = {}
        self._snapshot = (0, b"")
        configurations.listen(self._note_change)
        transport.handle(messages.ChangesRequest, self._serve_changes)
        transport.handle(messages.PushRequest, self._serve_push)

    async def stop(self) -> None:
        tasks = [self._pushing, self._fetching, self._checking]
        running = [task for task in tasks if task is not None]
        running += self._sending
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def push_to_zones(self) -> None:
        """Push what is in force to the other zones as well."""
        self._to_zones = True
        self._push_soon()

    def observe_peer_state(
        self,
        peer: settings.Address,
        zone: str,
        state: messages.ConfigurationState,
    ) -> None:
        """Compare with what ``peer`` has in force; fetch if it is later."""
        own = self._store.current
        if state.version > own.version:
            self._hear_later(peer, zone, state)
            return
        if state.version < own.version:
            return
        if state.digest == digest_bytes(own.digest):
            return
        self._metrics.count("diverged_peers_total")
        if self._checking is None or self._checking.done():
            self._checking = asyncio.create_task(self._check())

    def _hear_later(
        self,
        peer: settings.Address,
        zone: str,
        state: messages.ConfigurationState,
    ) -> None:
        own = self._store.current
        outside = self._fetch_delay is not None
        if outside and state.digest == digest_bytes(own.digest):
            # The peer read the same from the host's store after a write
            # there that does not concern the configuration.
            self._store.adopt_version(state.version)
            return
        if self._is_behind(own.version):
            self._fetch_soon(peer, zone)

    def _is_behind(self, version: int) -> bool:
        """Tell whether peers have held a later version for long enough."""
        if self._fetch_delay is None or version == 0:
            return True
        now = self._clock.monotonic()
        if self._behind is None or self._behind[0] != version:
            self._behind = (version, now)
        return now - self._behind[1] >= self._fetch_delay

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {"pushes_in_flight": len(self._sending)}

    async def _check(self) -> None:
        await self._source.resolve_divergence()

    def _note_change(self, current: configuration.Configuration) -> None:
        before, self._known = self._known, current
        if not self._from_peer and self._fetch_delay is None:
            self._push_after(before)

    def _push_after(self, before: configuration.Configuration) -> None:
        """Push what came after ``before``, unless a push will do so."""
        if self._unsent_after is None:
            self._unsent_after = before
        self._push_soon()

    def _push_soon(self) -> None:
        if self._pushing is None or self._pushing.done():
            self._pushing = asyncio.create_task(self._push())

    async def _push(self) -> None:
        while self._unsent_after is not None:
            request = self._push_request(self._unsent_after)
            self._unsent_after = None
            to_zones, self._to_zones = self._to_zones, False
            if to_zones:
                self._push_across(request)
            self._start(self._send_down(request, 0))
            await self._clock.sleep(PUSH_INTERVAL)

    def _push_request(
        self, earlier: configuration.Configuration
    ) -> messages.PushRequest:
        changes = self._store.changes_after(earlier.version, earlier.digest)
        encoded: list[bytes] = []
        if changes is not None and len(changes) <= PUSH_MAX_CHANGES:
            for change in changes:
                encoded.append(configuration_codec.change_to_bytes(change))
        return messages.PushRequest(
            sender=self._own_address(),
            zone=self._zone,
            version=self._store.current.version,
            changes=tuple(encoded),
        )

    def _push_across(self, request: messages.PushRequest) -> None:
        for zone in self._members.zones:
            if zone == self._zone:
                continue
            self._start(self._push_into(zone, request))

    async def _push_into(
        self, zone: str, request: messages.PushRequest
    ) -> None:
        members = self._members.alive_in(zone)
        count = min(ENTRIES_PER_ZONE, len(members))
        for member in self._random.sample(members, count):
            sent = await self._transport.send(
                member.control, request, PUSH_TIMEOUT
            )
            if isinstance(sent, result.Success):
                return

    async def _send_down(
        self, request: messages.PushRequest, position: int
    ) -> None:
        members = self._members.alive_in(self._zone)
        if position >= len(members):
            return
        shape = _shape(len(members), request.version)
        member = members[shape.index(position)]
        if member.node == self._node:
            self._forward(request)
            return
        self._metrics.count("pushes_sent_total")
        sent = await self._transport.send(
            member.control, request, PUSH_TIMEOUT
        )
        if isinstance(sent, result.Success):
            return
        for child in shape.children(position):
            self._start(self._send_down(request, child))

    def _forward(self, request: messages.PushRequest) -> None:
        if request.version in self._forwarded:
            return
        self._forwarded[request.version] = None
        if len(self._forwarded) > FORWARDED_MAX_VERSIONS:
            del self._forwarded[next(iter(self._forwarded))]
        members = self._members.alive_in(self._zone)
        names = [member.node for member in members]
        index = bisect.bisect_left(names, self._node)
        shape = _shape(len(names), request.version)
        for child in shape.children(shape.position(index)):
            self._start(self._send_down(request, child))

    def _start(
        self, sending: abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(sending)
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _serve_push(
        self, request: messages.PushRequest
    ) -> messages.PushReply:
        before = self._store.current
        self._offer(request.changes)
        if self._store.current.version < request.version:
            self._fetch_soon(request.sender, request.zone)
        if request.zone == self._zone:
            self._forward(request)
        elif before.version < self._store.current.version:
            self._push_after(before)
        return messages.PushReply(self._store.current.version)

    def _fetch_soon(self, peer: settings.Address, zone: str) -> None:
        if self._fetching is not None and not self._fetching.done():
            return
        self._fetching = asyncio.create_task(self._fetch(peer, zone))

    async def _fetch(self, peer: settings.Address, zone: str) -> None:
        own = self._store.current
        request = messages.ChangesRequest(
            own.version, digest_bytes(own.digest)
        )
        sent = await self._transport.send(peer, request, REQUEST_TIMEOUT)
        if isinstance(sent, result.Failure):
            return
        reply: messages.ChangesReply = sent.unwrap()
        self._metrics.count("changes_fetched_total", len(reply.changes))
        if reply.snapshot:
            self._restore(reply.snapshot)
        self._offer(reply.changes)
        if zone != self._zone and self._store.current.version > own.version:
            self._push_after(own)

    def _restore(self, data: bytes) -> None:
        decoded = configuration_codec.snapshot_from_bytes(data)
        if isinstance(decoded, result.Failure):
            logging.error("snapshot refused: %s", decoded.failure())
            return
        self._from_peer = True
        try:
            self._store.restore(decoded.unwrap())
        finally:
            self._from_peer = False

    def _offer(self, changes: tuple[bytes, ...]) -> None:
        self._from_peer = True
        try:
            for data in changes:
                change = configuration_codec.change_from_bytes(data)
                if isinstance(change, result.Failure):
                    logging.error("change refused: %s", change.failure())
                    return
                self._store.apply_change(change.unwrap())
        finally:
            self._from_peer = False

    async def _serve_changes(
        self, request: messages.ChangesRequest
    ) -> messages.ChangesReply:
        digest = int.from_bytes(request.digest)
        changes = self._store.changes_after(request.version, digest)
        if changes is not None and len(changes) <= FETCH_MAX_CHANGES:
            encoded = [
                configuration_codec.change_to_bytes(item) for item in changes
            ]
            return messages.ChangesReply(changes=tuple(encoded))
        if not self._budget.allows():
            return messages.ChangesReply(busy=True)
        snapshot = self._encoded_snapshot()
        self._budget.consume(len(snapshot))
        return messages.ChangesReply(snapshot=snapshot)

    def _encoded_snapshot(self) -> bytes:
        version = self._store.current.version
        if self._snapshot[0] != version:
            data = configuration_codec.snapshot_to_bytes(
                self._store.snapshot()
            )
            self._snapshot = (version, data)
        return self._snapshot[1]

    def _own_address(self) -> settings.Address:
        own = self._members.get(self._node)
        assert own is not None
        return own.control


def _shape(size: int, version: int) -> fanout_tree.FanoutTree:
    """Return the tree for a push of ``version``.

    It stays for a number of versions, so that connections are reused.
    """
    return fanout_tree.FanoutTree.seeded(size, version // TREE_VERSIONS)


def digest_bytes(digest: int) -> bytes:
    """Return a configuration's digest as it travels between nodes."""
    return digest.to_bytes(configuration.DIGEST_BYTES)
