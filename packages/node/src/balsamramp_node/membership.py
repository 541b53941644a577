"""Membership: which nodes exist, and the targets they announce."""

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

from balsamramp_core import clock
from balsamramp_core import kernel
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_node import distribution
from balsamramp_node import store
from balsamramp_wire import control
from balsamramp_wire import messages

__all__ = ["Membership", "supersedes"]

REQUEST_TIMEOUT = datetime.timedelta(seconds=1)
RECENT_MAX_MEMBERS = 64
SPREAD_ROUNDS = 6
FAILURES_UNTIL_SUSPECT = 2
SUSPECT_TIMEOUT = datetime.timedelta(seconds=2)

RANKS = {state: rank for rank, state in enumerate(messages.MemberState)}
GONE = (messages.MemberState.DEAD, messages.MemberState.LEFT)


def supersedes(later: messages.Member, earlier: messages.Member) -> bool:
    """Tell whether ``later`` is newer knowledge of the same node."""
    left = (later.incarnation, later.sequence, RANKS[later.state])
    right = (earlier.incarnation, earlier.sequence, RANKS[earlier.state])
    return left > right


class Membership(kernel.Service):
    """List of members, kept alike on all nodes by pairwise exchanges."""

    name = "membership"
    requires = ("configuration", "distribution")

    def __init__(
        self,
        own: messages.Member,
        seeds: abc.Sequence[settings.Address],
        transport: control.PeerTransport,
        configurations: store.ConfigurationStore,
        changes: distribution.Distribution,
        time: clock.Clock,
        counters: metrics.Metrics,
        interval: datetime.timedelta,
        choice: random.Random,
    ) -> None:
        self._own = own
        self._seeds = seeds
        self._transport = transport
        self._store = configurations
        self._distribution = changes
        self._clock = time
        self._metrics = counters
        self._interval = interval
        self._random = choice
        self._members = {own.node: own}
        self._digest = _hash(own)
        self._generation = 0
        self._spread: dict[str, int] = {own.node: SPREAD_ROUNDS}
        self._failures: dict[str, int] = {}
        self._suspected_at: dict[str, datetime.timedelta] = {}
        self._versions: dict[str, int] = {}
        self._tasks: list[asyncio.Task[None]] = []
        transport.handle(messages.ExchangeRequest, self._serve_exchange)
        transport.handle(messages.MembersRequest, self._serve_members)

    @property
    def own(self) -> messages.Member:
        """Return the record of this node."""
        return self._own

    @property
    def generation(self) -> int:
        """Return a number that rises with each change of the list."""
        return self._generation

    @property
    def versions(self) -> abc.Mapping[str, int]:
        """Return the configuration version last heard from each node."""
        current = self._store.current.version
        return {**self._versions, self._own.node: current}

    def set_addresses(
        self,
        stream: settings.Address,
        control_address: settings.Address,
        admin: settings.Address,
    ) -> None:
        """Publish the addresses that were bound at the start."""
        later = attrs.evolve(
            self._own, stream=stream, control=control_address, admin=admin
        )
        self._publish(later)

    def set_targets(self, targets: tuple[messages.TargetRecord, ...]) -> None:
        """Publish the local targets, if they changed."""
        if targets != self._own.targets:
            self._publish(attrs.evolve(self._own, targets=targets))

    def members(self) -> list[messages.Member]:
        """Return the members not known to be gone, sorted by name."""
        found = []
        for node in sorted(self._members):
            member = self._members[node]
            if member.state in GONE:
                continue
            found.append(member)
        return found

    async def start(self) -> None:
        self._tasks.append(asyncio.create_task(self._run()))

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._publish(attrs.evolve(self._own, state=messages.MemberState.LEFT))
        await self._exchange_with_some()

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            "members": msgspec.to_builtins(list(self._members.values())),
            "digest": self._digest,
            "versions": self.versions,
        }

    def _publish(self, later: messages.Member) -> None:
        self._own = attrs.evolve(later, sequence=later.sequence + 1)
        self._put(self._own)

    def _put(self, member: messages.Member) -> None:
        previous = self._members.get(member.node)
        if previous is not None:
            self._digest ^= _hash(previous)
        self._digest ^= _hash(member)
        self._members[member.node] = member
        self._generation += 1
        self._spread[member.node] = SPREAD_ROUNDS

    def _learn(self, member: messages.Member) -> None:
        if member.node == self._own.node:
            self._defend(member)
            return
        known = self._members.get(member.node)
        if known is not None and not supersedes(member, known):
            return
        if known is None or known.state is not member.state:
            logging.info("member %s is %s", member.node, member.state.value)
        if member.state is messages.MemberState.SUSPECT:
            now = self._clock.monotonic()
            self._suspected_at.setdefault(member.node, now)
        else:
            self._suspected_at.pop(member.node, None)
        self._put(member)

    def _defend(self, rumour: messages.Member) -> None:
        if rumour.incarnation > self._own.incarnation:
            logging.error("another node calls itself %s", self._own.node)
            return
        if not supersedes(rumour, self._own):
            return
        self._publish(attrs.evolve(self._own, sequence=rumour.sequence))

    def _recent(self) -> tuple[messages.Member, ...]:
        names = sorted(self._spread, key=self._spread.__getitem__)
        recent = []
        for node in names[::-1][:RECENT_MAX_MEMBERS]:
            recent.append(self._members[node])
            self._spread[node] -= 1
            if self._spread[node] <= 0:
                del self._spread[node]
        return tuple(recent)

    async def _run(self) -> None:
        while True:
            await self._exchange_with_some()
            self._expire_suspects()
            alive = len(self.members())
            self._metrics.set("members_alive", alive)
            jitter = 0.75 + 0.5 * self._random.random()
            await self._clock.sleep(self._interval * jitter)

    async def _exchange_with_some(self) -> None:
        peers = [
            member
            for member in self.members()
            if member.node != self._own.node
        ]
        if peers:
            await self._exchange(self._random.choice(peers).control)
        if not peers or self._random.random() < 1 / (1 + len(peers)):
            await self._exchange_with_seed()

    async def _exchange_with_seed(self) -> None:
        seeds = [
            address for address in self._seeds if address != self._own.control
        ]
        if seeds:
            await self._exchange(self._random.choice(seeds))

    async def _exchange(self, peer: settings.Address) -> None:
        request = messages.ExchangeRequest(
            node=self._own.node,
            members=self._recent(),
            members_digest=self._digest,
            version=self._store.current.version,
        )
        sent = await self._transport.send(peer, request, REQUEST_TIMEOUT)
        if isinstance(sent, result.Failure):
            self._note_failure(peer)
            return
        reply: messages.ExchangeReply = sent.unwrap()
        self._failures.pop(reply.node, None)
        self._versions[reply.node] = reply.version
        for member in reply.members:
            self._learn(member)
        self._distribution.hear(peer, reply.version)
        if reply.members_digest != self._digest:
            await self._pull(peer)

    async def _pull(self, peer: settings.Address) -> None:
        request = messages.MembersRequest(self._own.node)
        sent = await self._transport.send(peer, request, REQUEST_TIMEOUT)
        if isinstance(sent, result.Failure):
            return
        for member in sent.unwrap().members:
            self._learn(member)

    def _note_failure(self, peer: settings.Address) -> None:
        self._metrics.count("exchanges_failed_total")
        for member in self.members():
            if member.control != peer:
                continue
            count = self._failures.get(member.node, 0) + 1
            self._failures[member.node] = count
            if count < FAILURES_UNTIL_SUSPECT:
                continue
            suspect = messages.MemberState.SUSPECT
            self._learn(attrs.evolve(member, state=suspect))

    def _expire_suspects(self) -> None:
        now = self._clock.monotonic()
        for node, since in list(self._suspected_at.items()):
            if now - since < SUSPECT_TIMEOUT:
                continue
            dead = messages.MemberState.DEAD
            self._learn(attrs.evolve(self._members[node], state=dead))

    async def _serve_exchange(
        self, request: messages.ExchangeRequest
    ) -> messages.ExchangeReply:
        self._versions[request.node] = request.version
        for member in request.members:
            self._learn(member)
        sender = self._members.get(request.node)
        if sender is not None:
            self._distribution.hear(sender.control, request.version)
        return messages.ExchangeReply(
            node=self._own.node,
            members=self._recent(),
            members_digest=self._digest,
            version=self._store.current.version,
        )

    async def _serve_members(
        self, request: messages.MembersRequest
    ) -> messages.MembersReply:
        return messages.MembersReply(tuple(self._members.values()))


def _hash(member: messages.Member) -> int:
    key = (
        f"{member.node} {member.incarnation} {member.sequence} "
        f"{member.state.value}"
    )
    return xxhash.xxh64_intdigest(key.encode())
