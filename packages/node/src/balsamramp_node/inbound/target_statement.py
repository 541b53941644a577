"""What a target states about itself in the headers of a response."""

from collections import abc
import re

import attrs

from balsamramp_core import header_names

__all__ = ["StatementError", "TargetStatement", "parse_statement"]

RATE_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
RATE_MAX = 1_000_000.0
LEAVING_VALUE = "1"

Headers = abc.Iterable[tuple[str, str]]


class StatementError(ValueError):
    """A header has a value that is not allowed."""


@attrs.frozen(kw_only=True)
class TargetStatement:
    """The calls per second that a target takes, and whether it leaves.

    ``rate_limit`` is None if the target states no limit.
    """

    rate_limit: float | None = None
    leaving: bool = False


def parse_statement(
    headers: Headers, names: header_names.HeaderNames
) -> TargetStatement:
    """Return the statement in the ``headers`` of a response.

    Raises StatementError.
    """
    rates = []
    leaving = []
    for name, value in headers:
        if name == names.rate_limit:
            rates.append(value)
        elif name == names.leaving:
            leaving.append(value)
    return TargetStatement(
        rate_limit=_parse_rate(names.rate_limit, rates),
        leaving=_parse_leaving(names.leaving, leaving),
    )


def _parse_rate(name: str, values: list[str]) -> float | None:
    if not values:
        return None
    if len(values) == 1 and RATE_PATTERN.fullmatch(values[0]):
        rate = float(values[0])
        if rate <= RATE_MAX:
            return rate
    raise StatementError(
        f"{name} is {_shorten(values)}, expected one decimal number"
        f" from 0 to {RATE_MAX:.0f}"
    )


def _parse_leaving(name: str, values: list[str]) -> bool:
    if not values:
        return False
    if set(values) == {LEAVING_VALUE}:
        return True
    raise StatementError(
        f"{name} is {_shorten(values)}, expected {LEAVING_VALUE}"
    )


def _shorten(values: list[str]) -> str:
    return repr(values)[:80]
