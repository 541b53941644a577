"""Rows in force after a table came back from a copy, in any interleaving."""

import datetime

import attrs
import hypothesis
from hypothesis import strategies

from balsamramp_core import restored_rows

KEYS = ("a", "b", "c")
STEP = datetime.timedelta(seconds=1)
HOLD_TIME = restored_rows.HOLD_TIME
ZERO = datetime.timedelta()


def _row(value: int, version: int = 0) -> restored_rows.KnownRow:
    return restored_rows.KnownRow(value, version, 0)


@attrs.define
class _Table:
    """A table whose values count up, so that an earlier one is lower."""

    rows: dict[str, restored_rows.KnownRow] = attrs.field(factory=dict)
    version: int = 0
    feed: list[tuple[str, restored_rows.KnownRow]] = attrs.field(factory=list)

    def write(self, key: str, value: int) -> None:
        """Write a row."""
        self.version += 1
        self.rows[key] = _row(value, self.version)
        self.feed.append((key, self.rows[key]))

    def copy(self) -> "_Table":
        """Return a copy to come back from."""
        return _Table(dict(self.rows), self.version, list(self.feed))


class _Node:
    """Follows the feed of a table, and reads the table in each new era."""

    def __init__(self) -> None:
        self.in_force: dict[str, restored_rows.KnownRow] = {}
        self._history = restored_rows.RowHistory()
        self._restored: restored_rows.RestoredRows | None = None
        self._era = 0
        self._position = 0
        self._table: dict[str, restored_rows.KnownRow] = {}

    def read(self, table: _Table, era: int, now: datetime.timedelta) -> None:
        """Read the table in an era."""
        if era != self._era and self._era:
            self._restored = restored_rows.RestoredRows(
                self.in_force, self._history, now
            )
            self._table = dict(table.rows)
            self._take_over(now)
        elif era == self._era:
            for key, row in table.feed:
                if row.version <= self._position:
                    continue
                self._table[key] = row
                self._take_over(now)
        self._table = dict(table.rows)
        self._take_over(now)
        self._era, self._position = era, table.version

    def _take_over(self, now: datetime.timedelta) -> None:
        merged = dict(self._table)
        if self._restored is not None:
            merged = self._restored.merge(self._table, now)
        self._history.record(self.in_force, merged, now)
        self.in_force = merged

    def values(self) -> dict[str, int]:
        """Return the values in force."""
        return {key: row.value for key, row in self.in_force.items()}


Step = tuple[str, int]
STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("write"), strategies.integers(0, 2)),
        strategies.tuples(strategies.just("read"), strategies.integers(0, 2)),
        strategies.tuples(strategies.just("copy"), strategies.just(0)),
        strategies.tuples(strategies.just("restore"), strategies.just(0)),
    ),
    max_size=40,
)


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(steps=STEPS)
def test_no_node_goes_back_and_all_agree_in_time(steps: list[Step]) -> None:
    """Writes, reads of three nodes, copies and restores in any order.

    At the end the writer writes what was lost again, as it was.
    """
    table, era, now = _Table(), 1, ZERO
    nodes = [_Node() for _ in range(3)]
    for node in nodes:
        node.read(table, era, now)
    written: dict[str, int] = {}
    copies = [table.copy()]
    for kind, number in steps:
        now += STEP / 10
        if kind == "write":
            key = KEYS[number]
            written[key] = written.get(key, 0) + 1
            table.write(key, written[key])
        elif kind == "copy":
            copies.append(table.copy())
        elif kind == "restore":
            table = copies[-1].copy()
            era += 1
        else:
            node = nodes[number]
            before = node.values()
            node.read(table, era, now)
            for key, value in before.items():
                assert node.values()[key] >= value
    _write_again(table, written)
    for node in nodes:
        node.read(table, era, now)
        node.read(table, era, now + HOLD_TIME)
        assert node.values() == written


def _write_again(table: _Table, written: dict[str, int]) -> None:
    """Write what the table has lost."""
    for key, value in written.items():
        if key not in table.rows or table.rows[key].value != value:
            table.write(key, value)


def test_row_that_is_deleted_after_a_restore_is_gone() -> None:
    node, table = _Node(), _Table()
    table.write("a", 1)
    node.read(table, 1, ZERO)
    node.read(table, 2, STEP)
    del table.rows["a"]
    node.read(table, 2, 2 * STEP)
    assert node.values() == {}


def test_row_that_was_deleted_before_a_restore_does_not_come_back() -> None:
    node, table = _Node(), _Table()
    table.write("a", 1)
    node.read(table, 1, ZERO)
    copy = table.copy()
    del table.rows["a"]
    node.read(table, 1, STEP)
    node.read(copy, 2, 2 * STEP)
    assert node.values() == {}
    copy.write("a", 1)
    node.read(copy, 2, 3 * STEP)
    assert node.values() == {"a": 1}


def test_rows_are_held_for_a_bounded_time() -> None:
    node, table = _Node(), _Table()
    copy = table.copy()
    table.write("a", 1)
    node.read(table, 1, ZERO)
    node.read(copy, 2, STEP)
    assert node.values() == {"a": 1}
    node.read(copy, 2, STEP + HOLD_TIME)
    assert node.values() == {}


def test_history_is_bounded_in_time() -> None:
    history = restored_rows.RowHistory()
    for number in range(1000):
        now = number * STEP
        history.record({"a": _row(number)}, {"a": _row(number + 1)}, now)
    remembered = sum(history.has("a", _row(item)) for item in range(1000))
    assert remembered <= restored_rows.COPY_AGE_MAX / STEP + 1
