"""Resource that orders the rollout of a version within a duration."""

import datetime

import attrs

from balsamramp_core import resource

__all__ = ["RolloutOrder"]


@attrs.frozen(kw_only=True)
class RolloutOrder(resource.Resource):
    """Version ``new`` of ``service`` replaces all other versions.

    Unlike a rollout, an order has no start time: it starts when the first
    node receives it. ``revision`` distinguishes an order from an earlier
    one for the same version, and each node that reads the store finds the
    same one. ``earlier_revisions`` are those that the order had before it
    was written again after a restore of the store, the latest first.
    """

    kind = "rollout-order"
    aliases = ("rollout-orders",)

    service: str
    new: str
    duration_seconds: float
    revision: int
    earlier_revisions: tuple[int, ...] = ()

    @property
    def duration(self) -> datetime.timedelta:
        """Return the time within which ``new`` replaces other versions."""
        return datetime.timedelta(seconds=self.duration_seconds)

    def dependencies(self) -> tuple[resource.ResourceKey, ...]:
        return (resource.ResourceKey("service", self.service),)

    def validation_errors(self) -> list[str]:
        errors = super().validation_errors()
        errors += resource.check_name("new", self.new)
        if self.duration_seconds <= 0:
            errors.append(
                f"duration_seconds is {self.duration_seconds}; must be above 0"
            )
        return errors
