"""Propagates configuration changes from node to node."""

import asyncio
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
from balsamramp_node.configuration import store
from balsamramp_node.configuration import transfer_rate_limiter
from balsamramp_node.configuration import tree_sender
from balsamramp_node.membership import member_list
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["Distribution"]

REQUEST_TIMEOUT = datetime.timedelta(seconds=2)
PUSH_INTERVAL = datetime.timedelta(milliseconds=200)
PUSH_MAX_CHANGES = 64
FETCH_MAX_CHANGES = 2048
FORWARDED_MAX_VERSIONS = 256
PUSH_ATTEMPTS_PER_ZONE = 2
# Versions that share a tree, so that connections are reused.
VERSIONS_PER_TREE = 32


class Distribution(service_manager.Service):
    """Pushes changes down a tree of the zone; fetches missed changes.

    A node that read a change from the platform, committed it or fetched
    it from another zone starts a push at the root of its zone's tree;
    each node forwards it once. A node that missed the push finds a later
    version or another digest in a gossip exchange and fetches the missing
    changes, or a snapshot if the peer's history differs from its own.

    With ``fetch_delay`` an external store orders the versions, and changes
    come from there or from the zone's feed. Nothing is pushed then, and a
    node fetches from a peer only after it has been behind for that long, or
    at once if it has no configuration.
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
        limiter: transfer_rate_limiter.TransferRateLimiter,
        time: clock.Clock,
        counters: metrics.Metrics,
        rng: random.Random,
        fetch_delay: datetime.timedelta | None = None,
    ) -> None:
        self._fetch_delay = fetch_delay
        self._behind_since: tuple[int, datetime.timedelta] | None = None
        self._node = own.node
        self._zone = own.zone
        self._members = members
        self._transport = transport
        self._store = configurations
        self._reader = reader
        self._transfer_limiter = limiter
        self._clock = time
        self._metrics = counters
        self._random = rng
        self._from_peer = False
        self._to_zones = False
        self._previous = configuration.EMPTY
        self._unpushed_base: configuration.Configuration | None = None
        self._push_task: asyncio.Task[None] | None = None
        self._fetch_task: asyncio.Task[None] | None = None
        self._divergence_task: asyncio.Task[None] | None = None
        self._tree = tree_sender.TreeSender(
            own.node, own.zone, members, transport, counters
        )
        self._forwarded: dict[int, None] = {}
        self._snapshot_cache = (0, b"")
        configurations.listen(self._on_configuration)
        transport.handle(messages.ChangesRequest, self._serve_changes)
        transport.handle(messages.PushRequest, self._serve_push)

    async def stop(self) -> None:
        tasks = [self._push_task, self._fetch_task, self._divergence_task]
        running = [task for task in tasks if task is not None]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        await self._tree.stop()

    def push_to_zones(self) -> None:
        """Push the configuration in force to the other zones as well."""
        self._to_zones = True
        self._push_soon()

    def observe_peer_state(
        self,
        peer: settings.Address,
        zone: str,
        state: messages.ConfigurationState,
    ) -> None:
        """Compare with the state of ``peer``; fetch if it is later.

        The same version with another digest is a divergence, which the
        configuration reader resolves.
        """
        own = self._store.current
        if state.version > own.version:
            self._handle_later_state(peer, zone, state)
            return
        if state.version < own.version:
            return
        if state.digest == digest_bytes(own.digest):
            return
        self._metrics.count("diverged_peers_total")
        if self._divergence_task is None or self._divergence_task.done():
            self._divergence_task = asyncio.create_task(
                self._resolve_divergence()
            )

    def _handle_later_state(
        self,
        peer: settings.Address,
        zone: str,
        state: messages.ConfigurationState,
    ) -> None:
        own = self._store.current
        external_versions = self._fetch_delay is not None
        if external_versions and state.digest == digest_bytes(own.digest):
            # The peer read the same content at a later revision: a write to
            # the external store that does not concern the configuration.
            self._store.adopt_version(state.version)
            return
        self._reader.record_later_version(state.version)
        if self._has_been_behind(own.version):
            self._start_fetch(peer, zone)

    def _has_been_behind(self, version: int) -> bool:
        """Return whether peers have been ahead for ``fetch_delay``."""
        if self._fetch_delay is None or version == 0:
            return True
        now = self._clock.monotonic()
        if self._behind_since is None or self._behind_since[0] != version:
            self._behind_since = (version, now)
        return now - self._behind_since[1] >= self._fetch_delay

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {"pushes_in_flight": self._tree.pending}

    async def _resolve_divergence(self) -> None:
        await self._reader.resolve_divergence()

    def _on_configuration(self, current: configuration.Configuration) -> None:
        previous, self._previous = self._previous, current
        if not self._from_peer and self._fetch_delay is None:
            self._schedule_push_after(previous)

    def _schedule_push_after(
        self, previous: configuration.Configuration
    ) -> None:
        """Schedule a push of the changes after ``previous``.

        A push that is already scheduled from an older base covers them.
        """
        if self._unpushed_base is None:
            self._unpushed_base = previous
        self._push_soon()

    def _push_soon(self) -> None:
        if self._push_task is None or self._push_task.done():
            self._push_task = asyncio.create_task(self._push())

    async def _push(self) -> None:
        while self._unpushed_base is not None:
            request = self._push_request(self._unpushed_base)
            self._unpushed_base = None
            to_zones, self._to_zones = self._to_zones, False
            if to_zones:
                self._push_to_other_zones(request)
            self._tree.send(request, _tree_seed(request.version))
            await self._clock.sleep(PUSH_INTERVAL)

    def _push_request(
        self, base: configuration.Configuration
    ) -> messages.PushRequest:
        changes = self._store.changes_after(base.version, base.digest)
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

    def _push_to_other_zones(self, request: messages.PushRequest) -> None:
        for zone in self._members.zones:
            if zone == self._zone:
                continue
            self._tree.start_task(self._push_to_zone(zone, request))

    async def _push_to_zone(
        self, zone: str, request: messages.PushRequest
    ) -> None:
        members = self._members.alive_in(zone)
        count = min(PUSH_ATTEMPTS_PER_ZONE, len(members))
        for member in self._random.sample(members, count):
            sent = await self._transport.send(
                member.control, request, tree_sender.SEND_TIMEOUT
            )
            if isinstance(sent, result.Success):
                return

    def _forward(self, request: messages.PushRequest) -> None:
        if request.version in self._forwarded:
            return
        self._forwarded[request.version] = None
        if len(self._forwarded) > FORWARDED_MAX_VERSIONS:
            del self._forwarded[next(iter(self._forwarded))]
        self._tree.forward(request, _tree_seed(request.version))

    async def _serve_push(
        self, request: messages.PushRequest
    ) -> messages.PushReply:
        previous = self._store.current
        self._apply_changes(request.changes)
        if self._store.current.version < request.version:
            self._start_fetch(request.sender, request.zone)
        if request.zone == self._zone:
            self._forward(request)
        elif previous.version < self._store.current.version:
            self._schedule_push_after(previous)
        return messages.PushReply(self._store.current.version)

    def _start_fetch(self, peer: settings.Address, zone: str) -> None:
        if self._fetch_task is not None and not self._fetch_task.done():
            return
        self._fetch_task = asyncio.create_task(self._fetch(peer, zone))

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
        self._apply_changes(reply.changes)
        if zone != self._zone and self._store.current.version > own.version:
            self._schedule_push_after(own)

    def _restore(self, data: bytes) -> None:
        decoded = configuration_codec.snapshot_from_bytes(data)
        if isinstance(decoded, result.Failure):
            logging.error(
                "ignoring a peer's snapshot that cannot be decoded: %s",
                decoded.failure(),
            )
            return
        self._from_peer = True
        try:
            self._store.restore(decoded.unwrap())
        finally:
            self._from_peer = False

    def _apply_changes(self, changes: tuple[bytes, ...]) -> None:
        self._from_peer = True
        try:
            for data in changes:
                change = configuration_codec.change_from_bytes(data)
                if isinstance(change, result.Failure):
                    logging.error(
                        "ignoring a peer's changes from one that cannot be "
                        "decoded: %s",
                        change.failure(),
                    )
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
        if not self._transfer_limiter.allows():
            return messages.ChangesReply(busy=True)
        snapshot = self._encoded_snapshot()
        self._transfer_limiter.consume(len(snapshot))
        return messages.ChangesReply(snapshot=snapshot)

    def _encoded_snapshot(self) -> bytes:
        version = self._store.current.version
        if self._snapshot_cache[0] != version:
            data = configuration_codec.snapshot_to_bytes(
                self._store.snapshot()
            )
            self._snapshot_cache = (version, data)
        return self._snapshot_cache[1]

    def _own_address(self) -> settings.Address:
        own = self._members.get(self._node)
        assert own is not None
        return own.control


def _tree_seed(version: int) -> int:
    """Return the seed of the tree for a push of ``version``."""
    return version // VERSIONS_PER_TREE


def digest_bytes(digest: int) -> bytes:
    """Return a configuration's digest as encoded in messages."""
    return digest.to_bytes(configuration.DIGEST_BYTES)
