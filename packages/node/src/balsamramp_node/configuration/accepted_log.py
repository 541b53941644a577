"""Reads and writes the log of accepted changes in the storage platform.

The table holds a head row and one log row for each transaction, with the
changes that it accepted. The object store holds snapshots named by
version and content hash. Log rows that the snapshot named in the head
covers may be trimmed.
"""

import hashlib

import attrs
import msgspec
from returns import result

from balsamramp_core import configuration
from balsamramp_core import configuration_codec
from balsamramp_core import decoding
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

    ``digest`` is hexadecimal. ``snapshot`` is the object key of the
    snapshot of ``snapshot_version``, or empty if there is none.
    """

    version: int = 0
    digest: str = f"{0:032x}"
    snapshot: str = ""
    snapshot_version: int = 0


@attrs.frozen
class HeadRow:
    """The head and the table revision at which it was read."""

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
    """Return the table key of the log row whose last change is ``version``."""
    return f"{LOG_PREFIX}{version:0{VERSION_DIGITS}d}"


class AcceptedLog:
    """Reads and appends to the log of accepted changes."""

    def __init__(
        self, table: storage.Table, objects: storage.ObjectStore
    ) -> None:
        self._table = table
        self._objects = objects

    async def read_head(
        self,
    ) -> result.Result[HeadRow, storage.StorageError]:
        """Return the head; its version is 0 while no change is accepted."""
        read = await self._table.read(HEAD_KEY)
        if isinstance(read, result.Failure):
            return read
        row = read.unwrap()
        if row is None:
            return result.Success(HeadRow(Head(), 0))
        try:
            head = decoding.decode_json(row.value, Head)
        except decoding.DecodingError as error:
            kind = storage.StorageErrorKind.UNAVAILABLE
            text = f"{HEAD_KEY} is not a valid head row: {error}"
            return result.Failure(storage.StorageError(kind, text))
        return result.Success(HeadRow(head, row.revision))

    async def read_after(
        self, version: int
    ) -> result.Result[list[configuration.Change], storage.StorageError]:
        """Return the changes in the log rows after ``version``, in order."""
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
                        _malformed(f"row {row.key}: {decoded.failure()}")
                    )
                changes += decoded.unwrap()
                after = row.key
            if len(rows) < READ_MAX_ROWS:
                return result.Success(changes)

    async def append(
        self, expected_head: HeadRow, changes: list[configuration.Change]
    ) -> result.Result[None, storage.StorageError]:
        """Append ``changes`` in one transaction.

        The transaction conflicts if the head is no longer
        ``expected_head``.
        """
        last = changes[-1]
        head = attrs.evolve(
            expected_head.head,
            version=last.version,
            digest=f"{last.digest:032x}",
        )
        row = storage.Write(
            log_key(last.version),
            configuration_codec.changes_to_bytes(changes),
        )
        return await self._write_head(expected_head, head, (row,))

    async def load(
        self, head_row: HeadRow
    ) -> result.Result[configuration.Snapshot, storage.StorageError]:
        """Return the state at the end of the log.

        It is built from the snapshot that the head names and the log
        rows after it.
        """
        base = configuration.Snapshot(configuration.EMPTY)
        if head_row.head.snapshot:
            read = await self._read_snapshot(head_row.head.snapshot)
            if isinstance(read, result.Failure):
                return read
            base = read.unwrap()
        scanned = await self.read_after(base.configuration.version)
        if isinstance(scanned, result.Failure):
            return scanned
        state = base.configuration
        accepted_versions = list(base.accepted_versions)
        for change in scanned.unwrap():
            applied = configuration.apply_change(state, change)
            if isinstance(applied, result.Failure):
                return result.Failure(_malformed(applied.failure().message))
            state = applied.unwrap()
            accepted_versions.append(
                configuration.AcceptedVersion(
                    change.version,
                    change.digest,
                    change.change_id,
                    change.accepted_at,
                )
            )
        return result.Success(
            configuration.Snapshot(state, tuple(accepted_versions))
        )

    async def write_snapshot(
        self, expected_head: HeadRow, snapshot: configuration.Snapshot
    ) -> result.Result[None, storage.StorageError]:
        """Store ``snapshot`` and name it in the head.

        The transaction conflicts if the head is no longer
        ``expected_head``. If the head is older than the snapshot, as
        after the table was restored from a backup, the head is raised to
        the snapshot's version. Log rows up to the previous snapshot are
        deleted, at most TRIM_MAX_ROWS per call.
        """
        data = configuration_codec.snapshot_to_bytes(snapshot)
        state = snapshot.configuration
        name = f"{state.version:0{VERSION_DIGITS}d}"
        key = f"{SNAPSHOT_PREFIX}{name}-{hashlib.sha256(data).hexdigest()}"
        stored = await self._objects.put(key, data)
        if isinstance(stored, result.Failure):
            return stored
        head = attrs.evolve(
            expected_head.head, snapshot=key, snapshot_version=state.version
        )
        if state.version > expected_head.version:
            digest = f"{state.digest:032x}"
            head = attrs.evolve(head, version=state.version, digest=digest)
        trim_writes = await self._trim_writes(
            expected_head.head.snapshot_version
        )
        written = await self._write_head(expected_head, head, trim_writes)
        if isinstance(written, result.Success):
            await self._delete_old_snapshots(key)
        return written

    async def _trim_writes(self, version: int) -> tuple[storage.Write, ...]:
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
            return result.Failure(_malformed(f"object {key} is missing"))
        if not key.endswith(hashlib.sha256(data).hexdigest()):
            return result.Failure(
                _malformed(f"object {key} does not match the hash in its key")
            )
        decoded = configuration_codec.snapshot_from_bytes(data)
        if isinstance(decoded, result.Failure):
            return result.Failure(
                _malformed(f"object {key}: {decoded.failure()}")
            )
        return result.Success(decoded.unwrap())

    async def _write_head(
        self,
        expected_head: HeadRow,
        head: Head,
        other_writes: tuple[storage.Write, ...],
    ) -> result.Result[None, storage.StorageError]:
        condition = storage.Condition(HEAD_KEY, expected_head.revision)
        write = storage.Write(HEAD_KEY, msgspec.json.encode(head))
        transaction = storage.Transaction((condition,), (write, *other_writes))
        return await self._table.commit(transaction)


def _malformed(message: str) -> storage.StorageError:
    kind = storage.StorageErrorKind.UNAVAILABLE
    return storage.StorageError(kind, message)
