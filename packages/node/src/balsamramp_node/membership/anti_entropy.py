"""Synchronizes member lists that differ between two nodes."""

from collections import abc
import datetime
import random

from absl import logging
from returns import result

from balsamramp_core import clock
from balsamramp_core import decoding
from balsamramp_core import settings
from balsamramp_node.configuration import transfer_rate_limiter
from balsamramp_node.membership import member_codec
from balsamramp_node.membership import member_list
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["AntiEntropy"]

REQUEST_TIMEOUT = datetime.timedelta(seconds=1)

MemberHandler = abc.Callable[[messages.Member], None]


class AntiEntropy:
    """Fetches and serves the members in buckets whose digests differ.

    Gossip usually removes a difference by itself, so a node synchronizes
    no more often than an update needs to reach all nodes of its zone.
    """

    def __init__(
        self,
        zone: str,
        members: member_list.MemberList,
        on_member: MemberHandler,
        transport: control_transport.ControlTransport,
        limiter: transfer_rate_limiter.TransferRateLimiter,
        time: clock.Clock,
        interval: datetime.timedelta,
        rng: random.Random,
    ) -> None:
        self._zone = zone
        self._members = members
        self._on_member = on_member
        self._transport = transport
        self._transfer_limiter = limiter
        self._clock = time
        self._interval = interval
        self._random = rng
        self._next_sync_at = datetime.timedelta()
        transport.handle(messages.BucketsRequest, self._serve_buckets)

    async def sync_with(
        self, peer: settings.Address, digests: abc.Mapping[str, int]
    ) -> None:
        """Fetch members from ``peer`` for each zone whose digest differs.

        Does nothing until the minimum time since the last sync is over.
        """
        own = self._members.digests()
        zones = [
            zone for zone in sorted(digests) if own.get(zone) != digests[zone]
        ]
        now = self._clock.monotonic()
        if not zones or now < self._next_sync_at:
            return
        zone_size = len(self._members.alive_in(self._zone))
        rounds = 2 + member_list.gossip_rounds(zone_size)
        jitter = 0.75 + 0.5 * self._random.random()
        self._next_sync_at = now + self._interval * rounds * jitter
        for zone in zones:
            if not await self._fetch_members(peer, zone):
                return

    async def _fetch_members(self, peer: settings.Address, zone: str) -> bool:
        request = messages.BucketsRequest(zone, self._members.buckets(zone))
        sent = await self._transport.send(peer, request, REQUEST_TIMEOUT)
        if isinstance(sent, result.Failure) or sent.unwrap().busy:
            return False
        try:
            members = member_codec.unpack(sent.unwrap().packed)
        except decoding.DecodingError as error:
            logging.warning(
                "ignoring malformed members from %s: %s", peer, error
            )
            return False
        for member in members:
            self._on_member(member)
        return True

    async def _serve_buckets(
        self, request: messages.BucketsRequest
    ) -> messages.BucketsReply:
        if not self._transfer_limiter.allows():
            return messages.BucketsReply(busy=True)
        differing = self._members.differing_members(
            request.zone, request.buckets
        )
        packed = member_codec.pack(differing)
        self._transfer_limiter.consume(len(packed))
        return messages.BucketsReply(packed)
