"""Accepted log: the accepted changes as the platform keeps them.

The table holds the head, one row, and the log, one row for each
transaction with the changes that it accepted. The object store holds
snapshots named by version and content hash; rows behind the snapshot
that the head names may be trimmed.
"""

import hashlib

import attrs
import msgspec
from returns import result

from balsamramp_core import configuration
from balsamramp_core import configuration_codec
from balsamramp_core import storage

__all__ = ["AcceptedLog", "Head", "HeadRow", "log_key"]

HEAD_KEY = "configuration/head"
LOG_PREFIX = "configuration/log/"
SNAPSHOT_PREFIX = "configuration/snapshots/"
VERSION_DIGITS = 12
READ_MAX_ROWS = 256
TRIM_MAX_ROWS = 64
SNAPSHOTS_KEPT = 2


@attrs.frozen(kw_only=True)
class Head:
    """The latest accepted version, its digest and the latest snapshot.

    ``digest`` is hexadecimal. ``snapshot`` is the key of an object, or
    empty, and holds version ``snapshot_version``.
    """

    version: int = 0
    digest: str = f"{0:032x}"
    snapshot: str = ""
    snapshot_version: int = 0


@attrs.frozen
class HeadRow:
    """The head and the revision under which it was read."""

    head: Head
    revision: int

    @property
    def version(self) -> int:
        """Return the latest accepted version."""
        return self.head.version

    @property
    def digest(self) -> int:
        """Return the digest of the latest accepted version."""
        return int(self.head.digest, 16)


def log_key(version: int) -> str:
    """Return the table key of the row that ends with this version."""
    return f"{LOG_PREFIX}{version:0{VERSION_DIGITS}d}"


