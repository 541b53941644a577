"""Versioned configuration: all resources at a version, and changes."""

from collections import abc
import datetime
import enum
import hashlib
import typing

import attrs
import immutables
import msgspec
from returns import result

from balsamramp_core import resource

__all__ = [
    "AcceptedVersion",
    "Change",
    "Configuration",
    "EMPTY",
    "Refusal",
    "RefusalKind",
    "Snapshot",
    "apply_change",
    "changed_keys",
    "make_change",
    "merge",
    "problems",
]


DIGEST_BYTES = 16
DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)

ResourceMap = immutables.Map[resource.ResourceKey, resource.Resource]
KindMap = immutables.Map[str, immutables.Map[str, resource.Resource]]
CountMap = immutables.Map[resource.ResourceKey, int]


@attrs.frozen
class Configuration:
    """All resources at one version.

    ``digest`` depends on the resources alone: it is the sum of their
    hashes, so a change updates it without hashing the unchanged resources.
    ``kinds`` holds the same resources by kind and name, and ``dependants``
    counts the resources that depend on a key. ``resources`` and these two
    are persistent maps: a change shares unchanged entries with its base.
    """

    version: int
    resources: ResourceMap
    digest: int
    kinds: KindMap = immutables.Map()
    dependants: CountMap = immutables.Map()

    def of_kind(self, kind: str) -> list[resource.Resource]:
        """Return the resources of ``kind``, sorted by name."""
        named = self.kinds.get(kind)
        if named is None:
            return []
        return [named[name] for name in sorted(named)]


@attrs.frozen(kw_only=True)
class Change:
    """The difference from ``base_version`` to ``version``.

    ``change_id`` is chosen by the author and identifies repeated
    submissions. ``base_digest`` is the digest of the configuration that
    the change is based on, ``digest`` the digest of the result.
    ``version`` is ``base_version + 1``, or higher if the log in storage
    lost versions in between.
    """

    version: int
    base_version: int
    change_id: str
    base_digest: int
    digest: int
    author: str
    accepted_at: datetime.datetime
    puts: tuple[resource.Resource, ...] = ()
    deletes: tuple[resource.ResourceKey, ...] = ()


class RefusalKind(enum.Enum):
    """Reason why a change is not applied."""

    DANGLING = "dangling"
    DIVERGED = "diverged"
    GAP = "gap"
    INVALID = "invalid"
    OLD = "old"


@attrs.frozen
class Refusal:
    """Reason and message for a change that was not applied."""

    kind: RefusalKind
    message: str


@attrs.frozen
class AcceptedVersion:
    """Digest, change and time of one accepted version."""

    version: int
    digest: int
    change_id: str
    accepted_at: datetime.datetime


@attrs.frozen
class Snapshot:
    """A configuration with the most recently accepted versions.

    ``accepted_versions`` lets a node that starts from the snapshot detect
    repeated submissions and an outdated head of the log in storage.
    """

    configuration: Configuration
    accepted_versions: tuple[AcceptedVersion, ...] = ()


EMPTY = Configuration(0, immutables.Map(), 0)


def item_hash(item: resource.Resource) -> int:
    """Return the hash of ``item``, a summand of the digest."""
    hashed = hashlib.blake2b(item.kind.encode(), digest_size=DIGEST_BYTES)
    hashed.update(msgspec.json.encode(item, order="sorted"))
    return int.from_bytes(hashed.digest())


def make_change(
    base: Configuration,
    version: int,
    change_id: str,
    author: str,
    accepted_at: datetime.datetime,
    puts: tuple[resource.Resource, ...] = (),
    deletes: tuple[resource.ResourceKey, ...] = (),
) -> Change:
    """Return the change from ``base`` to ``version``, with its digests."""
    merged = merge(base, version, puts, deletes)
    return Change(
        version=version,
        base_version=base.version,
        change_id=change_id,
        base_digest=base.digest,
        digest=merged.digest,
        author=author,
        accepted_at=accepted_at,
        puts=puts,
        deletes=deletes,
    )


