"""Resource for labels that operators set on a target."""

import attrs

from balsamramp_core import resource

__all__ = ["Labels"]


@attrs.frozen(kw_only=True)
class Labels(resource.Resource):
    """Labels of the target called ``name``.

    They override the labels that the target itself announces. The target
    may not exist yet.
    """

    kind = "labels"
    aliases = ("label",)

    labels: dict[str, str] = attrs.field(factory=dict)

    def validation_errors(self) -> list[str]:
        errors = super().validation_errors()
        for key, value in sorted(self.labels.items()):
            errors += resource.check_name("label key", key)
            errors += resource.check_name(f"label {key}", value)
        return errors
