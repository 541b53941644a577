"""Suspects an unresponsive node, then declares it dead."""

import datetime
import random

from returns import result

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_node.membership import member_list
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["FailureDetector"]

PING_TIMEOUT = datetime.timedelta(milliseconds=500)
PROBE_TIMEOUT = datetime.timedelta(milliseconds=1200)
FAILURES_UNTIL_SUSPECT = 2
SUSPECT_TIMEOUT = datetime.timedelta(seconds=2)


class FailureDetector:
    """Detects failed nodes by failed requests and indirect probes.

    A node that does not respond is probed by another node of its own
    zone. If that node can't reach it either, it is suspected. A suspected
    node refutes the suspicion by a higher sequence number. If it does
    not within the timeout, which leaves the suspicion time to reach all
    nodes of the zone, it is dead. Without another node in its zone,
    FAILURES_UNTIL_SUSPECT consecutive failures count instead. If the
    probing node does not respond, the zone may be partitioned, and the
    member's state is left unchanged.
    """

    def __init__(
        self,
        node: str,
        members: member_list.MemberList,
        transport: control_transport.ControlTransport,
        time: clock.Clock,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._members = members
        self._transport = transport
        self._clock = time
        self._metrics = counters
        self._random = rng
        self._failures: dict[str, int] = {}
        self._suspected_at: dict[str, datetime.timedelta] = {}
        transport.handle(messages.PingRequest, self._serve_ping)
        transport.handle(messages.ProbeRequest, self._serve_probe)

    def record_response(self, node: str) -> None:
        """Record that ``node`` responded."""
        self._failures.pop(node, None)

    def record_member(self, member: messages.Member) -> None:
        """Record an update that was merged into the member list."""
        if member.state is messages.MemberState.SUSPECT:
            now = self._clock.monotonic()
            self._suspected_at.setdefault(member.node, now)
            return
        self._suspected_at.pop(member.node, None)
        if member.state in member_list.DEPARTED_STATES:
            self._failures.pop(member.node, None)

    async def confirm_failure(self, member: messages.Member) -> bool:
        """Return whether a member that did not respond is to be suspected."""
        count = self._failures.get(member.node, 0) + 1
        self._failures[member.node] = count
        probers = [
            other
            for other in self._members.alive_in(member.zone)
            if other.node not in (member.node, self._node)
            and other.state is messages.MemberState.ALIVE
        ]
        if not probers:
            return count >= FAILURES_UNTIL_SUSPECT
        self._metrics.count("probes_sent_total")
        request = messages.ProbeRequest(member.control)
        sent = await self._transport.send(
            self._random.choice(probers).control, request, PROBE_TIMEOUT
        )
        if isinstance(sent, result.Failure):
            return False
        return not sent.unwrap().reached

    def expired_suspects(self, timeout: datetime.timedelta) -> list[str]:
        """Return the suspected nodes that did not refute in time."""
        now = self._clock.monotonic()
        refutation_timeout = max(timeout, SUSPECT_TIMEOUT)
        expired = []
        for node, since in self._suspected_at.items():
            if now - since >= refutation_timeout:
                expired.append(node)
        return expired

    async def _serve_ping(
        self, request: messages.PingRequest
    ) -> messages.PingReply:
        own = self._members.get(self._node)
        assert own is not None
        return messages.PingReply(own.node, own.incarnation)

    async def _serve_probe(
        self, request: messages.ProbeRequest
    ) -> messages.ProbeReply:
        address: settings.Address = request.address
        sent = await self._transport.send(
            address, messages.PingRequest(), PING_TIMEOUT
        )
        return messages.ProbeReply(isinstance(sent, result.Success))
