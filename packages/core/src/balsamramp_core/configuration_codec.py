"""Encodes changes and snapshots as JSON for storage and for peers."""

from collections import abc
import datetime
import typing

import attrs
import msgspec
from returns import result

from balsamramp_core import configuration
from balsamramp_core import decoding
from balsamramp_core import resource
from balsamramp_core import resources

__all__ = [
    "change_from_bytes",
    "change_to_bytes",
    "changes_from_bytes",
    "changes_to_bytes",
    "snapshot_from_bytes",
    "snapshot_to_bytes",
]


def changes_to_bytes(changes: abc.Iterable[configuration.Change]) -> bytes:
    """Encode ``changes`` as one row of the log in storage."""
    return msgspec.json.encode(
        [_change_to_document(change) for change in changes]
    )


def changes_from_bytes(
    data: bytes,
) -> result.Result[list[configuration.Change], str]:
    """Decode the output of ``changes_to_bytes``."""
    try:
        documents = msgspec.json.decode(data, type=list)
        return result.Success(
            [_change_from_document(item) for item in documents]
        )
    except decoding.MALFORMED_ERRORS as error:
        return result.Failure(f"malformed changes: {error!r}")


def change_to_bytes(change: configuration.Change) -> bytes:
    """Encode ``change`` for peers."""
    return msgspec.json.encode(_change_to_document(change))


def change_from_bytes(data: bytes) -> result.Result[configuration.Change, str]:
    """Decode the output of ``change_to_bytes``."""
    try:
        return result.Success(_change_from_document(msgspec.json.decode(data)))
    except decoding.MALFORMED_ERRORS as error:
        return result.Failure(f"malformed change: {error!r}")


def _change_to_document(change: configuration.Change) -> dict[str, typing.Any]:
    return {
        "version": change.version,
        "base_version": change.base_version,
        "change_id": change.change_id,
        "base_digest": f"{change.base_digest:032x}",
        "digest": f"{change.digest:032x}",
        "author": change.author,
        "accepted_at": change.accepted_at,
        "puts": [resources.encode(item) for item in change.puts],
        "deletes": [[key.kind, key.name] for key in change.deletes],
    }


def _change_from_document(document: typing.Any) -> configuration.Change:
    return configuration.Change(
        version=int(document["version"]),
        base_version=int(document["base_version"]),
        change_id=str(document["change_id"]),
        base_digest=int(document["base_digest"], 16),
        digest=int(document["digest"], 16),
        author=str(document["author"]),
        accepted_at=datetime.datetime.fromisoformat(document["accepted_at"]),
        puts=tuple(_decode_items(document["puts"])),
        deletes=tuple(
            resource.ResourceKey(str(kind), str(name))
            for kind, name in document["deletes"]
        ),
    )


@attrs.frozen(kw_only=True)
class _SnapshotDocument:
    """Wire format of a snapshot; resources of each kind are unparsed."""

    version: int
    digest: str
    lineage: list[tuple[int, str, str, datetime.datetime]]
    kinds: dict[str, msgspec.Raw]


def snapshot_to_bytes(snapshot: configuration.Snapshot) -> bytes:
    """Encode a snapshot for the object store and for peers."""
    current = snapshot.configuration
    kinds = {}
    for kind in sorted(current.kinds):
        encoded = msgspec.json.encode(current.of_kind(kind))
        kinds[kind] = msgspec.Raw(encoded)
    document = _SnapshotDocument(
        version=current.version,
        digest=f"{current.digest:032x}",
        lineage=[
            (
                item.version,
                f"{item.digest:032x}",
                item.change_id,
                item.accepted_at,
            )
            for item in snapshot.accepted_versions
        ],
        kinds=kinds,
    )
    return msgspec.json.encode(document)


def snapshot_from_bytes(
    data: bytes,
) -> result.Result[configuration.Snapshot, str]:
    """Decode a snapshot; fail on a wrong digest or a missing reference."""
    items: list[resource.Resource] = []
    try:
        document = msgspec.json.decode(data, type=_SnapshotDocument)
        digest = int(document.digest, 16)
        lineage = tuple(
            _accepted_version_from_row(row) for row in document.lineage
        )
        for kind, encoded in document.kinds.items():
            kind_type = resources.find_kind(kind)
            items += msgspec.json.decode(
                encoded,
                type=list[kind_type],  # type: ignore[valid-type]
            )
    except (*decoding.MALFORMED_ERRORS, resources.KindNotFoundError) as error:
        return result.Failure(f"malformed snapshot: {error!r}")
    merged = configuration.merge(
        configuration.EMPTY, document.version, items, ()
    )
    if merged.digest != digest:
        return result.Failure(
            f"snapshot of version {document.version} does not match its digest"
        )
    for dependency in merged.dependants:
        if dependency not in merged.resources:
            return result.Failure(
                f"snapshot lacks {dependency}, to which a resource refers"
            )
    return result.Success(configuration.Snapshot(merged, lineage))


def _accepted_version_from_row(
    row: tuple[int, str, str, datetime.datetime],
) -> configuration.AcceptedVersion:
    version, digest, change_id, accepted_at = row
    return configuration.AcceptedVersion(
        version, int(digest, 16), change_id, accepted_at
    )


def _decode_items(documents: object) -> list[resource.Resource]:
    if not isinstance(documents, list):
        raise TypeError(
            f"resources are a {type(documents).__name__}, not a list"
        )
    items = []
    for document in documents:
        decoded = resources.decode(document)
        if isinstance(decoded, result.Failure):
            raise ValueError(decoded.failure())
        items.append(decoded.unwrap())
    return items
