"""Zone: the intent that an availability zone is out of service or in."""

import datetime

import attrs

from balsamramp_core import resource

__all__ = ["Zone"]


@attrs.frozen(kw_only=True)
class Zone(resource.Resource):
    """State that operators declare for the availability zone ``name``.

    ``since`` is when the intent was declared and ``author`` by whom.
    """

    kind = "zone"
    aliases = ("zones", "az")

    out: bool
    since: datetime.datetime
    author: str = ""

    def problems(self) -> list[str]:
        found = super().problems()
        if self.since.tzinfo is None:
            found.append("since has no time zone")
        return found
