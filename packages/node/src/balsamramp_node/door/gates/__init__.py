"""The gates, looked up by name."""

from balsamramp_node.door import gate
from balsamramp_node.door.gates import by_limit
from balsamramp_node.door.gates import by_slots

__all__ = ["GATES"]

GATES: dict[str, type[gate.Gate]] = {
    item.name: item for item in (by_limit.LimitGate, by_slots.SlotGate)
}
