"""Language: reads a scenario, one statement a line.

Example::

    zone sur-uy-a
    node a1 in sur-uy-a
    target caja-1 of caja on a1 slots 20 delay 5ms
    service caja
    route caja-all to caja
    at 1s load caja 50/s for 4s from sur-uy-a booking
    at 2s kill target caja-1
    at 6s expect doubled = 0

A ``#`` starts a comment. ``at`` names a time since the start; a statement
without it follows the one before. ``every 100ms until 5s`` repeats a
statement and ``meanwhile`` goes on without waiting for it.
"""

import datetime
import functools
import typing

import lark

from balsamramp_testing.scenario import statement
from balsamramp_testing.scenario import statements

__all__ = ["grammar", "parse"]

TEMPLATE = """\
start: _line*
_line: step? _NEWLINE
step: ["at" DURATION] ["every" DURATION "until" DURATION] [MEANWHILE] \
_statement
_statement: {names}
{rules}
behaviour: {behaviours}
labels: (NAME "=" NAME)+
MEANWHILE: "meanwhile"
DURATION.3: /[0-9]+(\\.[0-9]+)?(us|ms|s|m)(?![\\w.])/
RATE.3: /[0-9]+\\/s/
PERCENT.3: /[0-9]+(\\.[0-9]+)?%/
NUMBER.2: /[0-9]+(\\.[0-9]+)?(?![\\w.])/
COMPARISON: ">=" | "<=" | "=" | ">" | "<"
KIND.2: /(idempotent|booking|keyed)(?![\\w.-])/
PATH: /\\/[^\\s#]*/
NAME: /[A-Za-z][A-Za-z0-9_.-]*/
STRING: /"[^"\\n]*"/
COMMENT: /#[^\\n]*/
_NEWLINE: /\\r?\\n/
%ignore /[ \\t]+/
%ignore COMMENT
"""
BEHAVIOURS = {
    "slots": '"slots" NUMBER',
    "delay": '"delay" DURATION',
    "cold": '"cold" NUMBER "for" DURATION',
    "fails": '"fails"',
    "fails_after": '"fails" "after" DURATION',
    "fails_over": '"fails" "over" NUMBER',
    "fails_on": '"fails" "on" PATH',
    "slow": '"slow" DURATION',
    "slow_after": '"slow" DURATION "after" DURATION',
}
SECONDS = {"us": 0.000001, "ms": 0.001, "s": 1.0, "m": 60.0}
TIME_MAX = datetime.timedelta(days=1)


def grammar() -> str:
    """Return the grammar, put together from the statements' syntax."""
    rules = [
        f"{name}: {item.syntax}"
        for name, item in statements.STATEMENTS.items()
    ]
    return TEMPLATE.format(
        names=" | ".join(statements.STATEMENTS),
        rules="\n".join(rules),
        behaviours=" | ".join(
            f"{syntax} -> {name}" for name, syntax in BEHAVIOURS.items()
        ),
    )


@functools.cache
def _parser() -> lark.Lark:
    return lark.Lark(
        grammar(),
        parser="lalr",
        maybe_placeholders=True,
        propagate_positions=True,
    )


def parse(text: str, file: str = "scenario") -> list[statement.Step]:
    """Return the steps of ``text``; raise ScenarioError with the place."""
    try:
        tree = _parser().parse(text.rstrip() + "\n")
    except lark.UnexpectedInput as error:
        line = max(getattr(error, "line", 0), 0)
        column = max(getattr(error, "column", 0), 0)
        message = _explain(error)
        raise statement.ScenarioError(file, line, column, message) from None
    steps = []
    for child in tree.children:
        assert isinstance(child, lark.Tree)
        steps.append(_step(child, file))
    return steps


def _explain(error: lark.UnexpectedInput) -> str:
    expected = sorted(getattr(error, "accepts", None) or [])
    if not expected:
        expected = sorted(getattr(error, "allowed", None) or [])
    if isinstance(error, lark.UnexpectedToken):
        found = repr(str(error.token)) if str(error.token).strip() else "end"
        expected = expected or sorted(error.expected)
    elif isinstance(error, lark.UnexpectedCharacters):
        found = repr(error.char)
    else:
        found = "end"
    names = [item.lstrip("_").lower() for item in expected]
    return f"{found} found; expected {' or '.join(names)}"


def _step(tree: lark.Tree[lark.Token], file: str) -> statement.Step:
    at, every, until, meanwhile, made = tree.children
    assert isinstance(made, lark.Tree)
    kind = statements.find(str(made.data))
    values = [_value(child, file) for child in made.children]
    line, column = made.meta.line, made.meta.column
    try:
        built = kind(*values)
    except ValueError as error:
        raise statement.ScenarioError(file, line, column, str(error)) from None
    return statement.Step(
        statement=built,
        line=line,
        column=column,
        at=_value(at, file),
        every=_value(every, file),
        until=_value(until, file),
        background=meanwhile is not None,
    )


def _value(child: typing.Any, file: str) -> typing.Any:
    if child is None:
        return None
    if isinstance(child, lark.Tree):
        values = [_value(item, file) for item in child.children]
        if child.data == "labels":
            return dict(zip(values[::2], values[1::2], strict=True))
        return str(child.data), *values
    convert = CONVERSIONS.get(child.type, str)
    try:
        return convert(str(child))
    except (OverflowError, ValueError) as error:
        raise statement.ScenarioError(
            file, child.line or 0, child.column or 0, str(error)
        ) from None


def _duration(text: str) -> datetime.timedelta:
    unit = text.lstrip("0123456789.")
    found = datetime.timedelta(
        seconds=float(text[: -len(unit)]) * SECONDS[unit]
    )
    if found > TIME_MAX:
        raise ValueError(f"{text} is over a day")
    return found


def _rate(text: str) -> float:
    found = float(text[:-2])
    if not 0 < found <= 100_000:
        raise ValueError(f"rate {text} is not from 1/s to 100000/s")
    return found


def _percent(text: str) -> float:
    return float(text[:-1]) / 100


CONVERSIONS: dict[str, typing.Callable[[str], typing.Any]] = {
    "DURATION": _duration,
    "NUMBER": float,
    "PERCENT": _percent,
    "RATE": _rate,
    "STRING": lambda text: text[1:-1],
}
