"""Pytest plugin for tests that fail because of a known fault.

It reads KNOWN-RED.txt in the root directory, one entry per line::

    test | command | seed | what was seen | issue

A listed test may fail and is printed at the end of the run. If it passes,
the run fails, so that its entry is removed, unless the field "what was
seen" begins with "at times: ". An entry without a test fails the run too.
"""

from collections import abc
import pathlib
import sys

import attrs
import pytest

__all__ = ["FILE", "Entry", "main", "read"]

FILE = "KNOWN-RED.txt"
SEPARATOR = " | "
COMMENT_PREFIX = "#"
FIELD_COUNT = 5
INTERMITTENT_PREFIX = "at times: "


@attrs.frozen
class Entry:
    """One test that fails because of a known fault."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str

    @property
    def always(self) -> bool:
        """Return whether the test fails in every run."""
        return not self.seen.startswith(INTERMITTENT_PREFIX)


class KnownRedError(Exception):
    """Raised for a line of the file that is not an entry."""


def read(path: pathlib.Path) -> list[Entry]:
    """Return the entries of the file; none if it does not exist.

    Raises ``KnownRedError`` for a line that is not an entry.
    """
    if not path.exists():
        return []
    entries = []
    lines = path.read_text(encoding="utf-8").splitlines()
    for number, line in enumerate(lines, start=1):
        if not line.strip() or line.startswith(COMMENT_PREFIX):
            continue
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise KnownRedError(
                f"{path}:{number}: expected test | command | seed | "
                "what was seen | issue"
            )
        entries.append(Entry(*fields))
    return entries


class _KnownRedPlugin:
    def __init__(self, entries: abc.Sequence[Entry]) -> None:
        self._entries = {entry.test: entry for entry in entries}

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        collected = {item.nodeid for item in items}
        files = {test.partition("::")[0] for test in collected}
        selects_tests = any("::" in argument for argument in config.args)
        for test in self._entries:
            if test in collected or selects_tests:
                continue
            if test.partition("::")[0] in files or not _file_exists(
                config, test
            ):
                raise pytest.UsageError(f"{FILE}: no test {test}")
        for item in items:
            entry = self._entries.get(item.nodeid)
            if entry is None:
                continue
            mark = pytest.mark.xfail(reason=entry.seen, strict=entry.always)
            item.add_marker(mark)

    def pytest_terminal_summary(
        self, terminalreporter: pytest.TerminalReporter
    ) -> None:
        if not self._entries:
            return
        terminalreporter.section(f"{FILE}: {len(self._entries)}")
        for entry in self._entries.values():
            terminalreporter.line(_describe(entry))


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin with the entries of the root directory."""
    try:
        entries = read(config.rootpath / FILE)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from error
    config.pluginmanager.register(_KnownRedPlugin(entries))


def main() -> int:
    """Print the entries of the file in the current directory."""
    entries = read(pathlib.Path(FILE))
    for entry in entries:
        print(_describe(entry))
    print(f"{len(entries)} tests fail for a known fault")
    return 0


def _describe(entry: Entry) -> str:
    return (
        f"{entry.test}: {entry.seen} (seed {entry.seed}, issue "
        f"{entry.issue}; {entry.command})"
    )


def _file_exists(config: pytest.Config, test: str) -> bool:
    return (config.rootpath / test.partition("::")[0]).exists()


if __name__ == "__main__":
    sys.exit(main())
