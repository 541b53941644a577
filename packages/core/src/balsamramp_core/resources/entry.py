"""Entry: which requests go to which services, and on what terms."""

import datetime

import attrs

from balsamramp_core import resource

__all__ = ["Entry", "Part"]


@attrs.frozen(kw_only=True)
class Part:
    """One service behind an entry; ``weight`` is its part of the calls."""

    service: str
    weight: int = 1


@attrs.frozen(kw_only=True)
class Entry(resource.Resource):
    """Requests to ``host`` whose path begins with ``path_prefix``.

    Callers reach an entry by the Host header, without naming a service.
    Of the entries of one host the longest matching prefix wins.

    Options: ``repeatable``, whether a request may run more than once;
    ``large``, whether answers are big, so that the availability zone they
    cross matters; ``attempts``, the number of targets that one request
    may be sent to; ``timeout_ms``, how long a caller is kept waiting;
    ``objective_ms``, within which an answer is worth most; ``priority``,
    0 is served first.

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

    @property
    def timeout(self) -> datetime.timedelta:
        """Return how long a caller is kept waiting at most."""
        return datetime.timedelta(milliseconds=self.timeout_ms)

    @property
    def latency_objective(self) -> datetime.timedelta:
        """Return the time within which an answer is worth most."""
        return datetime.timedelta(milliseconds=self.objective_ms)

    def dependencies(self) -> tuple[resource.ResourceKey, ...]:
        names = {part.service for part in self.parts}
        return tuple(
            resource.ResourceKey("service", name) for name in sorted(names)
        )

    def validation_errors(self) -> list[str]:
        found = super().validation_errors()
        if not self.host:
            found.append("host is empty")
        prefix = self.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            found.append(
                f"path_prefix {prefix!r} does not begin and end with '/'"
            )
        found += self._part_problems()
        for field in ("attempts", "timeout_ms", "objective_ms"):
            if getattr(self, field) < 1:
                found.append(f"{field} is {getattr(self, field)}, not 1 or up")
        if self.priority < 0:
            found.append(f"priority is {self.priority}, not 0 or up")
        return found

    def _part_problems(self) -> list[str]:
        found = []
        names = [part.service for part in self.parts]
        if len(set(names)) < len(names):
            found.append("parts name a service twice")
        for part in self.parts:
            if part.weight < 0:
                found.append(f"weight of {part.service} is {part.weight}")
        if not any(part.weight > 0 for part in self.parts):
            found.append("no part has a weight above 0")
        return found
