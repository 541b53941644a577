"""Base class of the transports for control requests."""

import abc
from collections import abc as collections_abc
import datetime
import typing

from returns import result

from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_wire import messages

__all__ = ["Handler", "ControlTransport"]

Handler = collections_abc.Callable[
    [typing.Any], collections_abc.Awaitable[typing.Any]
]


class ControlTransport(abc.ABC):
    """Sends control requests to other nodes and serves their requests."""

    @abc.abstractmethod
    def handle(
        self, request_type: type[messages.ControlRequest], handler: Handler
    ) -> None:
        """Serve requests of ``request_type`` with ``handler``."""

    @abc.abstractmethod
    async def send(
        self,
        peer: settings.Address,
        request: messages.ControlRequest,
        timeout: datetime.timedelta,
    ) -> result.Result[typing.Any, verdict.Failure]:
        """Send ``request`` to ``peer`` and return its reply or a failure."""
