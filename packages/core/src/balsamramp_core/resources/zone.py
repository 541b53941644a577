"""Resource that takes an availability zone out of or into service."""

import datetime

import attrs

from balsamramp_core import resource

__all__ = ["Zone"]

RETURN_SECONDS = 30


@attrs.frozen(kw_only=True)
class Zone(resource.Resource):
    """State that operators declare for the availability zone ``name``.

    The intent was declared at ``since`` by ``author``. A zone that is back
    in service serves a rising share of its calls, and all of them
    ``return_seconds`` (default 30) after ``since``.
    """

    kind = "zone"
    aliases = ("zones", "az")

    out: bool
    since: datetime.datetime
    author: str = ""
    return_seconds: int = RETURN_SECONDS

    def validation_errors(self) -> list[str]:
        errors = super().validation_errors()
        if self.since.tzinfo is None:
            errors.append(f"since has no time zone: {self.since}")
        if self.return_seconds < 0:
            errors.append(f"return_seconds is negative: {self.return_seconds}")
        return errors
