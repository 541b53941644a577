"""Sends a call to the node of the picked target."""

import asyncio
import datetime

import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import verdict
from balsamramp_node.inbound import inbound_handler
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import picker
from balsamramp_node.process import caller_presence
from balsamramp_wire import body_messages
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["CallDispatcher"]

# Room is asked for larger bodies; the question costs a round trip.
LARGE_BODY_BYTES = 64 * 1024
ROOM_TIMEOUT = datetime.timedelta(milliseconds=500)
# Large bodies are held for about as long as a call takes.
RETRY_AFTER = datetime.timedelta(milliseconds=500)


class CallDispatcher:
    """Calls the local inbound handler directly, other nodes over streams.

    With ``control``, it asks other nodes for room before it sends them a
    large body. A call that gets none has not been sent.
    """

    def __init__(
        self,
        node: str,
        local_handler: inbound_handler.InboundHandler,
        streams: call_transport.CallTransport,
        control: control_transport.ControlTransport | None = None,
        time: clock.Clock | None = None,
    ) -> None:
        self._control = control
        self._clock = time or clock.SystemClock()
        self._node = node
        self._inbound_handler = local_handler
        self._streams = streams

    async def submit(
        self,
        message: messages.CallRequest,
        chosen: picker.Candidate,
        may_leave: call_transport.MayLeave = call_transport.always_leave,
    ) -> call_transport.Reply:
        """Return the reply of the node of ``chosen``.

        ``may_leave`` is that of the call transport. On cancellation, the
        call is cancelled at that node too.
        """
        if chosen.member.node != self._node:
            if len(message.body) > LARGE_BODY_BYTES:
                began_at = self._clock.monotonic()
                refusal = await self._ask_for_room(message, chosen)
                if refusal is not None:
                    return refusal
                await caller_presence.confirm()
                waited = self._clock.monotonic() - began_at
                message = attrs.evolve(
                    message, timeout=message.timeout - waited
                )
            return await self._streams.call(
                chosen.member.stream, message, may_leave
            )
        try:
            return await self._inbound_handler.submit(message)
        except asyncio.CancelledError:
            self._inbound_handler.cancel(message.call_id, message.target)
            raise

    async def _ask_for_room(
        self, message: messages.CallRequest, chosen: picker.Candidate
    ) -> messages.CallFailure | None:
        """Return a failure if the node of ``chosen`` has no room."""
        if self._control is None:
            return None
        request = body_messages.BodyRoomRequest(
            call_id=message.call_id,
            size=len(message.body),
            timeout=message.timeout,
        )
        reply = await self._control.send(
            chosen.member.control, request, min(ROOM_TIMEOUT, message.timeout)
        )
        if isinstance(reply, result.Failure):
            failure = reply.failure()
            if failure.reason is verdict.Reason.BAD_REQUEST:
                # A node of an earlier release takes all bodies.
                return None
            return _refusal(message, failure.message)
        if reply.unwrap().granted:
            return None
        return _refusal(
            message, f"node {chosen.member.node} has no room for the body"
        )


def _refusal(message: messages.CallRequest, text: str) -> messages.CallFailure:
    return messages.CallFailure(
        call_id=message.call_id,
        failure=verdict.Failure(
            verdict.Verdict.NOT_RUN,
            verdict.Reason.NO_MEMORY,
            text,
            RETRY_AFTER,
        ),
        load=messages.Load(0, 0),
    )
