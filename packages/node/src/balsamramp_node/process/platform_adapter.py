"""Base class for the adapter to the platform that runs the sidecars."""

import abc
from collections import abc as collections_abc
import typing

from balsamramp_core import header_names
from balsamramp_core import intents
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import storage
from balsamramp_node.inbound import targets
from balsamramp_node.process import decision_log
from balsamramp_node.usage import usage_publisher

__all__ = ["Application", "PlatformAdapter"]

Application = collections_abc.Callable[
    ..., collections_abc.Awaitable[typing.Any]
]


class PlatformAdapter(abc.ABC):
    """Translates the platform's protocols to the node's interfaces."""

    @property
    @abc.abstractmethod
    def dialect(self) -> header_names.HeaderNames:
        """Return the header names that the platform uses."""

    @property
    @abc.abstractmethod
    def table(self) -> storage.Table:
        """Return the table for the rows of the nodes themselves."""

    @property
    @abc.abstractmethod
    def intent_source(self) -> intents.IntentSource:
        """Return the source of the operators' intents."""

    @property
    @abc.abstractmethod
    def outcome_publisher(self) -> intents.OutcomePublisher:
        """Return the publisher of the outcomes for operators."""

    @property
    def usage_publisher(self) -> usage_publisher.UsagePublisher | None:
        """Return what takes reports of usage, or None if nothing does."""
        return None

    @property
    @abc.abstractmethod
    def services(self) -> tuple[service_manager.Service, ...]:
        """Return the services that the service manager starts and stops."""

    def record_revision(self, revision: int) -> None:
        """Record a revision of the intents that came into force here."""
        return

    def is_of_one_generation(self, first: int, second: int) -> bool:
        """Return whether the intents were not restored between revisions.

        A change of another node then leads from one to the other.
        """
        return True

    @abc.abstractmethod
    def instrument(
        self, counters: metrics.Metrics, decisions: decision_log.DecisionLog
    ) -> None:
        """Report the calls to the platform there from now on."""

    @abc.abstractmethod
    def heartbeat_api(self, local: targets.LocalTargets) -> Application:
        """Return the ASGI application for the heartbeats of targets."""
