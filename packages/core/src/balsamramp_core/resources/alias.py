"""Alias: another spelling of a service name."""

import attrs

from balsamramp_core import resource

__all__ = ["Alias"]


@attrs.frozen(kw_only=True)
class Alias(resource.Resource):
    """A spelling that operators accept for ``service``."""

    kind = "alias"
    aliases = ("aliases",)

    service: str

    def dependencies(self) -> tuple[resource.ResourceKey, ...]:
        return (resource.ResourceKey("service", self.service),)
