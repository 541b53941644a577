"""Zone: the intent that an availability zone is out of service or in."""

import datetime

import attrs

from balsamramp_core import resource

__all__ = ["Zone"]

RETURN_SECONDS = 30


@attrs.frozen(kw_only=True)
class Zone(resource.Resource):
    """State that operators declare for the availability zone ``name``.

    ``since`` is when the intent was declared and ``author`` by whom.
    A zone that comes in again takes all its calls ``return_seconds``
    (default 30) after ``since``, and a rising part before.
    """

    kind = "zone"
    aliases = ("zones", "az")

    out: bool
    since: datetime.datetime
    author: str = ""
    return_seconds: int = RETURN_SECONDS

    def validation_errors(self) -> list[str]:
        found = super().validation_errors()
        if self.since.tzinfo is None:
            found.append("since has no time zone")
        if self.return_seconds < 0:
            found.append("return_seconds is negative")
        return found
