"""Intent reader: base class of what brings operators' intents here."""

import abc

from balsamramp_core import service_manager

__all__ = ["ConfigurationReader"]


class ConfigurationReader(service_manager.Service):
    """Reads intents from where they are ordered and kept."""

    name = "source"

    @abc.abstractmethod
    async def resolve_divergence(self) -> None:
        """Compare with the order kept there after a peer showed another."""
