"""Comparison of resources with the configuration in force."""

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
    """Effect of a change on one resource."""

    ADD = "add"
    CHANGE = "change"
    KEEP = "keep"


@attrs.frozen
class Difference:
    """One resource with the old and new value of each changed field."""

    key: resource.ResourceKey
    action: ChangeAction
    fields: dict[str, tuple[str, str]] = attrs.field(factory=dict)


def compute_diff(
    current: configuration.Configuration,
    items: abc.Sequence[resource.Resource],
) -> list[Difference]:
    """Return the difference that each of ``items`` makes to ``current``."""
    computed = []
    for item in items:
        existing = current.resources.get(item.key)
        if existing is None:
            fields = _changed_fields({}, resources.encode(item))
            computed.append(Difference(item.key, ChangeAction.ADD, fields))
            continue
        fields = _changed_fields(
            resources.encode(existing), resources.encode(item)
        )
        action = ChangeAction.CHANGE if fields else ChangeAction.KEEP
        computed.append(Difference(item.key, action, fields))
    return computed


def validation_error(
    current: configuration.Configuration,
    items: abc.Sequence[resource.Resource],
    time: clock.Clock,
) -> str:
    """Return why a node would reject ``items``, or an empty string."""
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
    """Return the output for ``differences`` from ``version``."""
    document = [
        {
            "resource": str(item.key),
            "step": item.action.value,
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
        rows.append((item.action.value, str(item.key), "; ".join(texts)))
    changed = [
        item for item in differences if item.action is not ChangeAction.KEEP
    ]
    summary = f"{len(changed)} of {len(differences)} would change"
    return output.Output(
        {"base_version": version, "differences": document},
        (output.Table(("STEP", "RESOURCE", "FIELDS"), tuple(rows)),),
        (f"{summary} version {version}",),
    )


def _changed_fields(
    old: abc.Mapping[str, object], new: abc.Mapping[str, object]
) -> dict[str, tuple[str, str]]:
    changed = {}
    for name in sorted(new):
        if name in ("kind", "name") or old.get(name) == new[name]:
            continue
        before = "" if name not in old else str(old[name])
        changed[name] = (before, str(new[name]))
    return changed
