"""Call transport: base class of what hands a call to another node."""

import abc

from balsamramp_core import settings
from balsamramp_wire import messages

__all__ = ["CallTransport", "Reply"]

Reply = messages.CallAnswer | messages.CallFailure


class CallTransport(abc.ABC):
    """Hands calls to the nodes of other targets."""

    @abc.abstractmethod
    async def call(
        self, peer: settings.Address, request: messages.CallRequest
    ) -> Reply:
        """Hand ``request`` to the node at ``peer`` and await its reply.

        The reply comes within the request's timeout, give or take a
        grace period for a late one; it is a failure with its verdict
        when nothing was heard. When the caller of this method is
        cancelled, the cancellation is passed on to the peer.
        """
