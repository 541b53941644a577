"""Differences: what a file would change in the configuration."""

from collections import abc
import enum

import attrs
from returns import result

from balsamramp_client import output
from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import resource
from balsamramp_core import resources

__all__ = [
    "Difference",
    "ChangeAction",
    "compute_diff",
    "describe",
    "validation_error",
]


class ChangeAction(enum.Enum):
    """What becomes of one resource."""

    ADD = "add"
    CHANGE = "change"
    KEEP = "keep"


@attrs.frozen
class Difference:
    """One resource and the fields that change, old and new value."""

    key: resource.ResourceKey
    step: ChangeAction
    fields: dict[str, tuple[str, str]] = attrs.field(factory=dict)


def compute_diff(
    current: configuration.Configuration,
    items: abc.Sequence[resource.Resource],
) -> list[Difference]:
    """Return what putting ``items`` would change in ``current``."""
    found = []
    for item in items:
        known = current.resources.get(item.key)
        if known is None:
            fields = _fields({}, resources.encode(item))
            found.append(Difference(item.key, ChangeAction.ADD, fields))
            continue
        fields = _fields(resources.encode(known), resources.encode(item))
        step = ChangeAction.CHANGE if fields else ChangeAction.KEEP
        found.append(Difference(item.key, step, fields))
    return found


def validation_error(
    current: configuration.Configuration,
    items: abc.Sequence[resource.Resource],
    time: clock.Clock,
) -> str:
    """Return why a node would refuse to put ``items``, or nothing."""
    change = configuration.make_change(
        current, current.version + 1, "", "", time.now(), tuple(items)
    )
    applied = configuration.apply_change(current, change)
    if isinstance(applied, result.Success):
        return ""
    return applied.failure().message


def describe(
    differences: abc.Sequence[Difference], version: int
) -> output.Output:
    """Return ``differences`` from ``version`` for printing."""
    document = [
        {
            "resource": str(item.key),
            "step": item.step.value,
            "fields": {
                name: {"old": old, "new": new}
                for name, (old, new) in item.fields.items()
            },
        }
        for item in differences
    ]
    rows = []
    for item in differences:
        texts = [
            f"{name}: {old} -> {new}" if old else f"{name}: {new}"
            for name, (old, new) in item.fields.items()
        ]
        rows.append((item.step.value, str(item.key), "; ".join(texts)))
    changed = [
        item for item in differences if item.step is not ChangeAction.KEEP
    ]
    note = f"{len(changed)} of {len(differences)} would change"
    return output.Output(
        {"base_version": version, "differences": document},
        (output.Table(("STEP", "RESOURCE", "FIELDS"), tuple(rows)),),
        (f"{note} version {version}",),
    )


def _fields(
    old: abc.Mapping[str, object], new: abc.Mapping[str, object]
) -> dict[str, tuple[str, str]]:
    changed = {}
    for name in sorted(new):
        if name in ("kind", "name") or old.get(name) == new[name]:
            continue
        before = "" if name not in old else str(old[name])
        changed[name] = (before, str(new[name]))
    return changed
