"""In-memory table and object store with injected faults."""

from collections import abc
import datetime
import enum
import typing

import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import storage

__all__ = [
    "Faults",
    "LinkedObjectStore",
    "LinkedTable",
    "MemoryObjectStore",
    "MemoryTable",
]

IsReachable = abc.Callable[[], bool]
ValueT = typing.TypeVar("ValueT")


class WriteFault(enum.Enum):
    """Whether a write whose response is lost was applied before."""

    LOST_AFTER = "lost-after"
    LOST_BEFORE = "lost-before"


@attrs.define
class Faults:
    """Faults in force; a test changes the fields while it runs.

    ``down`` fails every request and ``delay`` is added to each one.
    ``write_faults`` holds the faults of the next writes, in order.
    """

    down: bool = False
    delay: datetime.timedelta = datetime.timedelta()
    write_faults: list[WriteFault] = attrs.field(factory=list)


class _FaultyStorage:
    def __init__(self, faults: Faults, time: clock.Clock) -> None:
        self._faults = faults
        self._clock = time

    async def _delay_or_fail(self) -> storage.StorageError | None:
        if self._faults.delay:
            await self._clock.sleep(self._faults.delay)
        if not self._faults.down:
            return None
        kind = storage.StorageErrorKind.UNAVAILABLE
        return storage.StorageError(kind, "the platform is down")

    def _next_write_fault(self) -> WriteFault | None:
        if self._faults.write_faults:
            return self._faults.write_faults.pop(0)
        return None


class MemoryTable(_FaultyStorage, storage.Table):
    """A transactional table in memory.

    ``reads`` counts read requests and ``writes`` counts written rows.
    """

    def __init__(self, faults: Faults, time: clock.Clock) -> None:
        super().__init__(faults, time)
        self._rows: dict[str, storage.Row] = {}
        self._revision = 0
        self.reads = 0
        self.writes = 0

    async def read(
        self, key: str
    ) -> result.Result[storage.Row | None, storage.StorageError]:
        error = await self._delay_or_fail()
        if error is not None:
            return result.Failure(error)
        self.reads += 1
        return result.Success(self._rows.get(key))

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> result.Result[list[storage.Row], storage.StorageError]:
        error = await self._delay_or_fail()
        if error is not None:
            return result.Failure(error)
        self.reads += 1
        found: list[storage.Row] = []
        for key in sorted(self._rows):
            if not key.startswith(prefix) or key <= after:
                continue
            if len(found) >= limit:
                break
            found.append(self._rows[key])
        return result.Success(found)

    async def commit(
        self, transaction: storage.Transaction
    ) -> result.Result[None, storage.StorageError]:
        error = await self._delay_or_fail()
        if error is not None:
            return result.Failure(error)
        fault = self._next_write_fault()
        if fault is WriteFault.LOST_BEFORE:
            return result.Failure(_outcome_unknown_error())
        for condition in transaction.conditions:
            row = self._rows.get(condition.key)
            if (row.revision if row else 0) == condition.revision:
                continue
            kind = storage.StorageErrorKind.CONFLICT
            text = f"{condition.key} has changed"
            return result.Failure(storage.StorageError(kind, text))
        self._apply(transaction)
        if fault is WriteFault.LOST_AFTER:
            return result.Failure(_outcome_unknown_error())
        return result.Success(None)

    def backup(self) -> dict[str, storage.Row]:
        """Return a copy of all rows for ``restore_backup``."""
        return dict(self._rows)

    def restore_backup(self, rows: dict[str, storage.Row]) -> None:
        """Replace all rows by ``rows``, under a new revision."""
        self._revision += 1
        self._rows = {
            key: attrs.evolve(row, revision=self._revision)
            for key, row in rows.items()
        }

    def _apply(self, transaction: storage.Transaction) -> None:
        self._revision += 1
        self.writes += len(transaction.writes)
        for write in transaction.writes:
            if write.value is None:
                self._rows.pop(write.key, None)
                continue
            row = storage.Row(write.key, write.value, self._revision)
            self._rows[write.key] = row


