"""Resource for a service, under whose name callers reach targets."""

import attrs

from balsamramp_core import resource

__all__ = ["Service"]


@attrs.frozen(kw_only=True)
class Service(resource.Resource):
    """A service of the mesh.

    ``idempotent_methods`` lists the HTTP methods whose calls may be
    retried safely. A target that has just started is cold for
    ``warm_up_seconds``, and can serve only ``warm_up_rate`` calls a second
    during that time; a rate of 0 sets no limit. ``connections_max`` limits
    the connections from the node to one target. At ``health_path``, if set,
    a target reports whether it is leaving.
    """

    kind = "service"
    aliases = ("services", "svc")

    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    warm_up_seconds: float = 0.0
    warm_up_rate: float = 0.0
    connections_max: int = 100
    health_path: str = ""

    def validation_errors(self) -> list[str]:
        errors = super().validation_errors()
        for field in ("warm_up_seconds", "warm_up_rate"):
            if getattr(self, field) < 0:
                errors.append(
                    f"{field} is {getattr(self, field)}; must be at least 0"
                )
        if self.connections_max < 1:
            errors.append(
                f"connections_max is {self.connections_max}; "
                "must be at least 1"
            )
        return errors
