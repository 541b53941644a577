"""Base class of the transports that send calls to other nodes."""

import abc

from balsamramp_core import settings
from balsamramp_wire import messages

__all__ = ["CallTransport", "Reply"]

Reply = messages.CallAnswer | messages.CallFailure


class CallTransport(abc.ABC):
    """Sends calls to the nodes of other targets."""

    @abc.abstractmethod
    async def call(
        self, peer: settings.Address, request: messages.CallRequest
    ) -> Reply:
        """Send ``request`` to the node at ``peer`` and await its reply.

        The reply is returned within the request's timeout plus a short
        grace period for late replies. Without a reply from the peer it is
        a failure with its verdict. When the caller of this method is
        cancelled, the call is cancelled at the peer.
        """
