"""Sends a message to all nodes of a zone along a tree."""

import asyncio
import bisect
from collections import abc
import datetime
import typing

from returns import result

from balsamramp_core import metrics
from balsamramp_node.configuration import fanout_tree
from balsamramp_node.membership import member_list
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["TreeSender"]

SEND_TIMEOUT = datetime.timedelta(milliseconds=500)


class TreeSender:
    """Sends to the root of a tree, and forwards to the own children.

    Each node forwards a message once, which its receiver has to ensure.
    The children of a node that does not respond get the message from the
    node that tried to send it there. Messages with the same ``seed`` share
    a tree, so that connections are reused.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        members: member_list.MemberList,
        transport: control_transport.ControlTransport,
        counters: metrics.Metrics,
    ) -> None:
        self._node = node
        self._zone = zone
        self._members = members
        self._transport = transport
        self._metrics = counters
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def pending(self) -> int:
        """Return how many messages are on their way."""
        return len(self._tasks)

    async def stop(self) -> None:
        """End all sending."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def send(self, request: messages.ControlRequest, seed: int) -> None:
        """Send ``request`` to the root of the tree."""
        self.start_task(self._send_to_position(request, seed, 0))

    def forward(self, request: messages.ControlRequest, seed: int) -> None:
        """Send ``request`` to the children of this node."""
        members = self._members.alive_in(self._zone)
        names = [member.node for member in members]
        index = bisect.bisect_left(names, self._node)
        tree = fanout_tree.FanoutTree.seeded(len(names), seed)
        for child in tree.children(tree.position(index)):
            self.start_task(self._send_to_position(request, seed, child))

    def start_task(
        self, coroutine: abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run ``coroutine`` until it ends or the sender stops."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_to_position(
        self, request: messages.ControlRequest, seed: int, position: int
    ) -> None:
        members = self._members.alive_in(self._zone)
        if position >= len(members):
            return
        tree = fanout_tree.FanoutTree.seeded(len(members), seed)
        member = members[tree.index(position)]
        if member.node == self._node:
            self.forward(request, seed)
            return
        self._metrics.count("pushes_sent_total")
        sent = await self._transport.send(
            member.control, request, SEND_TIMEOUT
        )
        if isinstance(sent, result.Success):
            return
        for child in tree.children(position):
            self.start_task(self._send_to_position(request, seed, child))
