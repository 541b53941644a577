"""Rollout: the intent that a new version takes over by a time."""

import datetime
import enum

import attrs

from balsamramp_core import resource

__all__ = ["ANY_OLD_VERSION", "LatePolicy", "Rollout"]

ANY_OLD_VERSION = "*"
KEEP_OLD_SECONDS = 600


class LatePolicy(enum.Enum):
    """What becomes of a rollout that is not complete at its deadline."""

    HOLD = "hold"
    ROLL_BACK = "take-back"


@attrs.frozen(kw_only=True)
class Rollout(resource.Resource):
    """Version ``new`` of ``service`` takes over from ``old``.

    Versions are values of the target label ``version``; ``old`` may be
    ``*``, every version but ``new``. Traffic starts
    to move at ``start`` and has moved completely at ``deadline``.
    ``aborted_by`` names the operator who ended it, or is empty.
    ``revision`` is that of the order which the rollout came from, or 0.

    Options: ``keep_old_seconds`` (default 600), how long after the last
    step the old version must stay ready to take everything back;
    ``late`` (default ``take-back``), what happens when the deadline
    passes before the last step: ``hold`` keeps the share and completes
    late once evidence and capacity allow.
    """

    kind = "rollout"
    aliases = ("rollouts",)

    service: str
    old: str
    new: str
    start: datetime.datetime
    deadline: datetime.datetime
    aborted_by: str = ""
    keep_old_seconds: int = KEEP_OLD_SECONDS
    late: LatePolicy = LatePolicy.ROLL_BACK
    revision: int = 0

    def is_old(self, version: str) -> bool:
        """Tell whether ``version`` is what ``new`` takes over from."""
        if self.old == ANY_OLD_VERSION:
            return version != self.new
        return version == self.old

    def names(self, version: str) -> bool:
        """Tell whether the rollout is about ``version``."""
        return version == self.new or self.is_old(version)

    @property
    def scale_down_delay(self) -> datetime.timedelta:
        """Return how long the old version stays ready after the end."""
        return datetime.timedelta(seconds=self.keep_old_seconds)

    def dependencies(self) -> tuple[resource.ResourceKey, ...]:
        return (resource.ResourceKey("service", self.service),)

    def validation_errors(self) -> list[str]:
        found = super().validation_errors()
        if self.old != ANY_OLD_VERSION:
            found += resource.check_name("old", self.old)
        found += resource.check_name("new", self.new)
        if self.old == self.new:
            found.append(f"old and new are both {self.old!r}")
        if self.keep_old_seconds < 0:
            found.append("keep_old_seconds is negative")
        for field in ("start", "deadline"):
            if getattr(self, field).tzinfo is None:
                found.append(f"{field} has no time zone")
                return found
        if self.deadline <= self.start:
            found.append("deadline is not after start")
        return found
