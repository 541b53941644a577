"""Interfaces to an external store of operators' intents."""

import abc
from collections import abc as collections_abc
import datetime

import attrs
from returns import result

from balsamramp_core import remote_clock
from balsamramp_core import resource
from balsamramp_core import storage

__all__ = [
    "Intents",
    "IntentSource",
    "Outcome",
    "OutcomePublisher",
    "Rejection",
]


@attrs.frozen(kw_only=True)
class Intents:
    """All resources that operators declared, as of ``revision``.

    Sources that return the same revision return the same resources.
    ``label`` is the operators' name of the version, for logs, and ``number``
    orders their configurations. ``written`` has the versions of resources
    with a row of their own.

    A store may come back from a copy of itself. Then revisions still rise,
    and a node may have something else in force than ``resources``:
    ``held_revision`` is that of what it has until the store is no longer
    behind, and ``settled_revision`` follows.
    """

    revision: int
    resources: tuple[resource.Resource, ...]
    label: str = ""
    number: int = 0
    written: collections_abc.Mapping[resource.ResourceKey, int] = attrs.field(
        factory=dict
    )
    held_revision: int = 0
    settled_revision: int = 0


@attrs.frozen(kw_only=True)
class Rejection:
    """A revision whose configuration cannot be read.

    ``message`` names the field, its value and what is allowed.
    """

    revision: int
    message: str


class IntentSource(abc.ABC):
    """Reads complete sets of intents from a store with revisions."""

    @property
    @abc.abstractmethod
    def clock(self) -> remote_clock.RemoteClock:
        """Return the clock of the store, which all nodes have in common."""

    @property
    @abc.abstractmethod
    def read_at(self) -> datetime.timedelta | None:
        """Return when what ``next`` returned last was true, by ``clock``.

        None if the store does not state its time.
        """

    @property
    def rejection(self) -> Rejection | None:
        """Return why the newest configuration is not in use, or None."""
        return None

    @abc.abstractmethod
    async def next(
        self, poll_time: datetime.timedelta
    ) -> result.Result[Intents | None, storage.StorageError]:
        """Return the current intents; later calls return the next ones.

        The first call returns at once. Later calls wait for a change for
        ``poll_time``, and return None if there was none. Revisions never
        decrease.
        """

    @abc.abstractmethod
    async def read_clock(self) -> None:
        """Have the store state its time, by a call that takes short.

        ``next`` waits at the store, so that what it learns about the clock
        is loose. Errors are logged.
        """

    @abc.abstractmethod
    def restart(self) -> None:
        """Have the next call return at once, like the first one.

        That costs less than to follow all changes since a call long ago.
        """


@attrs.frozen(kw_only=True)
class Outcome:
    """State of the rollout order ``revision`` for ``version``."""

    service: str
    version: str
    revision: int
    state: str


class OutcomePublisher(abc.ABC):
    """Publishes the state of rollout orders to operators."""

    @property
    def generation(self) -> int:
        """Return a number that rises when what was published may be gone."""
        return 0

    @abc.abstractmethod
    async def publish(
        self, outcome: Outcome
    ) -> result.Result[None, storage.StorageError]:
        """Write ``outcome``, unless the order already has a final one.

        Success means that the outcome, or a final one, was read back.
        """
