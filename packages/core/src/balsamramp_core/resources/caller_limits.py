"""Resource for the size and time limits on callers' requests."""

import datetime

import attrs

from balsamramp_core import resource

__all__ = ["CallerLimits", "NAME"]

NAME = "callers"


@attrs.frozen(kw_only=True)
class CallerLimits(resource.Resource):
    """Limits on the connections of all callers, named ``callers``.

    ``header_timeout_ms`` limits the time for receiving all headers, and
    ``idle_timeout_ms`` the time for which a connection may stay idle.
    """

    kind = "caller-limits"

    header_max_bytes: int = 16384
    body_max_bytes: int = 67108864
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000

    @property
    def header_timeout(self) -> datetime.timedelta:
        """Return the maximum time for receiving all headers."""
        return datetime.timedelta(milliseconds=self.header_timeout_ms)

    @property
    def idle_timeout(self) -> datetime.timedelta:
        """Return the maximum idle time of a connection."""
        return datetime.timedelta(milliseconds=self.idle_timeout_ms)

    def validation_errors(self) -> list[str]:
        errors = super().validation_errors()
        if self.name != NAME:
            errors.append(f"name is {self.name!r}; must be {NAME!r}")
        for field in attrs.fields(CallerLimits):
            value = getattr(self, field.name)
            if field.name != "name" and value < 1:
                errors.append(f"{field.name} is {value}; must be at least 1")
        return errors
