"""Intent reader: base class of what brings operators' intents here."""

import abc

from balsamramp_core import kernel

__all__ = ["IntentReader"]


class IntentReader(kernel.Service):
    """Reads intents from where they are ordered and kept."""

    name = "source"

    @abc.abstractmethod
    async def settle_divergence(self) -> None:
        """Compare with the order kept there after a peer showed another."""