def apply_change(
    base: Configuration, change: Change
) -> result.Result[Configuration, Refusal]:
    """Return the configuration after ``change``, fully validated.

    ``base`` is not modified, so a refused change has no effect.
    """
    refusal = _check_base(base, change)
    if refusal is not None:
        return result.Failure(refusal)
    merged = merge(base, change.version, change.puts, change.deletes)
    refusals = problems(merged, change)
    if refusals:
        return result.Failure(refusals[0])
    if merged.digest != change.digest:
        message = f"version {change.version} does not match its digest"
        return result.Failure(Refusal(RefusalKind.INVALID, message))
    return result.Success(merged)


def _check_base(base: Configuration, change: Change) -> Refusal | None:
    if change.version <= base.version:
        message = f"version {change.version} is not after {base.version}"
        return Refusal(RefusalKind.OLD, message)
    if change.base_version > base.version:
        message = f"version {change.version} does not follow {base.version}"
        return Refusal(RefusalKind.GAP, message)
    base_state = (base.version, base.digest)
    if (change.base_version, change.base_digest) == base_state:
        return None
    message = f"version {change.version} is based on a different configuration"
    return Refusal(RefusalKind.DIVERGED, message)


def merge(
    base: Configuration,
    version: int,
    puts: abc.Iterable[resource.Resource],
    deletes: abc.Iterable[resource.ResourceKey],
) -> Configuration:
    """Apply ``puts`` and ``deletes`` to ``base`` without validation."""
    editor = _Editor(base)
    for item in puts:
        key = item.key
        editor.remove(key)
        editor.add(key, item)
    for key in deletes:
        editor.remove(key)
    return editor.finish(version)


class _Editor:
    """Applies several edits to the maps of a configuration at once."""

    def __init__(self, base: Configuration) -> None:
        self._base = base
        self._items = base.resources.mutate()
        self._counts = base.dependants.mutate()
        self._digest = base.digest
        self._kinds: dict[str, typing.Any] = {}

    def add(self, key: resource.ResourceKey, item: resource.Resource) -> None:
        self._items[key] = item
        self._digest += item_hash(item)
        self._names_of_kind(item.kind)[item.name] = item
        for dependency in item.dependencies():
            self._counts[dependency] = self._counts.get(dependency, 0) + 1

    def remove(self, key: resource.ResourceKey) -> None:
        previous = self._items.pop(key, None)
        if previous is None:
            return
        self._digest -= item_hash(previous)
        del self._names_of_kind(key.kind)[key.name]
        for dependency in previous.dependencies():
            count = self._counts[dependency] - 1
            if count:
                self._counts[dependency] = count
            else:
                del self._counts[dependency]

    def finish(self, version: int) -> Configuration:
        kinds = self._base.kinds
        for kind, names in self._kinds.items():
            kinds = kinds.set(kind, names.finish())
        return Configuration(
            version,
            self._items.finish(),
            self._digest % DIGEST_MODULUS,
            kinds,
            self._counts.finish(),
        )

    def _names_of_kind(self, kind: str) -> typing.Any:
        if kind not in self._kinds:
            named = self._base.kinds.get(kind, immutables.Map())
            self._kinds[kind] = named.mutate()
        return self._kinds[kind]


def problems(merged: Configuration, change: Change) -> list[Refusal]:
    """Return why ``merged`` is invalid; empty if it is valid."""
    refusals: list[Refusal] = []
    for item in change.puts:
        for message in item.validation_errors():
            text = f"{item.key}: {message}"
            refusals.append(Refusal(RefusalKind.INVALID, text))
        if item.key in merged.resources:
            refusals += _dangling_references(merged, item)
    for key in change.deletes:
        if key in merged.resources or not merged.dependants.get(key):
            continue
        for item in merged.resources.values():
            if key in item.dependencies():
                refusals += _dangling_references(merged, item)
    return refusals


def _dangling_references(
    merged: Configuration, item: resource.Resource
) -> list[Refusal]:
    refusals = []
    for dependency in item.dependencies():
        if dependency in merged.resources:
            continue
        text = f"{item.key} needs {dependency}, which does not exist"
        refusals.append(Refusal(RefusalKind.DANGLING, text))
    return refusals


def changed_keys(
    earlier: Configuration, later: Configuration
) -> frozenset[resource.ResourceKey]:
    """Return the keys of added, changed and deleted resources."""
    changed = set()
    for key, item in later.resources.items():
        if earlier.resources.get(key) != item:
            changed.add(key)
    for key in earlier.resources:
        if key not in later.resources:
            changed.add(key)
    return frozenset(changed)