class MemoryObjectStore(_FaultyStorage, storage.ObjectStore):
    """An object store in memory."""

    def __init__(self, faults: Faults, time: clock.Clock) -> None:
        super().__init__(faults, time)
        self._objects: dict[str, bytes] = {}
        self.reads = 0
        self.writes = 0

    async def put(
        self, key: str, value: bytes
    ) -> result.Result[None, storage.StorageError]:
        error = await self._delay_or_fail()
        if error is not None:
            return result.Failure(error)
        self.writes += 1
        fault = self._next_write_fault()
        if fault is not WriteFault.LOST_BEFORE:
            self._objects[key] = value
        if fault is not None:
            return result.Failure(_outcome_unknown_error())
        return result.Success(None)

    async def get(
        self, key: str
    ) -> result.Result[bytes | None, storage.StorageError]:
        error = await self._delay_or_fail()
        if error is not None:
            return result.Failure(error)
        self.reads += 1
        return result.Success(self._objects.get(key))

    async def list(
        self, prefix: str
    ) -> result.Result[list[str], storage.StorageError]:
        error = await self._delay_or_fail()
        if error is not None:
            return result.Failure(error)
        found = [key for key in self._objects if key.startswith(prefix)]
        return result.Success(sorted(found))

    async def delete(
        self, key: str
    ) -> result.Result[None, storage.StorageError]:
        error = await self._delay_or_fail()
        if error is not None:
            return result.Failure(error)
        self._objects.pop(key, None)
        return result.Success(None)


class LinkedTable(storage.Table):
    """A table that fails while the node's link to it is partitioned."""

    def __init__(
        self, table: storage.Table, is_reachable: IsReachable
    ) -> None:
        self._table = table
        self._is_reachable = is_reachable

    async def read(
        self, key: str
    ) -> result.Result[storage.Row | None, storage.StorageError]:
        if not self._is_reachable():
            return result.Failure(_unreachable_error())
        return await self._table.read(key)

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> result.Result[list[storage.Row], storage.StorageError]:
        if not self._is_reachable():
            return result.Failure(_unreachable_error())
        return await self._table.scan(prefix, after, limit)

    async def commit(
        self, transaction: storage.Transaction
    ) -> result.Result[None, storage.StorageError]:
        if not self._is_reachable():
            return result.Failure(_unreachable_error())
        return await self._table.commit(transaction)


class LinkedObjectStore(storage.ObjectStore):
    """An object store that fails while the node's link is partitioned."""

    def __init__(
        self, objects: storage.ObjectStore, is_reachable: IsReachable
    ) -> None:
        self._objects = objects
        self._is_reachable = is_reachable

    async def put(
        self, key: str, value: bytes
    ) -> result.Result[None, storage.StorageError]:
        if not self._is_reachable():
            return result.Failure(_unreachable_error())
        return await self._objects.put(key, value)

    async def get(
        self, key: str
    ) -> result.Result[bytes | None, storage.StorageError]:
        if not self._is_reachable():
            return result.Failure(_unreachable_error())
        return await self._objects.get(key)

    async def list(
        self, prefix: str
    ) -> result.Result[list[str], storage.StorageError]:
        if not self._is_reachable():
            return result.Failure(_unreachable_error())
        return await self._objects.list(prefix)

    async def delete(
        self, key: str
    ) -> result.Result[None, storage.StorageError]:
        if not self._is_reachable():
            return result.Failure(_unreachable_error())
        return await self._objects.delete(key)


def _unreachable_error() -> storage.StorageError:
    kind = storage.StorageErrorKind.UNAVAILABLE
    return storage.StorageError(
        kind, "the link to the platform is partitioned"
    )


def _outcome_unknown_error() -> storage.StorageError:
    kind = storage.StorageErrorKind.OUTCOME_UNKNOWN
    return storage.StorageError(kind, "the response was lost")
