"""The interface for reading the operators' configuration."""

import abc

from balsamramp_core import service_manager

__all__ = ["ConfigurationReader"]


class ConfigurationReader(service_manager.Service):
    """Reads the configuration from the store that orders its versions."""

    name = "source"

    @abc.abstractmethod
    async def resolve_divergence(self) -> None:
        """Compare with the store after a peer reported another state.

        Called when a peer has the same version with another digest.
        """

    def record_later_version(self, version: int) -> None:
        """Record that a peer has a version that this node lacks."""
