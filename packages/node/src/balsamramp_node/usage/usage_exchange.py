"""Sends the counts of nodes to collectors, and of zones to other zones."""

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
from balsamramp_node.usage import fleet_time
from balsamramp_node.usage import usage_collector
from balsamramp_node.usage import usage_counter
from balsamramp_node.usage import usage_roles
from balsamramp_wire import control_transport
from balsamramp_wire import messages
from balsamramp_wire import usage_messages

__all__ = ["UsageExchange"]

# Bounds what the end of a node loses of its counts.
SEND_INTERVAL = datetime.timedelta(seconds=1)
REQUEST_TIMEOUT = datetime.timedelta(milliseconds=800)
STOP_TIMEOUT = datetime.timedelta(milliseconds=300)

_Request = usage_messages.NodeUsageRequest | usage_messages.ZoneUsageRequest


@attrs.define
class _Peer:
    """What a peer has confirmed; ``incarnation`` is its start, if known."""

    incarnation: int = 0
    confirmed: dict[int, object] = attrs.field(factory=dict)


class UsageExchange(service_manager.Service):
    """Sends what a receiver has not confirmed yet, once a second.

    Each node sends to the collectors of its zone, and a collector to the
    first collector of each other zone.
    """

    name = "usage-exchange"
    requires = ("membership",)

    def __init__(
        self,
        own: messages.Member,
        counter: usage_counter.UsageCounter,
        collector: usage_collector.UsageCollector,
        roles: usage_roles.UsageRoles,
        fleet: fleet_time.FleetTime,
        transport: control_transport.ControlTransport,
        time: clock.Clock,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._counter = counter
        self._collector = collector
        self._roles = roles
        self._fleet = fleet
        self._transport = transport
        self._clock = time
        self._metrics = counters
        self._random = rng
        self._node_peers: dict[str, _Peer] = {}
        self._zone_peers: dict[str, _Peer] = {}
        self._task: asyncio.Task[None] | None = None
        transport.handle(
            usage_messages.NodeUsageRequest, self._serve_node_usage
        )
        transport.handle(
            usage_messages.ZoneUsageRequest, self._serve_zone_usage
        )

    async def start(self) -> None:
        self._task = background_task.start(
            self._run, self._clock, self._metrics
        )

    async def stop(self) -> None:
        """Send the last counts, which nobody else knows."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._send_all(STOP_TIMEOUT)

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            "collects": self._roles.is_collector,
            "windows": self._collector.dump(),
        }

    async def _run(self) -> None:
        while True:
            started = self._clock.monotonic()
            try:
                await self._send_all(REQUEST_TIMEOUT)
            except Exception:
                logging.exception("sending counts failed; trying again")
            elapsed = self._clock.monotonic() - started
            jitter = 0.9 + 0.2 * self._random.random()
            pause = SEND_INTERVAL * jitter - elapsed
            await self._clock.sleep(max(pause, SEND_INTERVAL / 10))

    async def _send_all(self, timeout: datetime.timedelta) -> None:
        self._counter.roll()
        records = self._counter.records()
        requests = []
        collectors = self._roles.collectors(self._own.zone)
        _keep(self._node_peers, collectors)
        for member in collectors:
            if member.node == self._own.node:
                self._collector.merge_node(
                    self._own.node, self._own.incarnation, records
                )
                continue
            requests.append(self._send_records(member, records, timeout))
        if self._roles.is_collector:
            totals = self._collector.zone_windows()
            others = [
                member
                for member in self._roles.candidates()
                if member.zone != self._own.zone
            ]
            _keep(self._zone_peers, others)
            for member in others:
                requests.append(self._send_totals(member, totals, timeout))
        await asyncio.gather(*requests)

    async def _send_records(
        self,
        member: messages.Member,
        records: list[usage_messages.WindowCounts],
        timeout: datetime.timedelta,
    ) -> None:
        peer = self._node_peers.setdefault(member.node, _Peer())
        changed = {
            record.window: record
            for record in records
            if peer.confirmed.get(record.window) != record.sequence
        }
        request = usage_messages.NodeUsageRequest(
            node=self._own.node,
            incarnation=self._own.incarnation,
            wall=self._clock.now(),
            windows=tuple(changed.values()),
        )
        for window in await self._send(member, peer, request, timeout):
            if window in changed:
                peer.confirmed[window] = changed[window].sequence
        _forget(peer, records)

    async def _send_totals(
        self,
        member: messages.Member,
        totals: list[usage_messages.ZoneWindow],
        timeout: datetime.timedelta,
    ) -> None:
        peer = self._zone_peers.setdefault(member.node, _Peer())
        changed = {
            total.window: total
            for total in totals
            if peer.confirmed.get(total.window) != total
        }
        request = usage_messages.ZoneUsageRequest(
            node=self._own.node,
            incarnation=self._own.incarnation,
            zone=self._own.zone,
            wall=self._clock.now(),
            windows=tuple(changed.values()),
        )
        for window in await self._send(member, peer, request, timeout):
            if window in changed:
                peer.confirmed[window] = changed[window]
        _forget(peer, totals)

    async def _send(
        self,
        member: messages.Member,
        peer: _Peer,
        request: _Request,
        timeout: datetime.timedelta,
    ) -> tuple[int, ...]:
        """Send counts; return the windows that are confirmed.

        A receiver that has restarted since knows only what this message
        contains, so it gets everything once more.
        """
        sent_at = self._clock.monotonic()
        received = await self._transport.send(member.control, request, timeout)
        if isinstance(received, result.Failure):
            self._metrics.count("usage_sends_failed_total")
            return ()
        reply: usage_messages.UsageReply = received.unwrap()
        middle = (sent_at + self._clock.monotonic()) / 2
        self._fleet.observe(member.node, reply.wall, middle)
        if peer.confirmed and peer.incarnation != reply.incarnation:
            peer.confirmed.clear()
            return ()
        peer.incarnation = reply.incarnation
        return reply.windows

    async def _serve_node_usage(
        self, request: usage_messages.NodeUsageRequest
    ) -> usage_messages.UsageReply:
        self._fleet.observe(
            request.node, request.wall, self._clock.monotonic()
        )
        kept = self._collector.merge_node(
            request.node, request.incarnation, request.windows
        )
        return self._reply(kept)

    async def _serve_zone_usage(
        self, request: usage_messages.ZoneUsageRequest
    ) -> usage_messages.UsageReply:
        self._fleet.observe(
            request.node, request.wall, self._clock.monotonic()
        )
        kept = self._collector.merge_zone(
            request.zone, request.node, request.incarnation, request.windows
        )
        return self._reply(kept)

    def _reply(self, kept: tuple[int, ...]) -> usage_messages.UsageReply:
        return usage_messages.UsageReply(
            incarnation=self._own.incarnation,
            wall=self._clock.now(),
            windows=kept,
        )


def _keep(
    peers: dict[str, _Peer], members: abc.Iterable[messages.Member]
) -> None:
    """Forget the peers that have no role any more."""
    names = {member.node for member in members}
    for node in list(peers):
        if node not in names:
            del peers[node]


def _forget(
    peer: _Peer,
    kept: abc.Iterable[
        usage_messages.WindowCounts | usage_messages.ZoneWindow
    ],
) -> None:
    numbers = {item.window for item in kept}
    for number in list(peer.confirmed):
        if number not in numbers:
            del peer.confirmed[number]
