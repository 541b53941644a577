"""Service: a name that callers use to reach targets."""

import attrs

from balsamramp_core import resource

__all__ = ["Service"]


@attrs.frozen(kw_only=True)
class Service(resource.Resource):
    """A service known to the mesh.

    ``idempotent_methods`` lists the HTTP methods whose calls may be
    repeated without harm.
    """

    kind = "service"
    aliases = ("services", "svc")

    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
