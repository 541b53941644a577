"""Reads options from INI files and validates them against a table."""

from collections import abc
import configparser
import datetime
import os
import pathlib
import re
import typing
import urllib.parse

import attrs
from returns import result

from balsamramp_core import resource

__all__ = [
    "Address",
    "Option",
    "Settings",
    "SettingsError",
    "describe",
    "parse",
    "parse_address",
    "read",
    "read_text",
    "render",
    "with_environment",
]

Value = str | int | float | bool | datetime.timedelta | tuple[str, ...]

KINDS = {
    "address": "address host:port",
    "addresses": "addresses host:port, separated by commas",
    "bool": "true or false",
    "duration": "number",
    "file": "path of a readable file",
    "float": "number",
    "host": "IP address or host name",
    "int": "whole number",
    "list": "words separated by commas",
    "name": "name of characters A-Z a-z 0-9 ._:-",
    "str": "text",
    "url": "URL http://host:port or https://host:port",
}
# Name that no section has; it disables the default section of configparser.
NO_SECTION = "\0"
PORT_MAX = 65535
# Names of hosts have labels of at most 63 characters.
ADDRESS_HOST = re.compile(
    r"[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63}){0,7}\.?"
)
HOST_PATTERN = re.compile(r"[A-Za-z0-9._-]+")
TRUE_WORDS = frozenset(["true", "yes", "on", "1"])
FALSE_WORDS = frozenset(["false", "no", "off", "0"])
SECTION_PATTERN = re.compile(r"^\[([^]]+)\]")
KEY_PATTERN = re.compile(r"^([^\s=:#;][^=:]*?)\s*[=:]")


@attrs.frozen
class Address:
    """An IP address or host with a TCP port."""

    host: str = attrs.field(
        validator=attrs.validators.matches_re(ADDRESS_HOST)
    )
    port: int = attrs.field(
        validator=[attrs.validators.ge(0), attrs.validators.le(PORT_MAX)]
    )

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class Option:
    """Declaration of one setting.

    ``kind`` is a key of ``KINDS``. An option whose ``default`` is None is
    required. ``low`` and ``high`` are the inclusive bounds of a number,
    and ``choices`` lists the allowed values, empty for any. ``unit`` is
    the unit of a number; for a duration it is "ms" or "s".
    """

    section: str
    name: str
    kind: str
    doc: str
    default: str | None = None
    unit: str = ""
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()


@attrs.frozen
class SettingsError:
    """An invalid setting, which keeps the process from starting."""

    file: str
    line: int
    key: str
    expected: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.key}: {self.expected}"


@attrs.frozen
class Settings:
    """Validated values of all options, keyed by section and name.

    ``file`` and ``lines`` locate each value for error messages.
    """

    values: abc.Mapping[tuple[str, str], Value]
    file: str = ""
    lines: abc.Mapping[tuple[str, str], int] = attrs.field(factory=dict)

    def error(self, section: str, name: str, expected: str) -> SettingsError:
        """Return an error with the file and line of the option."""
        line = self.lines.get((section, name), 0)
        return SettingsError(self.file, line, f"[{section}] {name}", expected)

    def text(self, section: str, name: str) -> str:
        """Return an option of kind address, file, host, name, str or url."""
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
        """Return an option of kind addresses or list."""
        return typing.cast(tuple[str, ...], self.values[section, name])

    def duration(self, section: str, name: str) -> datetime.timedelta:
        """Return a duration option."""
        return typing.cast(datetime.timedelta, self.values[section, name])


def read(
    path: pathlib.Path, options: abc.Sequence[Option]
) -> result.Result[Settings, SettingsError]:
    """Read and validate the file at ``path``."""
    return read_text(path).bind(lambda text: parse(text, str(path), options))


