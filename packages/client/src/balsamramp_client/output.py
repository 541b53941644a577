"""Output: what a command prints, as a table or as JSON."""

from collections import abc
import json
import typing

import attrs

__all__ = ["FORMATS", "Output", "Table"]

COLUMN_GAP = "  "


@attrs.frozen
class Table:
    """Rows of text under headings; the headings stand in capitals."""

    headings: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]

    def render(self) -> str:
        """Return the table with its columns aligned."""
        lines = [self.headings, *self.rows]
        widths = [max(len(line[i]) for line in lines) for i in self._columns()]
        return "\n".join(
            COLUMN_GAP.join(
                cell.ljust(width)
                for cell, width in zip(line, widths, strict=True)
            ).rstrip()
            for line in lines
        )

    def _columns(self) -> range:
        return range(len(self.headings))


@attrs.frozen
class Output:
    """The result of a command.

    ``document`` is printed as JSON; ``tables`` and then ``notes`` are
    printed for people.
    """

    document: typing.Any
    tables: tuple[Table, ...] = ()
    notes: tuple[str, ...] = ()


def as_json(output: Output) -> str:
    """Return the document as indented JSON."""
    return json.dumps(output.document, indent=2, sort_keys=True, default=str)


def as_tables(output: Output) -> str:
    """Return the tables and notes, with an empty line between tables."""
    parts = [table.render() for table in output.tables if table.rows]
    if output.notes:
        parts.append("\n".join(output.notes))
    return "\n\n".join(parts)


FORMATS: dict[str, abc.Callable[[Output], str]] = {
    "json": as_json,
    "table": as_tables,
}
