"""Base class of the transports that send calls to other nodes."""

import abc
from collections import abc as collections_abc

from balsamramp_core import settings
from balsamramp_wire import messages

__all__ = ["CallTransport", "MayLeave", "Reply", "always_leave"]

Reply = messages.CallAnswer | messages.CallFailure
# Returns whether a call whose node is unresponsive may be given up.
MayLeave = collections_abc.Callable[[], bool]


def always_leave() -> bool:
    """Give up each call whose node is unresponsive."""
    return True


class CallTransport(abc.ABC):
    """Sends calls to the nodes of other targets."""

    @abc.abstractmethod
    async def call(
        self,
        peer: settings.Address,
        request: messages.CallRequest,
        may_leave: MayLeave = always_leave,
    ) -> Reply:
        """Send ``request`` to the node at ``peer`` and await its reply.

        If the node becomes unresponsive after it may have received the
        call, ``may_leave`` is asked whether to return a failure; otherwise
        the reply is awaited until the request's timeout.

        The reply is returned within the request's timeout plus a short
        grace period for late replies. Without a reply from the peer it is
        a failure with its verdict. When the caller of this method is
        cancelled, the call is cancelled at the peer.
        """
