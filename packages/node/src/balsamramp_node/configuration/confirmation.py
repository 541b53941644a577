"""Whether the configuration in force is known to be the present one."""

import abc
import datetime

import attrs

__all__ = ["Confirmation", "Confirmer", "TrustingConfirmer"]


@attrs.frozen
class Confirmation:
    """What a node knows of the configuration that it has in force.

    ``age`` is how long ago it was certainly the present one, None if that
    is unknown, and ``source`` the node that read so. ``later_version`` is
    the latest version that a peer had since, 0 if that is none.
    """

    confirmed: bool
    version: int
    source: str = ""
    age: datetime.timedelta | None = None
    later_version: int = 0


class Confirmer(abc.ABC):
    """Knows how old the configuration in force may be."""

    @property
    @abc.abstractmethod
    def confirmation(self) -> Confirmation:
        """Return what is known of the configuration in force."""

    @abc.abstractmethod
    async def confirm(self) -> bool:
        """Return whether what is in force was confirmed a moment ago.

        If not, it waits a short time for the next confirmation.
        """


class TrustingConfirmer(Confirmer):
    """Takes what is in force for the present configuration."""

    @property
    def confirmation(self) -> Confirmation:
        return Confirmation(confirmed=True, version=0)

    async def confirm(self) -> bool:
        return True
