"""Platform: the transactional table and the object store we rely on."""

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
    """What went wrong with an operation of the platform."""

    CONFLICT = "conflict"
    OUTCOME_UNKNOWN = "outcome-unknown"
    UNAVAILABLE = "unavailable"


@attrs.frozen
class StorageError:
    """A failed operation; only OUTCOME_UNKNOWN may have taken effect."""

    kind: StorageErrorKind
    message: str


@attrs.frozen
class Row:
    """One row; ``revision`` rises with every write to its key."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Condition:
    """The key must have this revision; 0 means that it must not exist."""

    key: str
    revision: int


@attrs.frozen
class Write:
    """The new value of a key, or None to delete it."""

    key: str
    value: bytes | None


@attrs.frozen
class Transaction:
    """Writes that happen all or not at all, if every condition holds."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Table(abc.ABC):
    """The platform's transactional table service."""

    @abc.abstractmethod
    async def read(self, key: str) -> result.Result[Row | None, StorageError]:
        """Return the row of ``key``, or None if there is none."""

    @abc.abstractmethod
    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> result.Result[list[Row], StorageError]:
        """Return rows under ``prefix`` whose key sorts after ``after``."""

    @abc.abstractmethod
    async def commit(
        self, transaction: Transaction
    ) -> result.Result[None, StorageError]:
        """Carry out ``transaction``; CONFLICT if a condition fails."""


class ObjectStore(abc.ABC):
    """The platform's object store."""

    @abc.abstractmethod
    async def put(
        self, key: str, value: bytes
    ) -> result.Result[None, StorageError]:
        """Store ``value`` under ``key``, replacing what was there."""

    @abc.abstractmethod
    async def get(self, key: str) -> result.Result[bytes | None, StorageError]:
        """Return the value of ``key``, or None if there is none."""

    @abc.abstractmethod
    async def list(
        self, prefix: str
    ) -> result.Result[list[str], StorageError]:
        """Return the keys under ``prefix`` in order."""

    @abc.abstractmethod
    async def delete(self, key: str) -> result.Result[None, StorageError]:
        """Delete ``key`` if it exists."""
