"""Output of a command and its formats, tables or JSON."""

from collections import abc
import json
import typing

import attrs

__all__ = ["FORMATS", "Output", "Table"]

COLUMN_GAP = "  "


@attrs.frozen
class Table:
    """Rows of text cells under column headings in upper case."""

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

    The JSON format prints ``document``; the table format prints
    ``tables`` and then ``notes``.
    """

    document: typing.Any
    tables: tuple[Table, ...] = ()
    notes: tuple[str, ...] = ()


def as_json(output: Output) -> str:
    """Format the document as indented JSON with sorted keys."""
    return json.dumps(output.document, indent=2, sort_keys=True, default=str)


def as_tables(output: Output) -> str:
    """Format the non-empty tables and the notes, a blank line between."""
    parts = [table.render() for table in output.tables if table.rows]
    if output.notes:
        parts.append("\n".join(output.notes))
    return "\n\n".join(parts)


FORMATS: dict[str, abc.Callable[[Output], str]] = {
    "json": as_json,
    "table": as_tables,
}
