"""Registry of the resource kinds, keyed by name."""

from collections import abc
import typing

import msgspec
from returns import result

from balsamramp_core import resource
from balsamramp_core.resources import alias
from balsamramp_core.resources import caller_limits
from balsamramp_core.resources import entry
from balsamramp_core.resources import labels
from balsamramp_core.resources import organisation
from balsamramp_core.resources import rollout
from balsamramp_core.resources import rollout_order
from balsamramp_core.resources import route
from balsamramp_core.resources import service
from balsamramp_core.resources import zone

__all__ = [
    "KINDS",
    "KindNotFoundError",
    "decode",
    "encode",
    "find_kind",
]

KINDS: dict[str, type[resource.Resource]] = {
    item.kind: item
    for item in (
        alias.Alias,
        caller_limits.CallerLimits,
        entry.Entry,
        labels.Labels,
        organisation.Organisation,
        rollout.Rollout,
        rollout_order.RolloutOrder,
        route.Route,
        service.Service,
        zone.Zone,
    )
}


class KindNotFoundError(LookupError):
    """No kind of resource has the given name."""


def find_kind(name: str) -> type[resource.Resource]:
    """Return the class of a kind; raise KindNotFoundError if unknown."""
    for kind, item in KINDS.items():
        if name == kind or name in item.aliases:
            return item
    known = ", ".join(sorted(KINDS))
    raise KindNotFoundError(f"no kind {name!r}; known kinds: {known}")


def encode(item: resource.Resource) -> dict[str, typing.Any]:
    """Convert ``item`` to built-in types, with its kind as ``kind``."""
    fields = msgspec.to_builtins(item)
    return {"kind": item.kind, **fields}


def decode(
    document: abc.Mapping[str, typing.Any],
) -> result.Result[resource.Resource, str]:
    """Return the resource that ``document`` describes.

    The failure is a message for operators with the kind, the resource and
    the field.
    """
    fields = dict(document)
    kind_name = fields.pop("kind", None)
    if not isinstance(kind_name, str):
        return result.Failure("a resource lacks its 'kind'")
    try:
        kind = find_kind(kind_name)
    except KindNotFoundError as error:
        return result.Failure(str(error))
    where = f"{kind.kind}/{fields.get('name', '?')}"
    unknown = sorted(set(fields) - _field_names(kind))
    if unknown:
        return result.Failure(f"{where}: unknown field {unknown[0]!r}")
    try:
        item = msgspec.convert(fields, kind)
    except (msgspec.ValidationError, TypeError) as error:
        return result.Failure(f"{where}: {error}")
    errors = item.validation_errors()
    if errors:
        return result.Failure(f"{where}: {'; '.join(errors)}")
    return result.Success(item)


def _field_names(kind: type[resource.Resource]) -> set[str]:
    fields = typing.cast(typing.Any, kind).__attrs_attrs__
    return {field.name for field in fields}
