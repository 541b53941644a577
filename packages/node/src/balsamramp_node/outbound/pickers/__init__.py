"""Registry of the target pickers by name."""

from balsamramp_node.outbound import picker
from balsamramp_node.outbound.pickers import even_load
from balsamramp_node.outbound.pickers import expected_finish
from balsamramp_node.outbound.pickers import least_of_two
from balsamramp_node.outbound.pickers import round_robin
from balsamramp_node.outbound.pickers import zone_first

__all__ = ["PICKERS", "PickerNotFoundError", "find_picker"]

PICKERS: dict[str, type[picker.TargetPicker]] = {
    item.name: item
    for item in (
        even_load.EvenLoad,
        expected_finish.ExpectedFinish,
        least_of_two.LeastOfTwo,
        round_robin.RoundRobin,
        zone_first.ZoneFirst,
    )
}


class PickerNotFoundError(LookupError):
    """No target picker has the given name."""


def find_picker(name: str) -> type[picker.TargetPicker]:
    """Return the target picker class ``name``.

    Raises PickerNotFoundError for an unknown name.
    """
    if name not in PICKERS:
        known = ", ".join(sorted(PICKERS))
        raise PickerNotFoundError(
            f"unknown target picker {name!r}; known pickers: {known}"
        )
    return PICKERS[name]