class AcceptedLog:
    """Reads and extends the accepted changes on the platform."""

    def __init__(
        self, table: storage.Table, objects: storage.ObjectStore
    ) -> None:
        self._table = table
        self._objects = objects

    async def read_head(
        self,
    ) -> result.Result[HeadRow, storage.StorageError]:
        """Return the head; version 0 if nothing was ever accepted."""
        read = await self._table.read(HEAD_KEY)
        if isinstance(read, result.Failure):
            return read
        row = read.unwrap()
        if row is None:
            return result.Success(HeadRow(Head(), 0))
        try:
            head = msgspec.json.decode(row.value, type=Head)
        except msgspec.MsgspecError as error:
            kind = storage.StorageErrorKind.UNAVAILABLE
            text = f"malformed head: {error}"
            return result.Failure(storage.StorageError(kind, text))
        return result.Success(HeadRow(head, row.revision))

    async def read_after(
        self, version: int
    ) -> result.Result[list[configuration.Change], storage.StorageError]:
        """Return the changes in the rows behind ``version``, in order."""
        changes: list[configuration.Change] = []
        after = log_key(version)
        while True:
            scanned = await self._table.scan(LOG_PREFIX, after, READ_MAX_ROWS)
            if isinstance(scanned, result.Failure):
                return scanned
            rows = scanned.unwrap()
            for row in rows:
                decoded = configuration_codec.changes_from_bytes(row.value)
                if isinstance(decoded, result.Failure):
                    return result.Failure(
                        _malformed(f"{row.key}: {decoded.failure()}")
                    )
                changes += decoded.unwrap()
                after = row.key
            if len(rows) < READ_MAX_ROWS:
                return result.Success(changes)

    async def append(
        self, seen: HeadRow, changes: list[configuration.Change]
    ) -> result.Result[None, storage.StorageError]:
        """Accept ``changes`` in one transaction behind ``seen``."""
        last = changes[-1]
        head = attrs.evolve(
            seen.head, version=last.version, digest=f"{last.digest:032x}"
        )
        row = storage.Write(
            log_key(last.version),
            configuration_codec.changes_to_bytes(changes),
        )
        return await self._write_head(seen, head, (row,))

    async def load(
        self, seen: HeadRow
    ) -> result.Result[configuration.Snapshot, storage.StorageError]:
        """Return the state at the end of the log, built from nothing."""
        base = configuration.Snapshot(configuration.EMPTY)
        if seen.head.snapshot:
            read = await self._read_snapshot(seen.head.snapshot)
            if isinstance(read, result.Failure):
                return read
            base = read.unwrap()
        scanned = await self.read_after(base.configuration.version)
        if isinstance(scanned, result.Failure):
            return scanned
        state = base.configuration
        lineage = list(base.accepted_versions)
        for change in scanned.unwrap():
            applied = configuration.apply_change(state, change)
            if isinstance(applied, result.Failure):
                return result.Failure(_malformed(applied.failure().message))
            state = applied.unwrap()
            lineage.append(
                configuration.AcceptedVersion(
                    change.version,
                    change.digest,
                    change.change_id,
                    change.accepted_at,
                )
            )
        return result.Success(configuration.Snapshot(state, tuple(lineage)))

    async def write_snapshot(
        self, seen: HeadRow, snapshot: configuration.Snapshot
    ) -> result.Result[None, storage.StorageError]:
        """Store ``snapshot`` and name it in the head behind ``seen``.

        Where the head is older than the snapshot, as after the table
        was restored from a backup, the head takes on its version. Rows
        behind the snapshot before the previous one are deleted, a
        bounded number at a time.
        """
        data = configuration_codec.snapshot_to_bytes(snapshot)
        state = snapshot.configuration
        name = f"{state.version:0{VERSION_DIGITS}d}"
        key = f"{SNAPSHOT_PREFIX}{name}-{hashlib.sha256(data).hexdigest()}"
        stored = await self._objects.put(key, data)
        if isinstance(stored, result.Failure):
            return stored
        head = attrs.evolve(
            seen.head, snapshot=key, snapshot_version=state.version
        )
        if state.version > seen.version:
            digest = f"{state.digest:032x}"
            head = attrs.evolve(head, version=state.version, digest=digest)
        trimmed = await self._rows_before(seen.head.snapshot_version)
        written = await self._write_head(seen, head, trimmed)
        if isinstance(written, result.Success):
            await self._delete_old_snapshots(key)
        return written

    async def _rows_before(self, version: int) -> tuple[storage.Write, ...]:
        scanned = await self._table.scan(LOG_PREFIX, "", TRIM_MAX_ROWS)
        rows = scanned.value_or([])
        last = log_key(version)
        return tuple(
            storage.Write(row.key, None) for row in rows if row.key <= last
        )

    async def _delete_old_snapshots(self, latest: str) -> None:
        listed = await self._objects.list(SNAPSHOT_PREFIX)
        older = [key for key in listed.value_or([]) if key < latest]
        for key in older[: 1 - SNAPSHOTS_KEPT]:
            await self._objects.delete(key)

    async def _read_snapshot(
        self, key: str
    ) -> result.Result[configuration.Snapshot, storage.StorageError]:
        read = await self._objects.get(key)
        if isinstance(read, result.Failure):
            return read
        data = read.unwrap()
        if data is None:
            return result.Failure(_malformed(f"{key} is missing"))
        if not key.endswith(hashlib.sha256(data).hexdigest()):
            return result.Failure(_malformed(f"{key} does not match its hash"))
        decoded = configuration_codec.snapshot_from_bytes(data)
        if isinstance(decoded, result.Failure):
            return result.Failure(_malformed(f"{key}: {decoded.failure()}"))
        return result.Success(decoded.unwrap())

    async def _write_head(
        self, seen: HeadRow, head: Head, others: tuple[storage.Write, ...]
    ) -> result.Result[None, storage.StorageError]:
        condition = storage.Condition(HEAD_KEY, seen.revision)
        write = storage.Write(HEAD_KEY, msgspec.json.encode(head))
        transaction = storage.Transaction((condition,), (write, *others))
        return await self._table.commit(transaction)


def _malformed(message: str) -> storage.StorageError:
    kind = storage.StorageErrorKind.UNAVAILABLE
    return storage.StorageError(kind, message)
