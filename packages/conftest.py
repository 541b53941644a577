"""Options of the tests."""

import pytest


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the flag that rewrites the golden sessions."""
    parser.addoption(
        "--rewrite-golden",
        action="store_true",
        help="write the golden sessions anew",
    )
