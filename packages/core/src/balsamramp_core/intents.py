"""Intents: what operators declared, as an outside store orders it."""

import abc

import attrs
from returns import result

from balsamramp_core import resource
from balsamramp_core import storage

__all__ = ["Intents", "IntentSource", "Outcome", "OutcomePublisher"]


@attrs.frozen(kw_only=True)
class Intents:
    """Everything that operators declared, as of ``revision``.

    Two sources that return the same revision return the same resources.
    ``label`` is the operators' own name of the version, for logs.
    """

    revision: int
    resources: tuple[resource.Resource, ...]
    label: str = ""


class IntentSource(abc.ABC):
    """Reads the operators' intents whole from a store that orders them."""

    @abc.abstractmethod
    async def next(
        self,
    ) -> result.Result[Intents | None, storage.StorageError]:
        """Return the present intents, and from then on the next ones.

        The first call returns at once. Later ones wait for a change for
        as long as the store lets them, and return None without one.
        Revisions never fall.
        """


@attrs.frozen(kw_only=True)
class Outcome:
    """What became of the order ``revision`` for ``version``."""

    service: str
    version: str
    revision: int
    state: str


class OutcomePublisher(abc.ABC):
    """Where operators read what became of their rollout orders."""

    @abc.abstractmethod
    async def publish(
        self, outcome: Outcome
    ) -> result.Result[None, storage.StorageError]:
        """Write ``outcome``, unless a final one of the order is there.

        Success means that the outcome, or a final one, was read back.
        """
