"""Known red: the tests that fail for a known fault, as KNOWN-RED.txt says.

A line holds the test, the command, the seed, what was seen and the
issue, separated by ``|``; a line that starts with ``#`` is a comment.
"""

import pathlib

import attrs

__all__ = ["FILE", "KnownRed", "read"]

FILE = "KNOWN-RED.txt"
FIELDS = 5


@attrs.frozen
class KnownRed:
    """A test that fails for a known fault."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str


def read(directory: pathlib.Path) -> dict[str, KnownRed]:
    """Return the entries of the file in ``directory``, by test.

    ValueError names a line that has not all fields.
    """
    found: dict[str, KnownRed] = {}
    text = (directory / FILE).read_text(encoding="utf-8")
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS or not all(fields):
            raise ValueError(f"{FILE}:{number}: expected {FIELDS} fields")
        entry = KnownRed(*fields)
        found[entry.test] = entry
    return found
