"""Resource for the replacement of a version by a deadline."""

import datetime
import enum

import attrs

from balsamramp_core import resource

__all__ = ["ANY_OLD_VERSION", "LatePolicy", "Rollout"]

ANY_OLD_VERSION = "*"
KEEP_OLD_SECONDS = 600


class LatePolicy(enum.Enum):
    """Treatment of a rollout that is not complete at its deadline."""

    HOLD = "hold"
    ROLL_BACK = "take-back"


@attrs.frozen(kw_only=True)
class Rollout(resource.Resource):
    """Version ``new`` of ``service`` replaces ``old``.

    Versions are values of the target label ``version``; ``old`` may be
    ``*``, which means every version except ``new``. Traffic starts to
    shift at ``start`` and is shifted completely by ``deadline``.
    ``aborted_by`` is the operator who aborted the rollout, or empty.
    ``revision`` is the revision of the order that created the rollout, or
    0 without an order, and ``earlier_revisions`` are those of the same order
    before a restore of its store.

    Options: ``keep_old_seconds`` (default 600), the time after the last
    step for which the old version stays ready for a rollback; ``late``
    (default ``take-back``, a rollback), the action if the deadline passes
    before the last step: ``hold`` keeps the share and completes late, once
    evidence and capacity permit.
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
    earlier_revisions: tuple[int, ...] = ()

    def is_old(self, version: str) -> bool:
        """Return whether ``new`` replaces ``version``."""
        if self.old == ANY_OLD_VERSION:
            return version != self.new
        return version == self.old

    def names(self, version: str) -> bool:
        """Return whether ``version`` is the old or the new version."""
        return version == self.new or self.is_old(version)

    @property
    def scale_down_delay(self) -> datetime.timedelta:
        """Return how long the old version stays ready after the last step."""
        return datetime.timedelta(seconds=self.keep_old_seconds)

    def dependencies(self) -> tuple[resource.ResourceKey, ...]:
        return (resource.ResourceKey("service", self.service),)

    def validation_errors(self) -> list[str]:
        errors = super().validation_errors()
        if self.old != ANY_OLD_VERSION:
            errors += resource.check_name("old", self.old)
        errors += resource.check_name("new", self.new)
        if self.old == self.new:
            errors.append(f"old and new are both {self.old!r}")
        if self.keep_old_seconds < 0:
            errors.append(
                f"keep_old_seconds is negative: {self.keep_old_seconds}"
            )
        for field in ("start", "deadline"):
            if getattr(self, field).tzinfo is None:
                errors.append(
                    f"{field} has no time zone: {getattr(self, field)}"
                )
                return errors
        if self.deadline <= self.start:
            errors.append(
                f"deadline {self.deadline} is not after start {self.start}"
            )
        return errors
