"""Refuses calls whose responses the link cannot deliver in time.

It answers the load in which a target responds faster than the link of its
VM sends: slots are free, yet the responses would miss their deadlines.
"""

import datetime

from balsamramp_core import verdict
from balsamramp_node.inbound import reply_scheduler
from balsamramp_node.inbound import target_limiter
from balsamramp_node.outbound import call_transport
from balsamramp_wire import messages

__all__ = ["LinkAdmission"]

# Weight of the last response in the mean size of its route's responses.
SIZE_WEIGHT = 0.1
# Smaller responses don't wait for the link.
SMALL_RESPONSE_MAX_BYTES = reply_scheduler.SMALL_FRAME_MAX_BYTES
# Share of its remaining time that a call may wait when it can't meet its
# objective. Those that can are sent first, so the wait may become longer.
LATE_WAIT_SHARE = 0.25
# Share of the longest wait that the transfer of a response counts for at
# most. Only responses correct the size that is expected, so a call whose
# response is taken to be too large is admitted while little waits.
TRANSFER_SHARE_MAX = 0.5


class LinkAdmission:
    """Estimates the wait for the link from the calls that run.

    The size of a response is estimated from those of the same route.
    """

    def __init__(
        self, scheduler: reply_scheduler.ReplyScheduler | None = None
    ) -> None:
        self._scheduler = scheduler
        self._mean_bytes: dict[str, float] = {}
        self._expected_bytes: dict[str, float] = {}

    def expected_wait(self) -> datetime.timedelta:
        """Return when the link has sent all responses, queued and expected."""
        if self._scheduler is None:
            return datetime.timedelta()
        backlog = self._scheduler.queued_bytes + sum(
            self._expected_bytes.values()
        )
        return self._scheduler.expected_time(int(backlog))

    def refusal(
        self, request: messages.CallRequest, time_left: datetime.timedelta
    ) -> verdict.Failure | None:
        """Return why the response would be too late, or None."""
        size = self._mean_bytes.get(request.route, 0.0)
        if self._scheduler is None or size <= SMALL_RESPONSE_MAX_BYTES:
            return None
        wait = self.expected_wait()
        transfer_time = self._scheduler.expected_time(int(size))
        longest = max(request.objective, time_left * LATE_WAIT_SHARE)
        transfer_time = min(transfer_time, longest * TRANSFER_SHARE_MAX)
        if wait + transfer_time <= longest:
            return None
        text = f"the link of target {request.target} is busy for {wait}"
        return target_limiter.no_slot_failure(text, wait)

    def start(self, request: messages.CallRequest) -> None:
        """Expect the response to a call that is admitted."""
        size = self._mean_bytes.get(request.route, 0.0)
        if size > SMALL_RESPONSE_MAX_BYTES:
            self._expected_bytes[request.call_id] = size

    def finish(
        self,
        request: messages.CallRequest,
        reply: call_transport.Reply | None,
    ) -> None:
        """Record the reply to a call; from now on it is in the queue."""
        self._expected_bytes.pop(request.call_id, None)
        if not isinstance(reply, messages.CallAnswer):
            return
        size = len(reply.body)
        mean = self._mean_bytes.get(request.route, float(size))
        self._mean_bytes[request.route] = mean + SIZE_WEIGHT * (size - mean)
