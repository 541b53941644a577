"""Encodes and decodes the length-prefixed frames on streams between nodes.

A frame consists of the length of the payload (four bytes, big endian), the
kind of message (one byte), and the payload: the message in MessagePack.
"""

import asyncio
from collections import abc
import datetime
import struct
import typing

import msgspec

from balsamramp_core import decoding
from balsamramp_wire import messages

__all__ = ["FrameError", "FrameReader", "decode", "encode"]

HEADER = struct.Struct(">IB")
PAYLOAD_MAX_BYTES = 16 * 1024 * 1024
# Frames that a connection receives in parts at the same time.
PARTS_MAX_BYTES = 2 * PAYLOAD_MAX_BYTES
# Default size limit of the buffer of an asyncio stream.
READ_MAX_BYTES = 128 * 1024

MESSAGE_TYPES: dict[int, type] = {
    1: messages.Hello,
    2: messages.Ping,
    3: messages.Pong,
    4: messages.CallRequest,
    5: messages.CallAnswer,
    6: messages.CallFailure,
    7: messages.CallCancel,
    8: messages.ControlCall,
    9: messages.ControlAnswer,
    10: messages.FramePart,
}
KIND_NUMBERS = {kind: number for number, kind in MESSAGE_TYPES.items()}
DECODERS: dict[int, msgspec.msgpack.Decoder[typing.Any]] = {
    number: msgspec.msgpack.Decoder(kind)
    for number, kind in MESSAGE_TYPES.items()
}
ENCODER = msgspec.msgpack.Encoder()


class FrameError(Exception):
    """The bytes are not a frame of this protocol."""


def encode(message: object) -> bytes:
    """Return ``message`` as one frame.

    Raises FrameError if the message is larger than PAYLOAD_MAX_BYTES.
    """
    payload = ENCODER.encode(message)
    if len(payload) > PAYLOAD_MAX_BYTES:
        raise FrameError(
            f"message of {len(payload)} bytes is too large,"
            f" the maximum is {PAYLOAD_MAX_BYTES}"
        )
    return HEADER.pack(len(payload), KIND_NUMBERS[type(message)]) + payload


def decode(number: int, payload: bytes) -> typing.Any:
    """Return the message with the given kind number and payload.

    Raises FrameError for an unknown kind or a malformed payload.
    """
    decoder = DECODERS.get(number)
    if decoder is None:
        raise FrameError(f"unknown frame kind {number}")
    try:
        return decoding.decode_with(decoder.decode, payload)
    except decoding.DecodingError as error:
        raise FrameError(f"malformed frame: {error}") from error


def _decode_frame(frame: bytes) -> typing.Any:
    if len(frame) < HEADER.size:
        raise FrameError(f"frame of {len(frame)} bytes has no header")
    length, number = HEADER.unpack_from(frame)
    if length != len(frame) - HEADER.size:
        raise FrameError(
            f"frame in parts has {len(frame) - HEADER.size} bytes,"
            f" its header says {length}"
        )
    return decode(number, frame[HEADER.size :])


def _do_nothing() -> None:
    return None


class FrameReader:
    """Reads frames from a stream, buffering all bytes that have arrived.

    ``on_data`` is called whenever bytes are received.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        on_data: abc.Callable[[], None] = _do_nothing,
    ) -> None:
        self._reader = reader
        self._on_data = on_data
        self._buffer = bytearray()
        self._start = 0
        self._parts: dict[int, bytearray] = {}
        self._read_at = 0.0
        self._began_at = 0.0
        self._transfer_seconds = 0.0

    @property
    def transfer(self) -> datetime.timedelta:
        """Return the time from the first to the last byte of the message."""
        return datetime.timedelta(seconds=self._transfer_seconds)

    async def read(self) -> typing.Any:
        """Return the next message.

        Raises FrameError on a malformed frame and
        asyncio.IncompleteReadError when the stream ends.
        """
        while True:
            left = len(self._buffer) - self._start
            if left >= HEADER.size:
                length, number = HEADER.unpack_from(self._buffer, self._start)
                if length > PAYLOAD_MAX_BYTES:
                    raise FrameError(
                        f"frame of {length} bytes is too large,"
                        f" the maximum is {PAYLOAD_MAX_BYTES}"
                    )
                if left >= HEADER.size + length:
                    message = decode(number, self._take_payload(length))
                    if not isinstance(message, messages.FramePart):
                        return message
                    whole = self._add_part(message)
                    if whole is not None:
                        return _decode_frame(whole)
                    continue
            await self._fill()

    def _add_part(self, part: messages.FramePart) -> bytes | None:
        """Return the frame if ``part`` completes it."""
        if part.drop:
            self._parts.pop(part.number, None)
            return None
        received = self._parts.setdefault(part.number, bytearray())
        received += part.data
        total = sum(len(data) for data in self._parts.values())
        if total > PARTS_MAX_BYTES:
            raise FrameError(
                f"parts of frames have {total} bytes,"
                f" the maximum is {PARTS_MAX_BYTES}"
            )
        if not part.last:
            return None
        return bytes(self._parts.pop(part.number))

    def _take_payload(self, length: int) -> bytes:
        self._transfer_seconds = self._read_at - self._began_at
        # What follows in the buffer came with the last read.
        self._began_at = self._read_at
        start = self._start + HEADER.size
        self._start = start + length
        with memoryview(self._buffer) as view:
            return bytes(view[start : self._start])

    async def _fill(self) -> None:
        if self._start:
            del self._buffer[: self._start]
            self._start = 0
        data = await self._reader.read(READ_MAX_BYTES)
        if not data:
            raise asyncio.IncompleteReadError(bytes(self._buffer), None)
        self._on_data()
        self._read_at = asyncio.get_running_loop().time()
        if not self._buffer:
            self._began_at = self._read_at
        self._buffer += data
