"""Service: a name that callers use to reach targets."""

import attrs

from balsamramp_core import resource

__all__ = ["Service"]


@attrs.frozen(kw_only=True)
class Service(resource.Resource):
    """A service known to the mesh.

    ``idempotent_methods`` lists the HTTP methods whose calls may be
    repeated without harm. A target that has just started is cold for
    ``warm_up_seconds`` and then bears only ``warm_up_rate`` calls a
    second; a rate of 0 sets no bound. ``connections_max`` is how many
    connections a target takes from its node. Under ``health_path``, if
    there is one, a target says whether it is leaving.
    """

    kind = "service"
    aliases = ("services", "svc")

    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    warm_up_seconds: float = 0.0
    warm_up_rate: float = 0.0
    connections_max: int = 100
    health_path: str = ""

    def validation_errors(self) -> list[str]:
        found = super().validation_errors()
        for field in ("warm_up_seconds", "warm_up_rate"):
            if getattr(self, field) < 0:
                found.append(f"{field} is {getattr(self, field)}")
        if self.connections_max < 1:
            found.append(f"connections_max is {self.connections_max}")
        return found
