"""Rollout: the intent that a new version takes over by a time."""

import datetime

import attrs

from balsamramp_core import resource

__all__ = ["Rollout"]


@attrs.frozen(kw_only=True)
class Rollout(resource.Resource):
    """Version ``new`` of ``service`` takes over from ``old``.

    Versions are values of the target label ``version``. Traffic starts
    to move at ``start`` and has moved completely at ``deadline``.
    ``aborted_by`` names the operator who ended it, or is empty.
    """

    kind = "rollout"
    aliases = ("rollouts",)

    service: str
    old: str
    new: str
    start: datetime.datetime
    deadline: datetime.datetime
    aborted_by: str = ""

    def dependencies(self) -> tuple[resource.ResourceKey, ...]:
        return (resource.ResourceKey("service", self.service),)

    def problems(self) -> list[str]:
        found = super().problems()
        found += resource.check_name("old", self.old)
        found += resource.check_name("new", self.new)
        if self.old == self.new:
            found.append(f"old and new are both {self.old!r}")
        for field in ("start", "deadline"):
            if getattr(self, field).tzinfo is None:
                found.append(f"{field} has no time zone")
                return found
        if self.deadline <= self.start:
            found.append("deadline is not after start")
        return found