def read_text(path: pathlib.Path) -> result.Result[str, SettingsError]:
    """Return the text of the file at ``path``, without validation."""
    try:
        return result.Success(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure(
            SettingsError(str(path), 0, "file", f"cannot be read: {error}")
        )


def parse(
    text: str, file: str, options: abc.Sequence[Option]
) -> result.Result[Settings, SettingsError]:
    """Parse and validate ``text``; ``file`` is named in errors."""
    parser = configparser.ConfigParser(
        interpolation=None, default_section=NO_SECTION
    )
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        line = getattr(error, "lineno", 0) or 0
        message = str(error).replace("\n", " ")
        return result.Failure(SettingsError(file, line, "syntax", message))
    lines = _line_numbers(text)
    unknown = _find_unknown_key(parser, file, lines, options)
    if unknown is not None:
        return result.Failure(unknown)
    values: dict[tuple[str, str], Value] = {}
    for option in options:
        option_key = (option.section, option.name)
        given = parser.get(*option_key, fallback=None) or option.default
        line = lines.get(option_key, 0)
        key = f"[{option.section}] {option.name}"
        if given is None:
            expected = f"missing; expected {describe(option)}"
            return result.Failure(SettingsError(file, line, key, expected))
        try:
            values[option_key] = _convert(option, given)
        except ValueError:
            expected = f"{given!r} given; expected {describe(option)}"
            return result.Failure(SettingsError(file, line, key, expected))
    return result.Success(Settings(values, file, lines))


def with_environment(
    options: abc.Sequence[Option],
    prefix: str,
    environment: abc.Mapping[str, str],
) -> result.Result[tuple[Option, ...], SettingsError]:
    """Return ``options`` with defaults from environment variables.

    The variable of option ``name`` in ``section`` is PREFIX_SECTION_NAME;
    empty ones are ignored. A value in the settings file goes first.
    """
    found: list[Option] = []
    for option in options:
        variable = f"{prefix}_{option.section}_{option.name}".upper()
        given = environment.get(variable, "").strip()
        if not given:
            found.append(option)
            continue
        try:
            _convert(option, given)
        except ValueError:
            expected = f"{given!r} given; expected {describe(option)}"
            error = SettingsError("environment", 0, variable, expected)
            return result.Failure(error)
        found.append(attrs.evolve(option, default=given))
    return result.Success(tuple(found))


def _find_unknown_key(
    parser: configparser.ConfigParser,
    file: str,
    lines: abc.Mapping[tuple[str, str], int],
    options: abc.Sequence[Option],
) -> SettingsError | None:
    known = {(option.section, option.name) for option in options}
    sections = {option.section for option in options}
    for section in parser.sections():
        for name in parser[section]:
            if (section, name) in known:
                continue
            key = f"[{section}] {name}"
            line = lines.get((section, name), 0)
            expected = _describe_expected_key(section, options)
            return SettingsError(file, line, key, expected)
        if section not in sections:
            line = lines.get((section, ""), 0)
            expected = _describe_expected_key(section, options)
            return SettingsError(file, line, f"[{section}]", expected)
    return None


def render(settings: Settings, options: abc.Sequence[Option]) -> str:
    """Return ``settings`` as INI text with a comment for each option."""
    lines: list[str] = []
    section = ""
    for option in options:
        if option.section != section:
            section = option.section
            lines += ["", f"[{section}]"]
        value = settings.values[option.section, option.name]
        lines.append(f"# {option.doc} ({describe(option)})")
        lines.append(
            f"{option.name} = {_format_value(option, value)}".rstrip()
        )
    return "\n".join(lines[1:]) + "\n"


def _line_numbers(text: str) -> dict[tuple[str, str], int]:
    numbers: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        header = SECTION_PATTERN.match(line)
        if header:
            section = header.group(1)
            numbers[section, ""] = number
            continue
        key = KEY_PATTERN.match(line)
        if key:
            numbers[section, key.group(1).strip().lower()] = number
    return numbers


def _describe_expected_key(section: str, options: abc.Sequence[Option]) -> str:
    known = [item.name for item in options if item.section == section]
    if not known:
        sections = sorted({item.section for item in options})
        return f"unknown section; expected one of {', '.join(sections)}"
    return f"unknown key; expected one of {', '.join(sorted(known))}"


def describe(option: Option) -> str:
    """Return a readable description of the values of ``option``."""
    if option.choices:
        return f"one of {', '.join(option.choices)}"
    text = KINDS[option.kind]
    if option.unit:
        text += f" in {option.unit}"
    if option.low is not None and option.high is not None:
        text += (
            f" from {_format_number(option.low)}"
            f" to {_format_number(option.high)}"
        )
    return text


def _convert(option: Option, given: str) -> Value:
    if option.choices and given not in option.choices:
        raise ValueError(given)
    if option.kind in CONVERTERS:
        return CONVERTERS[option.kind](given)
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


def parse_address(text: str) -> Address:
    """Parse ``host:port``; raise ValueError if it is not an address."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        raise ValueError(text)
    if not 1 <= int(port) <= PORT_MAX:
        raise ValueError(text)
    return Address(_check_host(host), int(port))


def _check_address(given: str) -> str:
    parse_address(given)
    return given


def _check_addresses(given: str) -> tuple[str, ...]:
    parts = _split_list(given)
    for part in parts:
        parse_address(part)
    return parts


def _check_file(given: str) -> str:
    if given and not os.access(given, os.R_OK):
        raise ValueError(given)
    return given


def _check_host(given: str) -> str:
    if not HOST_PATTERN.fullmatch(given):
        raise ValueError(given)
    return given


def _split_list(given: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in given.split(",") if part.strip())


def _check_name(given: str) -> str:
    if resource.check_name("name", given):
        raise ValueError(given)
    return given


def _check_url(given: str) -> str:
    split = urllib.parse.urlsplit(given)
    if split.scheme not in ("http", "https") or not split.hostname:
        raise ValueError(given)
    if split.port == 0 or split.query or split.fragment:
        raise ValueError(given)
    return given


def _convert_bool(given: str) -> bool:
    if given.lower() in TRUE_WORDS:
        return True
    if given.lower() in FALSE_WORDS:
        return False
    raise ValueError(given)


def _format_value(option: Option, value: Value) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, tuple):
        return ", ".join(value)
    if isinstance(value, datetime.timedelta):
        scale = 1000 if option.unit == "ms" else 1
        return _format_number(value.total_seconds() * scale)
    return str(value)


def _format_number(value: float) -> str:
    return str(int(value)) if value == int(value) else repr(value)


CONVERTERS: abc.Mapping[str, abc.Callable[[str], Value]] = {
    "address": _check_address,
    "addresses": _check_addresses,
    "bool": _convert_bool,
    "file": _check_file,
    "host": _check_host,
    "list": _split_list,
    "name": _check_name,
    "str": str,
    "url": _check_url,
}
