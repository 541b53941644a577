"""Gossips the list of nodes and the targets they announce."""

import asyncio
from collections import abc
import datetime
import random
import typing

from absl import logging
import attrs
from returns import result

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_node.configuration import distribution
from balsamramp_node.configuration import read_age
from balsamramp_node.configuration import readiness
from balsamramp_node.configuration import store
from balsamramp_node.configuration import transfer_rate_limiter
from balsamramp_node.membership import anti_entropy
from balsamramp_node.membership import failure_detector
from balsamramp_node.membership import member_list
from balsamramp_node.membership import member_view
from balsamramp_node.membership import peer_discovery
from balsamramp_node.membership import peer_selector
from balsamramp_node.membership import zone_reachability
from balsamramp_node.membership import zone_reports
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["Membership"]

REQUEST_TIMEOUT = datetime.timedelta(seconds=1)
DISCOVERY_INTERVAL = datetime.timedelta(seconds=5)
DEPARTED_RETENTION = datetime.timedelta(seconds=300)
RECENT_MAX_MEMBERS = 10
CROSS_ZONE_EXCHANGES_PER_ROUND = 4
RETRY_DEPARTED_PROBABILITY = 1 / 8
ROUNDS_UNTIL_PEERS_TRIED = 2
# Rounds after the start in which a node also exchanges with a discovered
# peer, so that nodes that start together join one fleet.
JOIN_ROUNDS = 8


