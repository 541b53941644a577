"""In-memory network that carries messages between nodes.

Links between zones or nodes can be partitioned and can delay or lose
messages. All delays use the given clock.
"""

import asyncio
import datetime
import random
import typing

import attrs
import msgspec
from returns import result

from balsamramp_core import clock
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_testing import virtual_time
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["PLATFORM", "MemoryControl", "MemoryNetwork"]

PLATFORM = "platform"
LINK_DELAY = datetime.timedelta(microseconds=500)


@attrs.define
class Traffic:
    """Number and total size of the control messages sent by a node."""

    messages: int = 0
    bytes: int = 0


class MemoryNetwork:
    """Stores the zone of each node and the state of the links.

    ``loss_share`` is the share of messages that are lost, from 0 to 1. A
    node in ``unresponsive`` is reachable but never responds.
    """

    def __init__(self, time: clock.Clock, rng: random.Random) -> None:
        self._clock = time
        self._random = rng
        self._controls: dict[settings.Address, MemoryControl] = {}
        self._zones: dict[str, str] = {PLATFORM: PLATFORM}
        self._scopes: dict[str, virtual_time.SimulatedProcess] = {}
        self._partitions: set[frozenset[str]] = set()
        self.delay = LINK_DELAY
        self.loss_share = 0.0
        self.down: set[str] = set()
        self.unresponsive: set[str] = set()
        self.traffic: dict[str, Traffic] = {}
        self.on_message: typing.Callable[[str, str, object], None] | None = (
            None
        )

    def add(
        self,
        node: str,
        zone: str,
        served: "MemoryControl",
        scope: virtual_time.SimulatedProcess | None = None,
    ) -> None:
        """Connect a node, replacing an earlier one of the same name.

        Requests to the node are handled in ``scope``, so that they pause
        or end together with the node.
        """
        self._zones[node] = zone
        self._scopes[node] = scope or virtual_time.SimulatedProcess(node)
        self._controls[settings.Address(node, 1)] = served
        self.down.discard(node)

    def add_control(
        self, node: str, zone: str, served: "MemoryControl"
    ) -> None:
        """Connect a node that handles control requests only."""
        self.add(node, zone, served)

    def scope_of(self, node: str) -> virtual_time.SimulatedProcess:
        """Return the simulated process in which the node's tasks run."""
        return self._scopes[node]

    def partition(self, left: str, right: str) -> None:
        """Partition two zones or nodes, or one of them and PLATFORM."""
        self._partitions.add(frozenset((left, right)))

    def heal(self, left: str, right: str) -> None:
        """Restore the link between two zones or nodes."""
        self._partitions.discard(frozenset((left, right)))

    def can_reach(self, sender: str, receiver: str) -> bool:
        """Return whether messages from ``sender`` get to ``receiver``."""
        if sender in self.down or receiver in self.down:
            return False
        return self.links(sender, receiver)

    def links(self, sender: str, receiver: str) -> bool:
        """Return whether no partition separates the two ends."""
        ends = {sender, receiver}
        zones = {self._zones.get(sender, ""), self._zones.get(receiver, "")}
        return (
            frozenset(ends) not in self._partitions
            and frozenset(zones) not in self._partitions
        )

    def count(self, sender: str, size: int) -> None:
        """Count a control message of ``size`` bytes sent by ``sender``."""
        traffic = self.traffic.setdefault(sender, Traffic())
        traffic.messages += 1
        traffic.bytes += size

    async def transmit(self, sender: str, receiver: str) -> bool:
        """Wait for the delay of one message; return False if it is lost."""
        await self._clock.sleep(self.delay)
        if self._random.random() < self.loss_share:
            return False
        return self.can_reach(sender, receiver)

    def control_at(
        self, address: settings.Address
    ) -> typing.Optional["MemoryControl"]:
        """Return the control transport that listens at ``address``."""
        return self._controls.get(address)


class MemoryControl(control_transport.ControlTransport):
    """Control transport of one node over a memory network."""

    def __init__(self, node: str, network: MemoryNetwork) -> None:
        self._node = node
        self._network = network
        self.handlers: dict[type, control_transport.Handler] = {}

    def handle(
        self,
        request_type: type[messages.ControlRequest],
        handler: control_transport.Handler,
    ) -> None:
        self.handlers[request_type] = handler

    async def send(
        self,
        peer: settings.Address,
        request: messages.ControlRequest,
        timeout: datetime.timedelta,
    ) -> result.Result[typing.Any, verdict.Failure]:
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._send(peer, request)
        except TimeoutError:
            return _connection_lost(peer)

    async def _send(
        self, peer: settings.Address, request: messages.ControlRequest
    ) -> result.Result[typing.Any, verdict.Failure]:
        encoded = msgspec.msgpack.encode(request)
        self._network.count(self._node, len(encoded))
        if self._network.on_message is not None:
            self._network.on_message(self._node, peer.host, request)
        if not await self._network.transmit(self._node, peer.host):
            return _connection_lost(peer)
        served = self._network.control_at(peer)
        if served is None or type(request) not in served.handlers:
            return _connection_lost(peer)
        if peer.host in self._network.unresponsive:
            await asyncio.Event().wait()
        decoded = msgspec.msgpack.decode(encoded, type=type(request))
        handled = served.handlers[type(request)](decoded)
        reply = await self._network.scope_of(peer.host).run(handled)
        if reply is None:
            return _connection_lost(peer)
        answer = msgspec.msgpack.encode(reply)
        self._network.count(peer.host, len(answer))
        if self._network.on_message is not None:
            self._network.on_message(peer.host, self._node, reply)
        if not await self._network.transmit(peer.host, self._node):
            return _connection_lost(peer)
        return result.Success(
            msgspec.msgpack.decode(answer, type=request.reply)
        )


def _connection_lost(
    peer: settings.Address,
) -> result.Result[typing.Any, verdict.Failure]:
    return result.Failure(
        verdict.Failure(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.CONNECTION_LOST,
            f"no answer from {peer}",
        )
    )
