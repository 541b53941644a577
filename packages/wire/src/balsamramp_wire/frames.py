"""Frames: length-prefixed messages on the stream between nodes.

A frame is four bytes of length (big endian, the payload alone), one byte
that names the kind of message, and the message in MessagePack.
"""

import asyncio
from collections import abc
import struct
import typing

import msgspec

from balsamramp_wire import messages

__all__ = ["FrameError", "decode", "encode", "read"]

HEADER = struct.Struct(">IB")
PAYLOAD_MAX_BYTES = 16 * 1024 * 1024

KINDS: dict[int, type] = {
    1: messages.Hello,
    2: messages.Ping,
    3: messages.Pong,
    4: messages.CallRequest,
    5: messages.CallAnswer,
    6: messages.CallFailure,
    7: messages.CallCancel,
    8: messages.ControlCall,
    9: messages.ControlAnswer,
}
NUMBERS = {kind: number for number, kind in KINDS.items()}
DECODERS: dict[int, msgspec.msgpack.Decoder[typing.Any]] = {
    number: msgspec.msgpack.Decoder(kind) for number, kind in KINDS.items()
}
ENCODER = msgspec.msgpack.Encoder()


class FrameError(Exception):
    """The bytes are not a frame of this protocol."""


def encode(message: object) -> bytes:
    """Return ``message`` as one frame."""
    payload = ENCODER.encode(message)
    if len(payload) > PAYLOAD_MAX_BYTES:
        raise FrameError(f"message of {len(payload)} bytes is too large")
    return HEADER.pack(len(payload), NUMBERS[type(message)]) + payload


def decode(number: int, payload: bytes) -> typing.Any:
    """Return the message of a frame's kind number and payload."""
    decoder = DECODERS.get(number)
    if decoder is None:
        raise FrameError(f"unknown kind of frame {number}")
    try:
        return decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise FrameError(f"malformed frame: {error}") from error


def _ignore() -> None:
    return None


async def read(
    reader: asyncio.StreamReader, heard: abc.Callable[[], None] = _ignore
) -> typing.Any:
    """Return the next message.

    ``heard`` is called whenever bytes of it have come. Raises FrameError
    on a malformed frame and asyncio.IncompleteReadError when the stream
    ends.
    """
    header = await reader.readexactly(HEADER.size)
    heard()
    length, number = HEADER.unpack(header)
    if length > PAYLOAD_MAX_BYTES:
        raise FrameError(f"frame of {length} bytes is too large")
    left = length
    parts: list[bytes] = []
    while left:
        part = await reader.read(left)
        if not part:
            raise asyncio.IncompleteReadError(b"".join(parts), length)
        heard()
        parts.append(part)
        left -= len(part)
    return decode(number, b"".join(parts))
