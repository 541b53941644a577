"""Settings: options read from INI files and checked against one table."""

from collections import abc
import configparser
import datetime
import pathlib
import re
import typing

import attrs
from returns import result

__all__ = [
    "Address",
    "Option",
    "Settings",
    "SettingsError",
    "parse",
    "read",
    "render",
]

Value = str | int | float | bool | datetime.timedelta | tuple[str, ...]

TRUE_WORDS = frozenset(["true", "yes", "on", "1"])
FALSE_WORDS = frozenset(["false", "no", "off", "0"])
SECTION_PATTERN = re.compile(r"^\[([^]]+)\]")
KEY_PATTERN = re.compile(r"^([^\s=:#;][^=:]*?)\s*[=:]")


@attrs.frozen
class Address:
    """An IP address or host with a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class Option:
    """One setting.

    ``kind`` is one of str, int, float, bool, list and duration; a
    duration is given in ``unit`` ("ms" or "s"). ``default`` None makes
    the option required. ``low`` and ``high`` bound numbers, inclusive.
    """

    section: str
    name: str
    kind: str
    doc: str
    default: str | None = None
    unit: str = ""
    low: float | None = None
    high: float | None = None


@attrs.frozen
class SettingsError:
    """A setting that stops the start."""

    file: str
    line: int
    key: str
    expected: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.key}: {self.expected}"


@attrs.frozen
class Settings:
    """Checked values of all options, read by section and name."""

    values: abc.Mapping[tuple[str, str], Value]

    def text(self, section: str, name: str) -> str:
        """Return a str option."""
        return typing.cast(str, self.values[section, name])

    def integer(self, section: str, name: str) -> int:
        """Return an int option."""
        return typing.cast(int, self.values[section, name])

    def number(self, section: str, name: str) -> float:
        """Return a float option."""
        return typing.cast(float, self.values[section, name])

    def flag(self, section: str, name: str) -> bool:
        """Return a bool option."""
        return typing.cast(bool, self.values[section, name])

    def items(self, section: str, name: str) -> tuple[str, ...]:
        """Return a list option."""
        return typing.cast(tuple[str, ...], self.values[section, name])

    def duration(self, section: str, name: str) -> datetime.timedelta:
        """Return a duration option."""
        return typing.cast(datetime.timedelta, self.values[section, name])


def read(
    path: pathlib.Path, options: abc.Sequence[Option]
) -> result.Result[Settings, SettingsError]:
    """Read and check the file at ``path``."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure(
            SettingsError(str(path), 0, "file", f"cannot be read: {error}")
        )
    return parse(text, str(path), options)


def parse(
    text: str, file: str, options: abc.Sequence[Option]
) -> result.Result[Settings, SettingsError]:
    """Check ``text`` as settings; ``file`` is named in errors."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        line = getattr(error, "lineno", 0) or 0
        message = str(error).replace("\n", " ")
        return result.Failure(SettingsError(file, line, "syntax", message))
    table = {(option.section, option.name): option for option in options}
    lines = _line_numbers(text)
    for section in parser.sections():
        for name in parser[section]:
            if (section, name) in table:
                continue
            key = f"[{section}] {name}"
            expected = _expected_key(section, options)
            line = lines.get((section, name), 0)
            return result.Failure(SettingsError(file, line, key, expected))
    values: dict[tuple[str, str], Value] = {}
    for place, option in table.items():
        given = parser.get(*place, fallback=option.default)
        line = lines.get(place, 0)
        key = f"[{option.section}] {option.name}"
        if given is None:
            expected = f"missing; expected {_describe(option)}"
            return result.Failure(SettingsError(file, line, key, expected))
        try:
            values[place] = _convert(option, given)
        except ValueError:
            expected = f"{given!r} given; expected {_describe(option)}"
            return result.Failure(SettingsError(file, line, key, expected))
    return result.Success(Settings(values))


def render(settings: Settings, options: abc.Sequence[Option]) -> str:
    """Return ``settings`` as INI text with a comment on each option."""
    lines: list[str] = []
    section = ""
    for option in options:
        if option.section != section:
            section = option.section
            lines += ["", f"[{section}]"]
        value = settings.values[option.section, option.name]
        lines.append(f"# {option.doc} ({_describe(option)})")
        lines.append(f"{option.name} = {_as_text(option, value)}".rstrip())
    return "\n".join(lines[1:]) + "\n"


def _line_numbers(text: str) -> dict[tuple[str, str], int]:
    numbers: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        header = SECTION_PATTERN.match(line)
        if header:
            section = header.group(1)
            continue
        key = KEY_PATTERN.match(line)
        if key:
            numbers[section, key.group(1).strip().lower()] = number
    return numbers


def _expected_key(section: str, options: abc.Sequence[Option]) -> str:
    known = [item.name for item in options if item.section == section]
    if not known:
        sections = sorted({item.section for item in options})
        return f"unknown section; expected one of {', '.join(sections)}"
    return f"unknown key; expected one of {', '.join(sorted(known))}"


def _describe(option: Option) -> str:
    text = option.kind
    if option.unit:
        text += f" in {option.unit}"
    if option.low is not None and option.high is not None:
        text += f" from {option.low:g} to {option.high:g}"
    return text


def _convert(option: Option, given: str) -> Value:
    if option.kind == "str":
        return given
    if option.kind == "list":
        return tuple(part.strip() for part in given.split(",") if part.strip())
    if option.kind == "bool":
        return _convert_bool(given)
    number = int(given) if option.kind == "int" else float(given)
    if option.low is not None and not number >= option.low:
        raise ValueError(given)
    if option.high is not None and not number <= option.high:
        raise ValueError(given)
    if option.kind != "duration":
        return number
    if option.unit == "ms":
        return datetime.timedelta(milliseconds=number)
    return datetime.timedelta(seconds=number)


def _convert_bool(given: str) -> bool:
    if given.lower() in TRUE_WORDS:
        return True
    if given.lower() in FALSE_WORDS:
        return False
    raise ValueError(given)


def _as_text(option: Option, value: Value) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, tuple):
        return ", ".join(value)
    if isinstance(value, datetime.timedelta):
        scale = 1000 if option.unit == "ms" else 1
        return f"{value.total_seconds() * scale:g}"
    return str(value)
