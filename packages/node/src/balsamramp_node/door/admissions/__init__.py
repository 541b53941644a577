"""The admission limits, looked up by name."""

from balsamramp_node.door import admission
from balsamramp_node.door.admissions import adaptive
from balsamramp_node.door.admissions import fixed

__all__ = ["LIMITS", "LimitNotFoundError", "find_limit"]

LIMITS: dict[str, type[admission.AdmissionLimit]] = {
    item.name: item for item in (adaptive.AdaptiveLimit, fixed.FixedLimit)
}


class LimitNotFoundError(LookupError):
    """No admission limit has the given name."""


def find_limit(name: str) -> type[admission.AdmissionLimit]:
    """Return the admission limit called ``name``."""
    if name not in LIMITS:
        known = ", ".join(sorted(LIMITS))
        raise LimitNotFoundError(
            f"no admission limit {name!r}; known limits: {known}"
        )
    return LIMITS[name]
