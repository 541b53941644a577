"""Rollout order: a version takes over from all others within a time."""

import datetime

import attrs

from balsamramp_core import resource

__all__ = ["RolloutOrder"]


@attrs.frozen(kw_only=True)
class RolloutOrder(resource.Resource):
    """Version ``new`` of ``service`` takes over from whatever runs.

    Unlike a rollout it states no time of day: it counts from when the
    first node learns of it. ``revision`` tells an order from an earlier
    one for the same version.
    """

    kind = "rollout-order"
    aliases = ("rollout-orders",)

    service: str
    new: str
    duration_seconds: float
    revision: int

    @property
    def duration(self) -> datetime.timedelta:
        """Return the time in which the version takes over."""
        return datetime.timedelta(seconds=self.duration_seconds)

    def dependencies(self) -> tuple[resource.ResourceKey, ...]:
        return (resource.ResourceKey("service", self.service),)

    def validation_errors(self) -> list[str]:
        found = super().validation_errors()
        found += resource.check_name("new", self.new)
        if self.duration_seconds <= 0:
            found.append(f"duration_seconds is {self.duration_seconds}")
        return found
