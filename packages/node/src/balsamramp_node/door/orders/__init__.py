"""The queue orders, looked up by name."""

from balsamramp_node.door import queue_order
from balsamramp_node.door.orders import arrival
from balsamramp_node.door.orders import deadline
from balsamramp_node.door.orders import latest
from balsamramp_node.door.orders import worth

__all__ = ["ORDERS", "OrderNotFoundError", "find_order"]

ORDERS: dict[str, type[queue_order.QueueOrder]] = {
    item.name: item
    for item in (
        arrival.ArrivalOrder,
        deadline.DeadlineOrder,
        latest.LatestOrder,
        worth.WorthOrder,
    )
}


class OrderNotFoundError(LookupError):
    """No queue order has the given name."""


def find_order(name: str) -> type[queue_order.QueueOrder]:
    """Return the queue order called ``name``."""
    if name not in ORDERS:
        known = ", ".join(sorted(ORDERS))
        raise OrderNotFoundError(
            f"no queue order {name!r}; known orders: {known}"
        )
    return ORDERS[name]
