"""Caller limits: what a caller may send, and how slowly."""

import datetime

import attrs

from balsamramp_core import resource

__all__ = ["CallerLimits", "NAME"]

NAME = "callers"


@attrs.frozen(kw_only=True)
class CallerLimits(resource.Resource):
    """Limits on all callers' connections; the only one is ``callers``.

    ``header_timeout_ms`` is the time for the whole of the headers and
    ``idle_timeout_ms`` how long a connection may lie idle.
    """

    kind = "caller-limits"

    header_max_bytes: int = 16384
    body_max_bytes: int = 67108864
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000

    @property
    def header_timeout(self) -> datetime.timedelta:
        """Return the time for the whole of the headers."""
        return datetime.timedelta(milliseconds=self.header_timeout_ms)

    @property
    def idle_timeout(self) -> datetime.timedelta:
        """Return how long a connection may lie idle."""
        return datetime.timedelta(milliseconds=self.idle_timeout_ms)

    def validation_errors(self) -> list[str]:
        found = super().validation_errors()
        if self.name != NAME:
            found.append(f"name is {self.name!r}, not {NAME!r}")
        for field in attrs.fields(CallerLimits):
            value = getattr(self, field.name)
            if field.name != "name" and value < 1:
                found.append(f"{field.name} is {value}, not 1 or up")
        return found
