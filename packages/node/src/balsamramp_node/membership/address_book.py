"""Address book: base class of where a node finds others at its start."""

import abc

from balsamramp_core import settings

__all__ = ["AddressBook"]


class AddressBook(abc.ABC):
    """Lists some nodes, of which some may be gone."""

    @abc.abstractmethod
    async def read(self) -> list[settings.Address]:
        """Return control addresses; none when they cannot be read."""
