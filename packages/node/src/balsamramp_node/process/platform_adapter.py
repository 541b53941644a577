"""Host: base class of the platform on whose VMs a node runs."""

import abc
from collections import abc as collections_abc
import typing

from balsamramp_core import header_names
from balsamramp_core import intents
from balsamramp_core import service_manager
from balsamramp_core import storage
from balsamramp_node.inbound import targets

__all__ = ["Application", "PlatformAdapter"]

Application = collections_abc.Callable[
    ..., collections_abc.Awaitable[typing.Any]
]


class PlatformAdapter(abc.ABC):
    """Speaks the host's protocols in the words of the product."""

    @property
    @abc.abstractmethod
    def dialect(self) -> header_names.HeaderNames:
        """Return the names of the headers in use there."""

    @property
    @abc.abstractmethod
    def table(self) -> storage.Table:
        """Return the table in which nodes keep rows of their own."""

    @property
    @abc.abstractmethod
    def intent_source(self) -> intents.IntentSource:
        """Return where operators' intents come from."""

    @property
    @abc.abstractmethod
    def outcome_publisher(self) -> intents.OutcomePublisher:
        """Return where operators read outcomes."""

    @property
    @abc.abstractmethod
    def services(self) -> tuple[service_manager.Service, ...]:
        """Return what has to be started and stopped for all of these."""

    @abc.abstractmethod
    def heartbeat_api(self, local: targets.LocalTargets) -> Application:
        """Return the ASGI application for announcements of targets."""
