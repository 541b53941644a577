"""Membership: which nodes exist, and the targets they announce."""

import asyncio
from collections import abc
import datetime
import random
import typing

from absl import logging
import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import settings
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
ROSTER_INTERVAL = datetime.timedelta(seconds=5)
GONE_RETENTION = datetime.timedelta(seconds=300)
RECENT_MAX_MEMBERS = 10
CROSS_EXCHANGES = 4
RETRY_GONE_SHARE = 1 / 8
ROUNDS_UNTIL_TRIED = 2
# Rounds after the start in which a node also meets one of those listed, so
# that nodes which start together become one fleet.
JOIN_ROUNDS = 8


class Membership(service_manager.Service):
    """Keeps the list of members alike on all nodes by pairwise exchanges.

    Each round a node exchanges recent updates and digests with one node
    of its own zone; a few nodes of the zone, chosen by chance, also with
    one of another zone. A lasting difference of digests is repaired by
    bucket. Each zone judges its own nodes.
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
        addresses: peer_discovery.PeerDiscovery,
        reports: zone_reports.ZoneReports,
        contacts: zone_reachability.ZoneReachability,
        budget: transfer_rate_limiter.TransferRateLimiter,
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
        self._roster = addresses
        self._reports = reports
        self._contacts = contacts
        self._clock = time
        self._metrics = counters
        self._interval = interval
        self._random = rng
        self._choice = peer_selector.PeerSelector(own, seeds, members, rng)
        self._detector = failure_detector.FailureDetector(
            own.node, members, transport, time, counters, rng
        )
        self._repair = anti_entropy.AntiEntropy(
            own.zone,
            members,
            self._learn,
            transport,
            budget,
            time,
            interval,
            rng,
        )
        self._targets = own.targets
        self._rounds = 0
        self._spread: dict[str, int] = {}
        self._versions: dict[str, int] = {}
        self._gone_at: dict[str, datetime.timedelta] = {}
        self._roster_at = datetime.timedelta()
        self._listed: list[settings.Address] = []
        self._view = member_view.MemberView(members, contacts, time)
        self._task: asyncio.Task[None] | None = None
        self._put(own)
        configurations.listen(lambda current: self._publish_targets())
        transport.handle(messages.ExchangeRequest, self._serve_exchange)

    @property
    def own(self) -> messages.Member:
        """Return the record of this node."""
        return self._own

    @property
    def generation(self) -> int:
        """Return a number that rises as the list changes."""
        return self._view.generation

    @property
    def versions(self) -> abc.Mapping[str, int]:
        """Return the version last heard from the nodes met directly."""
        current = self._store.current.version
        return {**self._versions, self._own.node: current}

    def set_addresses(
        self,
        stream: settings.Address,
        control_address: settings.Address,
        admin: settings.Address,
    ) -> None:
        """Publish the addresses that were bound at the start."""
        self._publish(
            attrs.evolve(
                self._own, stream=stream, control=control_address, admin=admin
            )
        )

    def set_targets(self, targets: tuple[messages.TargetRecord, ...]) -> None:
        """Publish the local targets, if they changed.

        While this node is not in service they are kept back.
        """
        self._targets = targets
        self._publish_targets()

    def members(self) -> list[messages.Member]:
        """Return the members not known to be gone, by zone and name.

        Those in a zone without contact for long are shown as suspected.
        """
        return self._view.members

    async def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._publish(attrs.evolve(self._own, state=messages.MemberState.LEFT))
        await self._exchange_in_zone()

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            "zones": self._members.dump(),
            "silent_zones": sorted(self._contacts.unreachable_zones()),
            "spreading": len(self._spread),
        }

    def _publish_targets(self) -> None:
        wanted = self._targets if self._store.in_service else ()
        if wanted != self._own.targets:
            self._publish(attrs.evolve(self._own, targets=wanted))

    def _publish(self, later: messages.Member) -> None:
        self._own = attrs.evolve(later, sequence=later.sequence + 1)
        self._put(self._own)
        self._view.invalidate_now()

    def _put(self, member: messages.Member) -> None:
        self._members.put(member)
        self._view.invalidate()
        zone_size = len(self._members.alive_in(member.zone))
        self._spread[member.node] = 2 + member_list.gossip_rounds(zone_size)

    def _learn(self, member: messages.Member) -> None:
        if member.node == self._own.node:
            self._defend(member)
            return
        known = self._members.get(member.node)
        if known is None and member.state in member_list.DEPARTED_STATES:
            return
        if known is not None and not member_list.supersedes(member, known):
            return
        if known is None or known.state is not member.state:
            logging.debug("member %s is %s", member.node, member.state.value)
            self._metrics.count("members_total", state=member.state.value)
        self._detector.record_member(member)
        self._gone_at.pop(member.node, None)
        if member.state in member_list.DEPARTED_STATES:
            self._gone_at[member.node] = self._clock.monotonic()
            self._versions.pop(member.node, None)
        self._put(member)

    def _defend(self, rumour: messages.Member) -> None:
        if rumour.incarnation > self._own.incarnation:
            logging.error("another node calls itself %s", self._own.node)
            return
        if not member_list.supersedes(rumour, self._own):
            return
        self._publish(attrs.evolve(self._own, sequence=rumour.sequence))

    def _recent(self) -> tuple[messages.Member, ...]:
        names = sorted(self._spread, key=self._spread.__getitem__)
        recent = []
        for node in names[::-1][:RECENT_MAX_MEMBERS]:
            member = self._members.get(node)
            self._spread[node] -= 1
            if self._spread[node] <= 0 or member is None:
                del self._spread[node]
            if member is not None:
                recent.append(member)
        return tuple(recent)

    async def _run(self) -> None:
        await self._clock.sleep(self._interval * self._random.random() / 4)
        while True:
            reached = await self._round()
            self._rounds += 1
            if reached or self._rounds >= ROUNDS_UNTIL_TRIED:
                self._readiness.record_peers_tried()
            self._publish_targets()
            self._expire()
            alive = len(self._members.alive_in(self._own.zone))
            self._metrics.set("members_alive", alive, zone=self._own.zone)
            jitter = 0.75 + 0.5 * self._random.random()
            await self._clock.sleep(self._interval * jitter)

    async def _round(self) -> bool:
        reached = await self._exchange_in_zone()
        zone_size = len(self._members.alive_in(self._own.zone))
        if self._random.random() < CROSS_EXCHANGES / zone_size:
            reached = await self._exchange_across() or reached
        joining = self._roster.lists_every_node and self._rounds < JOIN_ROUNDS
        if joining and not self._listed:
            await self._read_addresses()
        if reached and not joining and self._random.random() * zone_size > 1:
            return True
        if self._random.random() < RETRY_GONE_SHARE:
            await self._exchange_with_gone()
        seed = self._choice.seed(self._listed)
        if seed is not None:
            reached = await self._exchange(seed) or reached
        if not reached:
            reached = await self._exchange_by_roster()
        return reached

    async def _exchange_in_zone(self) -> bool:
        peer = self._choice.in_zone()
        return peer is not None and await self._exchange(peer.control)

    async def _exchange_across(self) -> bool:
        peer = self._choice.across_zones()
        return peer is not None and await self._exchange(peer.control)

    async def _exchange_with_gone(self) -> None:
        if not self._gone_at:
            return
        node = self._random.choice(list(self._gone_at))
        member = self._members.get(node)
        if member is not None:
            await self._exchange(member.control)

    async def _exchange_by_roster(self) -> bool:
        if self._clock.monotonic() >= self._roster_at:
            await self._read_addresses()
        if not self._listed:
            return False
        return await self._exchange(self._random.choice(self._listed))

    async def _read_addresses(self) -> None:
        self._roster_at = self._clock.monotonic() + ROSTER_INTERVAL
        found = await self._roster.read()
        self._listed = [item for item in found if item != self._own.control]

    def _state(self) -> messages.ConfigurationState:
        current = self._store.current
        return messages.ConfigurationState(
            version=current.version,
            digest=distribution.digest_bytes(current.digest),
            in_service=self._store.in_service,
            read_age=self._age.read_age,
        )

    async def _exchange(self, peer: settings.Address) -> bool:
        members = self._recent()
        known = self._members.find_by_address(peer)
        if known is not None and known.state is not (
            messages.MemberState.ALIVE
        ):
            members = (*members, known)
        if self._roster.lists_every_node:
            # A peer that has started anew has no seeds; while the table is
            # away it knows nobody but those who ask it.
            members = (*members, self._own)
        request = messages.ExchangeRequest(
            node=self._own.node,
            zone=self._own.zone,
            members=members,
            digests=self._members.digests(),
            state=self._state(),
            contact_ages=self._contacts.ages(),
            summaries=self._reports.sample_summaries(),
        )
        sent = await self._transport.send(peer, request, REQUEST_TIMEOUT)
        if isinstance(sent, result.Failure):
            await self._note_failure(known)
            return False
        reply: messages.ExchangeReply = sent.unwrap()
        self._detector.record_response(reply.node)
        self._take_in(reply, peer)
        await self._repair.sync_with(peer, reply.digests)
        return True

    def _take_in(
        self,
        said: messages.ExchangeReply | messages.ExchangeRequest,
        peer: settings.Address | None,
    ) -> None:
        for member in said.members:
            self._learn(member)
        self._versions[said.node] = said.state.version
        self._reports.merge(said.summaries)
        if said.state.read_age is not None:
            self._age.update_read_age(said.state.read_age)
        if said.zone == self._own.zone:
            self._contacts.merge(said.contact_ages)
            if said.state.in_service:
                self._readiness.record_zone_peer(said.state.version)
        else:
            if self._contacts.record_contact(said.zone):
                self._view.invalidate()
            if said.state.in_service:
                self._readiness.record_remote_zone_peer(said.state.version)
        sender = self._members.get(said.node)
        address = peer or (sender.control if sender else None)
        if address is not None:
            self._distribution.observe_peer_state(
                address, said.zone, said.state
            )

    async def _note_failure(self, member: messages.Member | None) -> None:
        self._metrics.count("exchanges_failed_total")
        if member is None or member.state is not messages.MemberState.ALIVE:
            return
        if not await self._detector.confirm_failure(member):
            return
        current = self._members.get(member.node)
        if current == member:
            suspect = messages.MemberState.SUSPECT
            self._learn(attrs.evolve(member, state=suspect))

    def _expire(self) -> None:
        zone_size = len(self._members.alive_in(self._own.zone))
        timeout = self._interval * 2 * member_list.gossip_rounds(zone_size)
        for node in self._detector.expired_suspects(timeout):
            member = self._members.get(node)
            if member is not None:
                dead = messages.MemberState.DEAD
                self._learn(attrs.evolve(member, state=dead))
        now = self._clock.monotonic()
        for node, since in list(self._gone_at.items()):
            if now - since < GONE_RETENTION:
                continue
            del self._gone_at[node]
            self._spread.pop(node, None)
            self._members.remove(node)
        if self._contacts.refresh():
            self._view.invalidate()

    async def _serve_exchange(
        self, request: messages.ExchangeRequest
    ) -> messages.ExchangeReply:
        self._take_in(request, None)
        return messages.ExchangeReply(
            node=self._own.node,
            zone=self._own.zone,
            members=self._recent(),
            digests=self._members.digests(),
            state=self._state(),
            contact_ages=self._contacts.ages(),
            summaries=self._reports.sample_summaries(),
        )
