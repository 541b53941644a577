"""Decides which rows are in force after a table came back from a copy."""

from collections import abc
import datetime
import typing

import attrs

__all__ = ["HOLD_TIME", "KnownRow", "RestoredRows", "RowHistory", "Rows"]

# Age up to which a copy may hold a row that was replaced or deleted since.
COPY_AGE_MAX = datetime.timedelta(seconds=60)
# Longest time for which a row is in force that the table does not have.
# Its writer writes it again once the table is back.
HOLD_TIME = datetime.timedelta(seconds=15)
EARLIER_REVISIONS_MAX = 8


@attrs.frozen
class KnownRow:
    """A row; ``value`` tells it from others of its key.

    ``version`` is that of the table, 0 if it is not known. ``revision``
    names the write that the table holds, and ``earlier_revisions`` the
    writes of the same before restores, the latest first.
    """

    value: typing.Any
    version: int
    revision: int
    earlier_revisions: tuple[int, ...] = ()


Rows = abc.Mapping[str, KnownRow]


class RowHistory:
    """Remembers rows that were replaced or deleted lately."""

    def __init__(self) -> None:
        self._replaced: dict[tuple[str, typing.Any], datetime.timedelta] = {}

    def has(self, key: str, row: KnownRow) -> bool:
        """Return whether ``key`` had this row and has it no longer."""
        return (key, row.value) in self._replaced

    def record(
        self, before: Rows, after: Rows, now: datetime.timedelta
    ) -> None:
        """Record what ``after`` has in place of ``before``."""
        for place, at in list(self._replaced.items()):
            if now - at > COPY_AGE_MAX:
                del self._replaced[place]
        for key, row in after.items():
            self._replaced.pop((key, row.value), None)
        for key, row in before.items():
            if key not in after or after[key].value != row.value:
                self._replaced[key, row.value] = now


class RestoredRows:
    """Holds rows in force that a restored table does not have yet.

    ``known`` are the rows that were in force, and ``history`` tells which
    ones they replaced. A row of the table that is in the history, or has a
    lower version than the known one, is taken for what the copy holds; any
    other was written since. So a known row stays in force until its key is
    written or deleted again, for ``HOLD_TIME`` at most. One that is written
    with the same value in that time continues the known one.
    """

    def __init__(
        self, known: Rows, history: RowHistory, now: datetime.timedelta
    ) -> None:
        self._known = dict(known)
        self._history = history
        self._until = now + HOLD_TIME
        # The rows of the table when it was first read.
        self._first: Rows | None = None
        # Versions of the rows that were written again as they were.
        self._rewritten: dict[str, int] = {}
        # Keys that the table has otherwise than when it was first read.
        self._changed: set[str] = set()
        self._held: frozenset[str] = frozenset()

    @property
    def until(self) -> datetime.timedelta:
        """Return until when rows are held."""
        return self._until

    @property
    def held(self) -> frozenset[str]:
        """Return the keys at which the table is not in force."""
        return self._held

    def merge(
        self, table: Rows, now: datetime.timedelta
    ) -> dict[str, KnownRow]:
        """Return the rows in force, given those of the restored table."""
        self._record_changed(table)
        holds = now < self._until
        merged = dict(table)
        held = set()
        for key in {*self._known, *table}:
            row, known = table.get(key), self._known.get(key)
            if row and known and row.value == known.value:
                merged[key] = self._continue(key, row, known, holds)
            elif holds and self._is_behind(key, row):
                held.add(key)
        for key in held:
            merged.pop(key, None)
            if key in self._known:
                merged[key] = self._known[key]
        self._held = frozenset(held)
        return merged

    def _record_changed(self, table: Rows) -> None:
        if self._first is None:
            self._first = dict(table)
        for key in {*table, *self._first}:
            if _version(table, key) != _version(self._first, key):
                self._changed.add(key)

    def _continue(
        self, key: str, row: KnownRow, known: KnownRow, holds: bool
    ) -> KnownRow:
        """Return a row, with earlier revisions if it was written again."""
        if holds:
            self._rewritten[key] = row.version
        if self._rewritten.get(key) != row.version:
            return row
        earlier = [known.revision, *known.earlier_revisions]
        if row.revision in earlier:
            earlier.remove(row.revision)
        row = attrs.evolve(
            row, earlier_revisions=tuple(earlier[:EARLIER_REVISIONS_MAX])
        )
        self._known[key] = row
        return row

    def _is_behind(self, key: str, row: KnownRow | None) -> bool:
        """Return whether a key is still as the copy has it."""
        if key in self._changed:
            return False
        known = self._known.get(key)
        if row is None or self._history.has(key, row):
            return True
        return known is not None and row.version < known.version


def _version(rows: Rows, key: str) -> int | None:
    row = rows.get(key)
    return None if row is None else row.version