class Membership(service_manager.Service):
    """Keeps the member lists of all nodes in sync by pairwise exchanges.

    In each round a node exchanges recent updates and digests with one
    node of its own zone. A few randomly chosen nodes of the zone also
    exchange with a node of another zone. If digests still differ, the
    differing buckets are synchronized. A member that fails to respond is
    probed from its own zone before it is suspected.
    """

    name = "membership"
    requires = ("configuration", "distribution", "readiness", "roster")

    def __init__(
        self,
        own: messages.Member,
        seeds: abc.Sequence[settings.Address],
        members: member_list.MemberList,
        transport: control_transport.ControlTransport,
        configurations: store.ConfigurationStore,
        changes: distribution.Distribution,
        ready: readiness.Readiness,
        age: read_age.ReadAge,
        discovery: peer_discovery.PeerDiscovery,
        reports: zone_reports.ZoneReports,
        reachability: zone_reachability.ZoneReachability,
        limiter: transfer_rate_limiter.TransferRateLimiter,
        time: clock.Clock,
        counters: metrics.Metrics,
        interval: datetime.timedelta,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._members = members
        self._transport = transport
        self._store = configurations
        self._distribution = changes
        self._readiness = ready
        self._age = age
        self._discovery = discovery
        self._reports = reports
        self._reachability = reachability
        self._clock = time
        self._metrics = counters
        self._interval = interval
        self._random = rng
        self._selector = peer_selector.PeerSelector(own, seeds, members, rng)
        self._detector = failure_detector.FailureDetector(
            own.node, members, transport, time, counters, rng
        )
        self._anti_entropy = anti_entropy.AntiEntropy(
            own.zone,
            members,
            self._merge_member,
            transport,
            limiter,
            time,
            interval,
            rng,
        )
        self._targets = own.targets
        self._rounds = 0
        self._transmissions_left: dict[str, int] = {}
        self._versions: dict[str, int] = {}
        self._departed_at: dict[str, datetime.timedelta] = {}
        self._next_discovery_at = datetime.timedelta()
        self._discovered: list[settings.Address] = []
        self._view = member_view.MemberView(members, reachability, time)
        self._task: asyncio.Task[None] | None = None
        self._update_member(own)
        configurations.listen(lambda current: self._publish_targets())
        transport.handle(messages.ExchangeRequest, self._serve_exchange)

    @property
    def own(self) -> messages.Member:
        """Return the record of this node."""
        return self._own

    @property
    def generation(self) -> int:
        """Return a number that increases when the member view changes."""
        return self._view.generation

    @property
    def versions(self) -> abc.Mapping[str, int]:
        """Return the version last reported by each directly contacted node."""
        current = self._store.current.version
        return {**self._versions, self._own.node: current}

    @property
    def discovered(self) -> abc.Sequence[settings.Address]:
        """Return the addresses that discovery found last."""
        return self._discovered

    def set_addresses(
        self,
        stream: settings.Address,
        control_address: settings.Address,
        admin: settings.Address,
    ) -> None:
        """Publish the addresses that were bound at startup."""
        self._publish(
            attrs.evolve(
                self._own, stream=stream, control=control_address, admin=admin
            )
        )

    def set_targets(self, targets: tuple[messages.TargetRecord, ...]) -> None:
        """Publish the local targets, if they changed.

        They are withheld until this node is in service.
        """
        self._targets = targets
        self._publish_targets()

    def members(self) -> list[messages.Member]:
        """Return the live members, sorted by zone and name.

        Members of an unreachable zone are shown as suspected.
        """
        return self._view.members

    async def start(self) -> None:
        self._task = background_task.start(
            self._run, self._clock, self._metrics
        )

    async def stop(self) -> None:
        await self.leave()

    async def leave(self) -> None:
        """End the exchanges and tell a peer; later calls have no effect."""
        if self._own.state is messages.MemberState.LEFT:
            return
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._publish(attrs.evolve(self._own, state=messages.MemberState.LEFT))
        await self._exchange_in_zone()

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            "zones": self._members.dump(),
            "silent_zones": sorted(self._reachability.unreachable_zones()),
            "spreading": len(self._transmissions_left),
        }

    def _publish_targets(self) -> None:
        published_targets = self._targets if self._store.in_service else ()
        if published_targets != self._own.targets:
            self._publish(attrs.evolve(self._own, targets=published_targets))

    def _publish(self, later: messages.Member) -> None:
        self._own = attrs.evolve(later, sequence=later.sequence + 1)
        self._update_member(self._own)
        self._view.invalidate_now()

    def _update_member(self, member: messages.Member) -> None:
        self._members.put(member)
        self._view.invalidate()
        zone_size = len(self._members.alive_in(member.zone))
        self._transmissions_left[member.node] = 2 + member_list.gossip_rounds(
            zone_size
        )

    def _merge_member(self, member: messages.Member) -> None:
        if member.node == self._own.node:
            self._refute(member)
            return
        current = self._members.get(member.node)
        if current is None and member.state in member_list.DEPARTED_STATES:
            return
        if current is not None and not member_list.supersedes(member, current):
            return
        if current is None or current.state is not member.state:
            logging.debug("member %s is %s", member.node, member.state.value)
            self._metrics.count("members_total", state=member.state.value)
        self._detector.record_member(member)
        self._departed_at.pop(member.node, None)
        if member.state in member_list.DEPARTED_STATES:
            self._departed_at[member.node] = self._clock.monotonic()
            self._versions.pop(member.node, None)
        self._update_member(member)

    def _refute(self, claim: messages.Member) -> None:
        if claim.incarnation > self._own.incarnation:
            logging.error(
                "another node uses the name %s with a later incarnation; "
                "ignoring its record",
                self._own.node,
            )
            return
        if not member_list.supersedes(claim, self._own):
            return
        self._publish(attrs.evolve(self._own, sequence=claim.sequence))

    def _next_updates(self) -> tuple[messages.Member, ...]:
        names = sorted(
            self._transmissions_left, key=self._transmissions_left.__getitem__
        )
        updates = []
        for node in names[::-1][:RECENT_MAX_MEMBERS]:
            member = self._members.get(node)
            self._transmissions_left[node] -= 1
            if self._transmissions_left[node] <= 0 or member is None:
                del self._transmissions_left[node]
            if member is not None:
                updates.append(member)
        return tuple(updates)

    async def _run(self) -> None:
        await self._clock.sleep(self._interval * self._random.random() / 4)
        while True:
            try:
                reached = await self._run_round()
            except Exception:
                logging.exception("an exchange failed; the next one follows")
                reached = False
            self._rounds += 1
            if reached or self._rounds >= ROUNDS_UNTIL_PEERS_TRIED:
                self._readiness.record_peers_tried()
            self._publish_targets()
            self._expire_members()
            alive = len(self._members.alive_in(self._own.zone))
            self._metrics.set("members_alive", alive, zone=self._own.zone)
            jitter = 0.75 + 0.5 * self._random.random()
            await self._clock.sleep(self._interval * jitter)

    async def _run_round(self) -> bool:
        reached = await self._exchange_in_zone()
        zone_size = len(self._members.alive_in(self._own.zone))
        if self._random.random() < CROSS_ZONE_EXCHANGES_PER_ROUND / zone_size:
            reached = await self._exchange_across_zones() or reached
        joining = (
            self._discovery.lists_every_node and self._rounds < JOIN_ROUNDS
        )
        if joining and not self._discovered:
            await self._discover_peers()
        if reached and not joining and self._random.random() * zone_size > 1:
            return True
        if self._random.random() < RETRY_DEPARTED_PROBABILITY:
            await self._exchange_with_departed()
        seed = self._selector.seed(self._discovered)
        if seed is not None:
            reached = await self._exchange(seed) or reached
        if not reached:
            reached = await self._exchange_with_discovered()
        return reached

    async def _exchange_in_zone(self) -> bool:
        peer = self._selector.in_zone()
        return peer is not None and await self._exchange(peer.control)

    async def _exchange_across_zones(self) -> bool:
        peer = self._selector.across_zones()
        return peer is not None and await self._exchange(peer.control)

    async def _exchange_with_departed(self) -> None:
        if not self._departed_at:
            return
        node = self._random.choice(list(self._departed_at))
        member = self._members.get(node)
        if member is not None:
            await self._exchange(member.control)

    async def _exchange_with_discovered(self) -> bool:
        if self._clock.monotonic() >= self._next_discovery_at:
            await self._discover_peers()
        if not self._discovered:
            return False
        return await self._exchange(self._random.choice(self._discovered))

    async def _discover_peers(self) -> None:
        self._next_discovery_at = self._clock.monotonic() + DISCOVERY_INTERVAL
        found = await self._discovery.read()
        self._discovered = [
            item for item in found if item != self._own.control
        ]

    def _configuration_state(self) -> messages.ConfigurationState:
        current = self._store.current
        return messages.ConfigurationState(
            version=current.version,
            digest=distribution.digest_bytes(current.digest),
            in_service=self._store.in_service,
            read_age=self._age.read_age,
        )

    async def _exchange(self, peer: settings.Address) -> bool:
        members = self._next_updates()
        peer_member = self._members.find_by_address(peer)
        if peer_member is not None and peer_member.state is not (
            messages.MemberState.ALIVE
        ):
            members = (*members, peer_member)
        if self._discovery.lists_every_node:
            # A restarted peer has no seeds; while the table is unavailable
            # it learns of other nodes only from the exchanges it receives.
            members = (*members, self._own)
        request = messages.ExchangeRequest(
            node=self._own.node,
            zone=self._own.zone,
            members=members,
            digests=self._members.digests(),
            state=self._configuration_state(),
            contact_ages=self._reachability.ages(),
            summaries=self._reports.sample_summaries(),
        )
        sent = await self._transport.send(peer, request, REQUEST_TIMEOUT)
        if isinstance(sent, result.Failure):
            await self._handle_failure(peer_member, sent.failure())
            return False
        reply: messages.ExchangeReply = sent.unwrap()
        self._detector.record_response(reply.node)
        self._merge_exchange(reply, peer)
        await self._anti_entropy.sync_with(peer, reply.digests)
        return True

    def _merge_exchange(
        self,
        message: messages.ExchangeReply | messages.ExchangeRequest,
        peer: settings.Address | None,
    ) -> None:
        for member in message.members:
            self._merge_member(member)
        self._versions[message.node] = message.state.version
        self._reports.merge(message.summaries)
        if message.state.read_age is not None:
            self._age.update_read_age(message.state.read_age)
        if message.zone == self._own.zone:
            self._reachability.merge(message.contact_ages)
            if message.state.in_service:
                self._readiness.record_zone_peer(message.state.version)
        else:
            if self._reachability.record_contact(message.zone):
                self._view.invalidate()
            if message.state.in_service:
                self._readiness.record_remote_zone_peer(message.state.version)
        sender = self._members.get(message.node)
        address = peer or (sender.control if sender else None)
        if address is not None:
            self._distribution.observe_peer_state(
                address, message.zone, message.state
            )

    async def _handle_failure(
        self, member: messages.Member | None, failure: verdict.Failure
    ) -> None:
        self._metrics.count("exchanges_failed_total")
        if failure.reason is verdict.Reason.OVERLOADED:
            # This node had no descriptor to connect with.
            return
        if member is None or member.state is not messages.MemberState.ALIVE:
            return
        if not await self._detector.confirm_failure(member):
            return
        current = self._members.get(member.node)
        if current == member:
            suspect = messages.MemberState.SUSPECT
            self._merge_member(attrs.evolve(member, state=suspect))

    def _expire_members(self) -> None:
        zone_size = len(self._members.alive_in(self._own.zone))
        timeout = self._interval * 2 * member_list.gossip_rounds(zone_size)
        for node in self._detector.expired_suspects(timeout):
            member = self._members.get(node)
            if member is not None:
                dead = messages.MemberState.DEAD
                self._merge_member(attrs.evolve(member, state=dead))
        now = self._clock.monotonic()
        for node, since in list(self._departed_at.items()):
            if now - since < DEPARTED_RETENTION:
                continue
            del self._departed_at[node]
            self._transmissions_left.pop(node, None)
            self._members.remove(node)
        if self._reachability.refresh():
            self._view.invalidate()

    async def _serve_exchange(
        self, request: messages.ExchangeRequest
    ) -> messages.ExchangeReply:
        self._merge_exchange(request, None)
        return messages.ExchangeReply(
            node=self._own.node,
            zone=self._own.zone,
            members=self._next_updates(),
            digests=self._members.digests(),
            state=self._configuration_state(),
            contact_ages=self._reachability.ages(),
            summaries=self._reports.sample_summaries(),
        )
