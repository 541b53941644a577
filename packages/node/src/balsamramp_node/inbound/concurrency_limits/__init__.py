"""The concurrency limits by name."""

from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound.concurrency_limits import adaptive
from balsamramp_node.inbound.concurrency_limits import fixed

__all__ = ["LIMITS", "LimitNotFoundError", "find_limit"]

LIMITS: dict[str, type[concurrency_limit.ConcurrencyLimit]] = {
    item.name: item for item in (adaptive.AdaptiveLimit, fixed.FixedLimit)
}


class LimitNotFoundError(LookupError):
    """No concurrency limit has the given name."""


def find_limit(name: str) -> type[concurrency_limit.ConcurrencyLimit]:
    """Return the concurrency limit called ``name``.

    Raises LimitNotFoundError if there is none.
    """
    if name not in LIMITS:
        known = ", ".join(sorted(LIMITS))
        raise LimitNotFoundError(
            f"unknown concurrency limit {name!r}; must be one of: {known}"
        )
    return LIMITS[name]
