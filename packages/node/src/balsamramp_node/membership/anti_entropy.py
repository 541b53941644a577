"""Member repair: brings two lists of members that differ together."""

from collections import abc
import datetime
import random

from returns import result

from balsamramp_core import clock
from balsamramp_core import settings
from balsamramp_node.configuration import transfer_rate_limiter
from balsamramp_node.membership import member_codec
from balsamramp_node.membership import member_list
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["AntiEntropy"]

REQUEST_TIMEOUT = datetime.timedelta(seconds=1)

Learn = abc.Callable[[messages.Member], None]


class AntiEntropy:
    """Fetches and serves the members in buckets that differ.

    Recent updates usually settle a difference by themselves, so a node
    repairs no more often than an update takes to cross its zone.
    """

    def __init__(
        self,
        zone: str,
        members: member_list.MemberList,
        learn: Learn,
        transport: control_transport.ControlTransport,
        budget: transfer_rate_limiter.TransferRateLimiter,
        time: clock.Clock,
        interval: datetime.timedelta,
        rng: random.Random,
    ) -> None:
        self._zone = zone
        self._members = members
        self._learn = learn
        self._transport = transport
        self._budget = budget
        self._clock = time
        self._interval = interval
        self._random = rng
        self._due_at = datetime.timedelta()
        transport.handle(messages.BucketsRequest, self._serve)

    async def sync_with(
        self, peer: settings.Address, digests: abc.Mapping[str, int]
    ) -> None:
        """Fetch from ``peer`` where its digests differ, if it is time."""
        own = self._members.digests()
        zones = [
            zone for zone in sorted(digests) if own.get(zone) != digests[zone]
        ]
        now = self._clock.monotonic()
        if not zones or now < self._due_at:
            return
        zone_size = len(self._members.alive_in(self._zone))
        rounds = 2 + member_list.gossip_rounds(zone_size)
        jitter = 0.75 + 0.5 * self._random.random()
        self._due_at = now + self._interval * rounds * jitter
        for zone in zones:
            if not await self._fetch(peer, zone):
                return

    async def _fetch(self, peer: settings.Address, zone: str) -> bool:
        request = messages.BucketsRequest(zone, self._members.buckets(zone))
        sent = await self._transport.send(peer, request, REQUEST_TIMEOUT)
        if isinstance(sent, result.Failure) or sent.unwrap().busy:
            return False
        for member in member_codec.unpack(sent.unwrap().packed):
            self._learn(member)
        return True

    async def _serve(
        self, request: messages.BucketsRequest
    ) -> messages.BucketsReply:
        if not self._budget.allows():
            return messages.BucketsReply(busy=True)
        found = self._members.members_that_differ(
            request.zone, request.buckets
        )
        packed = member_codec.pack(found)
        self._budget.consume(len(packed))
        return messages.BucketsReply(packed)
