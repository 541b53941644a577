"""Submission: hands a call to the node of the target that was picked."""

import asyncio

from balsamramp_node.inbound import inbound_handler
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import picker
from balsamramp_wire import messages

__all__ = ["CallDispatcher"]


class CallDispatcher:
    """Reaches the own door directly and others over a stream."""

    def __init__(
        self,
        node: str,
        local: inbound_handler.InboundHandler,
        streams: call_transport.CallTransport,
    ) -> None:
        self._node = node
        self._inbound_handler = local
        self._streams = streams

    async def submit(
        self, message: messages.CallRequest, chosen: picker.Candidate
    ) -> call_transport.Reply:
        """Return the reply of the door in front of ``chosen``.

        When cancelled, the call is cancelled at the door too.
        """
        if chosen.member.node != self._node:
            return await self._streams.call(chosen.member.stream, message)
        try:
            return await self._inbound_handler.submit(message)
        except asyncio.CancelledError:
            self._inbound_handler.cancel(message.call_id, message.target)
            raise
