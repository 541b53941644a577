"""Resource that maps requests by host and path to services."""

import datetime

import attrs

from balsamramp_core import resource

__all__ = ["Entry", "Part"]


@attrs.frozen(kw_only=True)
class Part:
    """One service of an entry; calls are divided by ``weight``."""

    service: str
    weight: int = 1


@attrs.frozen(kw_only=True)
class Entry(resource.Resource):
    """Requests to ``host`` whose path begins with ``path_prefix``.

    Callers address an entry by the Host header, without a service name.
    Of the entries of a host, the one with the longest matching prefix is
    used.

    Options: ``repeatable``, whether a request may run more than once;
    ``large``, whether responses are large, so that traffic between
    availability zones matters; ``attempts``, the maximum number of targets
    to which a request is sent; ``timeout_ms``, the maximum wait of a
    caller; ``objective_ms``, the latency objective; ``priority``, where 0
    is served first; ``needs_key``, whether a request must show the key of
    an organisation.

    Example::

        Entry(
            name="bookings",
            host="reservas.example",
            path_prefix="/v1/",
            parts=(Part(service="reservas", weight=9),
                   Part(service="reservas-next", weight=1)),
        )
    """

    kind = "entry"
    aliases = ("entries",)

    host: str
    path_prefix: str = "/"
    parts: tuple[Part, ...]
    repeatable: bool = False
    large: bool = False
    attempts: int = 1
    timeout_ms: int = 5000
    objective_ms: int = 1000
    priority: int = 0
    needs_key: bool = False

    @property
    def timeout(self) -> datetime.timedelta:
        """Return the maximum wait of a caller."""
        return datetime.timedelta(milliseconds=self.timeout_ms)

    @property
    def latency_objective(self) -> datetime.timedelta:
        """Return the time within which a response has its full value."""
        return datetime.timedelta(milliseconds=self.objective_ms)

    def dependencies(self) -> tuple[resource.ResourceKey, ...]:
        names = {part.service for part in self.parts}
        return tuple(
            resource.ResourceKey("service", name) for name in sorted(names)
        )

    def validation_errors(self) -> list[str]:
        errors = super().validation_errors()
        if not self.host:
            errors.append("host is empty")
        prefix = self.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            errors.append(
                f"path_prefix {prefix!r} must begin and end with '/'"
            )
        errors += self._part_errors()
        for field in ("attempts", "timeout_ms", "objective_ms"):
            if getattr(self, field) < 1:
                errors.append(
                    f"{field} is {getattr(self, field)}; must be at least 1"
                )
        if self.priority < 0:
            errors.append(f"priority is {self.priority}; must be at least 0")
        return errors

    def _part_errors(self) -> list[str]:
        errors = []
        names = [part.service for part in self.parts]
        if len(set(names)) < len(names):
            errors.append(f"parts have duplicate services: {', '.join(names)}")
        for part in self.parts:
            if part.weight < 0:
                errors.append(
                    f"weight of {part.service} is {part.weight}; "
                    "must be at least 0"
                )
        if not any(part.weight > 0 for part in self.parts):
            errors.append("no part has a weight above 0; at least one must")
        return errors
