"""Resource that maps paths of a service to its targets."""

import attrs

from balsamramp_core import resource

__all__ = ["Route"]


@attrs.frozen(kw_only=True)
class Route(resource.Resource):
    """Paths of ``service`` and the selector of the targets behind them.

    A target matches if it has every label of ``selector``. The route with
    the longest matching ``path_prefix`` is used.
    """

    kind = "route"
    aliases = ("routes",)

    service: str
    path_prefix: str = "/"
    selector: dict[str, str] = attrs.field(factory=dict)

    def dependencies(self) -> tuple[resource.ResourceKey, ...]:
        return (resource.ResourceKey("service", self.service),)

    def validation_errors(self) -> list[str]:
        errors = super().validation_errors()
        if not self.path_prefix.startswith("/"):
            errors.append(f"path_prefix {self.path_prefix!r} lacks its '/'")
        return errors
