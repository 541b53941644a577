"""The target limiters by name."""

from balsamramp_node.inbound import target_limiter
from balsamramp_node.inbound.limiters import concurrency_limiter
from balsamramp_node.inbound.limiters import slot_limiter

__all__ = ["LIMITERS"]

LIMITERS: dict[str, type[target_limiter.TargetLimiter]] = {
    item.name: item
    for item in (
        concurrency_limiter.ConcurrencyLimiter,
        slot_limiter.SlotLimiter,
    )
}
