"""Configuration: one numbered state of all resources, and its changes."""

from collections import abc
import datetime
import enum
import hashlib

import attrs
import msgspec
from returns import result

from balsamramp_core import resource
from balsamramp_core import resources

__all__ = [
    "Change",
    "Configuration",
    "EMPTY",
    "Refusal",
    "RefusalKind",
    "apply_change",
    "change_from_bytes",
    "change_to_bytes",
    "configuration_from_bytes",
    "configuration_to_bytes",
]


DIGEST_BYTES = 16
DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)


@attrs.frozen
class Configuration:
    """All resources at one version.

    ``digest`` depends on the resources alone: it is the sum of a hash of
    each, so a change updates it without reading the rest.
    """

    version: int
    resources: abc.Mapping[resource.ResourceKey, resource.Resource]
    digest: int

    def of_kind(self, kind: str) -> list[resource.Resource]:
        """Return the resources of ``kind``, sorted by name."""
        found = [
            item for key, item in self.resources.items() if key.kind == kind
        ]
        return sorted(found, key=lambda item: item.name)


@attrs.frozen(kw_only=True)
class Change:
    """The step from version ``version - 1`` to ``version``.

    ``change_id`` is chosen by the author and makes a repeated submission
    recognisable. ``base_digest`` is the digest of the configuration that
    the change builds on and ``digest`` that of the result.
    """

    version: int
    change_id: str
    base_digest: int
    digest: int
    author: str
    accepted_at: datetime.datetime
    puts: tuple[resource.Resource, ...] = ()
    deletes: tuple[resource.ResourceKey, ...] = ()


class RefusalKind(enum.Enum):
    """Why a configuration store refuses a change."""

    DANGLING = "dangling"
    DIGEST = "digest"
    GAP = "gap"
    INVALID = "invalid"
    OLD = "old"


@attrs.frozen
class Refusal:
    """A change that was not applied, not even in part."""

    kind: RefusalKind
    message: str


EMPTY = Configuration(0, {}, 0)


def item_hash(item: resource.Resource) -> int:
    """Return the hash that ``item`` adds to a digest."""
    encoded = msgspec.json.encode(resources.encode(item), order="sorted")
    return int.from_bytes(hashlib.sha256(encoded).digest()[:DIGEST_BYTES])


def apply_change(
    base: Configuration, change: Change
) -> result.Result[Configuration, Refusal]:
    """Return the configuration after ``change``, checked entirely.

    Nothing of ``base`` is altered, so a refused change leaves no trace.
    """
    if change.version <= base.version:
        message = f"version {change.version} is not after {base.version}"
        return result.Failure(Refusal(RefusalKind.OLD, message))
    if change.version != base.version + 1:
        message = f"version {change.version} does not follow {base.version}"
        return result.Failure(Refusal(RefusalKind.GAP, message))
    if change.base_digest != base.digest:
        message = f"version {change.version} builds on another state"
        return result.Failure(Refusal(RefusalKind.DIGEST, message))
    merged = merge(base, change.puts, change.deletes)
    found = problems(merged, change)
    if found:
        return result.Failure(found[0])
    if merged.digest != change.digest:
        message = f"version {change.version} yields another digest"
        return result.Failure(Refusal(RefusalKind.DIGEST, message))
    return result.Success(merged)


def merge(
    base: Configuration,
    puts: abc.Iterable[resource.Resource],
    deletes: abc.Iterable[resource.ResourceKey],
) -> Configuration:
    """Return ``base`` with ``puts`` and ``deletes``, one version on."""
    items = dict(base.resources)
    digest = base.digest
    for item in puts:
        previous = items.get(item.key)
        if previous is not None:
            digest -= item_hash(previous)
        digest += item_hash(item)
        items[item.key] = item
    for key in deletes:
        previous = items.pop(key, None)
        if previous is not None:
            digest -= item_hash(previous)
    return Configuration(base.version + 1, items, digest % DIGEST_MODULUS)


def problems(merged: Configuration, change: Change) -> list[Refusal]:
    """Return why ``merged`` must not come into force; empty if it may."""
    found: list[Refusal] = []
    for item in change.puts:
        for message in item.problems():
            text = f"{item.key}: {message}"
            found.append(Refusal(RefusalKind.INVALID, text))
    checked = change.puts if not change.deletes else merged.resources.values()
    for item in checked:
        for needed in item.dependencies():
            if needed in merged.resources:
                continue
            text = f"{item.key} needs {needed}, which does not exist"
            found.append(Refusal(RefusalKind.DANGLING, text))
    return found


def change_to_bytes(change: Change) -> bytes:
    """Encode ``change`` for the platform's table and for peers."""
    document = {
        "version": change.version,
        "change_id": change.change_id,
        "base_digest": f"{change.base_digest:032x}",
        "digest": f"{change.digest:032x}",
        "author": change.author,
        "accepted_at": change.accepted_at,
        "puts": [resources.encode(item) for item in change.puts],
        "deletes": [[key.kind, key.name] for key in change.deletes],
    }
    return msgspec.json.encode(document)


def change_from_bytes(data: bytes) -> result.Result[Change, str]:
    """Decode what ``change_to_bytes`` wrote; the failure says why not."""
    try:
        document = msgspec.json.decode(data)
        puts = _decode_items(document["puts"])
        change = Change(
            version=int(document["version"]),
            change_id=str(document["change_id"]),
            base_digest=int(document["base_digest"], 16),
            digest=int(document["digest"], 16),
            author=str(document["author"]),
            accepted_at=datetime.datetime.fromisoformat(
                document["accepted_at"]
            ),
            puts=tuple(puts),
            deletes=tuple(
                resource.ResourceKey(str(kind), str(name))
                for kind, name in document["deletes"]
            ),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        msgspec.MsgspecError,
    ) as error:
        return result.Failure(f"malformed change: {error!r}")
    return result.Success(change)


def configuration_to_bytes(configuration: Configuration) -> bytes:
    """Encode a whole configuration as a snapshot."""
    document = {
        "version": configuration.version,
        "digest": f"{configuration.digest:032x}",
        "resources": [
            resources.encode(configuration.resources[key])
            for key in sorted(configuration.resources)
        ],
    }
    return msgspec.json.encode(document)


def configuration_from_bytes(
    data: bytes,
) -> result.Result[Configuration, str]:
    """Decode a snapshot; refuse one whose digest or references fail."""
    try:
        document = msgspec.json.decode(data)
        items = _decode_items(document["resources"])
        version = int(document["version"])
        digest = int(document["digest"], 16)
    except (
        KeyError,
        TypeError,
        ValueError,
        msgspec.MsgspecError,
    ) as error:
        return result.Failure(f"malformed snapshot: {error!r}")
    by_key = {item.key: item for item in items}
    total = sum(item_hash(item) for item in by_key.values())
    if total % DIGEST_MODULUS != digest:
        return result.Failure("snapshot does not match its digest")
    for item in by_key.values():
        for needed in item.dependencies():
            if needed in by_key:
                continue
            return result.Failure(f"snapshot lacks {needed}")
    return result.Success(Configuration(version, by_key, digest))


def _decode_items(documents: object) -> list[resource.Resource]:
    if not isinstance(documents, list):
        raise TypeError("resources are not a list")
    items = []
    for document in documents:
        decoded = resources.decode(document)
        if isinstance(decoded, result.Failure):
            raise ValueError(decoded.failure())
        items.append(decoded.unwrap())
    return items
