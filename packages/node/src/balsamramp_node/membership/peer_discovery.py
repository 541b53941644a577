"""The interface for discovering peers at the start of a node."""

import abc
import typing

from balsamramp_core import settings

__all__ = ["PeerDiscovery"]


class PeerDiscovery(abc.ABC):
    """Lists addresses of nodes, some of which may have departed.

    ``lists_every_node`` is true if it lists every node and not only some
    of each zone; nodes that start together then use it at once.
    """

    lists_every_node: typing.ClassVar[bool] = False

    @property
    def zones(self) -> frozenset[str]:
        """Return the zones with registered nodes; empty if not known."""
        return frozenset()

    @abc.abstractmethod
    async def read(self) -> list[settings.Address]:
        """Return control addresses; empty if they cannot be read."""

    async def withdraw(self) -> None:
        """Remove this node from what other nodes read."""
        return None
