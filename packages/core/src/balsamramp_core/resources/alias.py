"""Resource for an alternative name of a service."""

import attrs

from balsamramp_core import resource

__all__ = ["Alias"]


@attrs.frozen(kw_only=True)
class Alias(resource.Resource):
    """An alternative name of ``service``."""

    kind = "alias"
    aliases = ("aliases",)

    service: str

    def dependencies(self) -> tuple[resource.ResourceKey, ...]:
        return (resource.ResourceKey("service", self.service),)
