"""Address book: base class of where a node finds others at its start."""

import abc
import typing

from balsamramp_core import settings

__all__ = ["PeerDiscovery"]


class PeerDiscovery(abc.ABC):
    """Lists some nodes, of which some may be gone.

    One that lists every node, not some of each zone, says so with
    ``lists_every_node``; nodes that start together then use it at once.
    """

    lists_every_node: typing.ClassVar[bool] = False

    @abc.abstractmethod
    async def read(self) -> list[settings.Address]:
        """Return control addresses; none when they cannot be read."""
