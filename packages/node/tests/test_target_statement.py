"""Headers in which a target states its rate limit or that it leaves."""

import attrs
import pytest

from balsamramp_core import header_names
from balsamramp_node.inbound import target_statement

NAMES = attrs.evolve(
    header_names.DEFAULT_HEADER_NAMES, rate_limit="limit", leaving="leaving"
)
OTHER = ("content-length", "5")


@pytest.mark.parametrize(
    ("value", "rate"),
    [("78.9", 78.9), ("4", 4.0), ("0", 0.0), ("0.05", 0.05)],
)
def test_rate_limit_is_read(value: str, rate: float) -> None:
    headers = [OTHER, ("limit", value)]
    statement = target_statement.parse_statement(headers, NAMES)
    assert statement.rate_limit == rate
    assert not statement.leaving


def test_response_without_the_headers_states_nothing() -> None:
    statement = target_statement.parse_statement([OTHER], NAMES)
    assert statement == target_statement.TargetStatement()


@pytest.mark.parametrize(
    "values",
    [
        [""],
        ["-1"],
        ["+1"],
        ["1e3"],
        ["nan"],
        ["inf"],
        ["1,5"],
        ["78.9, 78.9"],
        ["78.9", "78.9"],
        ["\u0661"],
        ["1000000.1"],
        ["9" * 5000],
        [" 5"],
        ["5."],
        [".5"],
    ],
)
def test_malformed_rate_limit_is_rejected(values: list[str]) -> None:
    headers = [OTHER, *(("limit", value) for value in values)]
    with pytest.raises(target_statement.StatementError) as error:
        target_statement.parse_statement(headers, NAMES)
    assert len(str(error.value)) < 200


def test_target_that_leaves_is_recognised() -> None:
    statement = target_statement.parse_statement([("leaving", "1")], NAMES)
    assert statement.leaving
    with pytest.raises(target_statement.StatementError):
        target_statement.parse_statement([("leaving", "soon")], NAMES)
