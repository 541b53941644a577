"""Interfaces of the transactional table and of the object store."""

import abc
import enum

import attrs
from returns import result

__all__ = [
    "Condition",
    "ObjectStore",
    "StorageError",
    "StorageErrorKind",
    "Row",
    "Table",
    "Transaction",
    "Write",
]


class StorageErrorKind(enum.Enum):
    """Kind of a storage error."""

    CONFLICT = "conflict"
    OUTCOME_UNKNOWN = "outcome-unknown"
    UNAVAILABLE = "unavailable"


@attrs.frozen
class StorageError:
    """A failed operation; only OUTCOME_UNKNOWN may have had an effect."""

    kind: StorageErrorKind
    message: str


@attrs.frozen
class Row:
    """One row; ``revision`` increases with every write to its key."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Condition:
    """Condition that ``key`` has ``revision``; 0: that it does not exist."""

    key: str
    revision: int


@attrs.frozen
class Write:
    """New value of ``key``; None deletes it."""

    key: str
    value: bytes | None


@attrs.frozen
class Transaction:
    """Writes that are applied atomically if every condition holds."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Table(abc.ABC):
    """Transactional table of key-value rows.

    A table may come back from a copy of itself, without the last writes. Its
    revisions go on rising, and conditions on those from before then fail.
    """

    @property
    def generation(self) -> int:
        """Return a number that rises when the table comes from a copy."""
        return 0

    @abc.abstractmethod
    async def read(self, key: str) -> result.Result[Row | None, StorageError]:
        """Return the row of ``key``, or None if it does not exist."""

    @abc.abstractmethod
    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> result.Result[list[Row], StorageError]:
        """Return up to ``limit`` rows under ``prefix``, by key.

        Only rows whose key sorts after ``after`` are returned.
        """

    @abc.abstractmethod
    async def commit(
        self, transaction: Transaction
    ) -> result.Result[None, StorageError]:
        """Commit ``transaction``; CONFLICT if a condition fails."""


class ObjectStore(abc.ABC):
    """Store of whole objects by key."""

    @abc.abstractmethod
    async def put(
        self, key: str, value: bytes
    ) -> result.Result[None, StorageError]:
        """Store ``value`` under ``key``, replacing an earlier value."""

    @abc.abstractmethod
    async def get(self, key: str) -> result.Result[bytes | None, StorageError]:
        """Return the value of ``key``, or None if it does not exist."""

    @abc.abstractmethod
    async def list(
        self, prefix: str
    ) -> result.Result[list[str], StorageError]:
        """Return the keys under ``prefix``, sorted."""

    @abc.abstractmethod
    async def delete(self, key: str) -> result.Result[None, StorageError]:
        """Delete ``key`` if it exists."""
