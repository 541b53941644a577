"""Lets the tests that KNOWN-RED.txt lists fail, and prints them."""

import pathlib
import typing

import pytest

from balsamramp_testing import known_red

ROOT = pathlib.Path(__file__).parent.parent


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the flag that rewrites the golden sessions."""
    parser.addoption(
        "--rewrite-golden",
        action="store_true",
        help="write the golden sessions anew",
    )


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the known red tests; one that passes must leave the list."""
    known = known_red.read(ROOT)
    for item in items:
        entry = known.get(item.nodeid)
        if entry is None:
            continue
        reason = f"issue {entry.issue}: {entry.seen}"
        item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: typing.Any) -> None:
    """Print the tests that failed as known."""
    for report in terminalreporter.getreports("xfailed"):
        terminalreporter.write_line(
            f"known red: {report.nodeid}: {report.wasxfail}"
        )
