"""Decodes what other programs have written, with one kind of error."""

from collections import abc
import typing
import zlib

import msgspec

__all__ = [
    "MALFORMED_ERRORS",
    "DecodingError",
    "decode_json",
    "decode_msgpack",
    "decode_with",
]

# Besides its own errors, the library raises RecursionError for deep nesting,
# and conversions raise the others for values out of range.
MALFORMED_ERRORS = (
    msgspec.MsgspecError,
    ArithmeticError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
    zlib.error,
)
MESSAGE_MAX_CHARACTERS = 200

_Value = typing.TypeVar("_Value")


class DecodingError(Exception):
    """The bytes are not a valid encoding of what is expected."""


def decode_json(data: bytes, kind: type[_Value]) -> _Value:
    """Return the value of ``kind`` in JSON; raises DecodingError.

    Example::

        decode_json(b"[1, 2]", list[int])
    """
    return decode_with(
        lambda given: msgspec.json.decode(given, type=kind), data
    )


def decode_msgpack(data: bytes, kind: type[_Value]) -> _Value:
    """Return the value of ``kind`` in MessagePack; raises DecodingError."""
    return decode_with(
        lambda given: msgspec.msgpack.decode(given, type=kind), data
    )


def decode_with(
    decoder: abc.Callable[[typing.Any], _Value], data: typing.Any
) -> _Value:
    """Return what ``decoder`` makes of ``data``; raises DecodingError."""
    try:
        return decoder(data)
    except MALFORMED_ERRORS as error:
        text = f"{type(error).__name__}: {error}"[:MESSAGE_MAX_CHARACTERS]
        raise DecodingError(text) from error
