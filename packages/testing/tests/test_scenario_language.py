"""The scenario language: what it reads, and its errors with places."""

import datetime

import hypothesis
from hypothesis import strategies
import pytest

from balsamramp_testing.scenario import language
from balsamramp_testing.scenario import runner
from balsamramp_testing.scenario import statement
from balsamramp_testing.scenario import statements

ERRORS = (
    ("service x\nkill nod x", 2, 6),
    ("node a1 in", 1, 11),
    ("expect foo = 1", 1, 1),
    ("at 5 kill node a1", 1, 4),
    ("load a 0/s for 1s from b", 1, 8),
    ("at 90000s platform down", 1, 4),
    ("every 5s platform down", 1, 10),
    ("expect calls = 1 # fine\n\n  fly to moon", 3, 3),
)
WORDS = """\
at every until meanwhile node target service route to of on in from
kill start stop cut heal expect calls = >= 5 5s 5% 20/s a1 /x #
version v1 slots delay cold fails after slow zone out platform down
0s 99999999s where a=b lose rollout by
"""
FORBIDDEN_AT_END = """\
node a1 in zone-a
target caja-1 of caja on a1
service caja
route caja-all to caja
at 3s call caja from a1 booking
expect calls = 2
expect answered = 100%
at 4s expect runs of caja-1 = 0
"""


@pytest.mark.parametrize(("text", "line", "column"), ERRORS)
def test_errors_name_line_and_column(
    text: str, line: int, column: int
) -> None:
    with pytest.raises(statement.ScenarioError) as raised:
        language.parse(text, "f")
    assert str(raised.value).startswith(f"f:{line}:{column}: ")


def test_times_and_repeats_are_read() -> None:
    text = "at 1.5s every 100ms until 2s meanwhile lose 5% # comment"
    (step,) = language.parse(text)
    assert step.at == datetime.timedelta(seconds=1.5)
    assert step.every == datetime.timedelta(milliseconds=100)
    assert step.until == datetime.timedelta(seconds=2)
    assert step.background


def test_unknown_statement_names_the_known() -> None:
    with pytest.raises(statements.StatementNotFoundError, match="node_fault"):
        statements.find("fly")


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    strategies.one_of(
        strategies.text(max_size=60),
        strategies.lists(strategies.sampled_from(WORDS.split(" "))).map(
            " ".join
        ),
    )
)
def test_any_text_is_read_or_refused(text: str) -> None:
    try:
        language.parse(text)
    except statement.ScenarioError as error:
        assert error.line >= 0


def test_expectations_fail_when_they_should() -> None:
    outcome = runner.run_in_memory(FORBIDDEN_AT_END, seed=1)
    assert [message.partition(": ")[2] for message in outcome.failures] == [
        "expected calls = 2.0, found 1",
        "expected runs = 0.0, found 1",
    ]
