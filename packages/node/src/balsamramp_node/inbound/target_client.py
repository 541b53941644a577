"""Interface for sending an admitted call to a target of this VM."""

import abc
import datetime

import attrs
from returns import result

from balsamramp_core import verdict
from balsamramp_node.inbound import targets
from balsamramp_wire import messages

__all__ = [
    "LocalLimitError",
    "TargetCallResult",
    "TargetClient",
    "TargetResponse",
]


class LocalLimitError(Exception):
    """This node lacks a descriptor, memory or a port to send the call."""


@attrs.frozen(kw_only=True)
class TargetResponse:
    """The complete response of a target."""

    status: int
    headers: messages.Headers
    body: bytes


TargetCallResult = result.Result[TargetResponse, verdict.Failure]


class TargetClient(abc.ABC):
    """Sends a call to a target and returns the complete response."""

    @abc.abstractmethod
    async def call(
        self,
        target: targets.Announcement,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
    ) -> TargetCallResult:
        """Send ``request`` to ``target`` and wait at most ``time_left``.

        A target sheds the call by setting the header
        ``balsamramp-not-run``, which results in a failure with verdict
        NOT_RUN. Any other response is a success, whatever its status.
        Raises LocalLimitError if the call could not be sent for a reason
        that tells nothing about the target.
        """
