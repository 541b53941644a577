"""Encodes lists of members as compressed MessagePack."""

from collections import abc
import zlib

import msgspec

from balsamramp_core import decoding
from balsamramp_wire import messages

__all__ = ["pack", "unpack"]

COMPRESSION_LEVEL = 1
UNPACKED_MAX_BYTES = 16 * 1024 * 1024


def pack(members: abc.Sequence[messages.Member]) -> bytes:
    """Return ``members`` as compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(members), COMPRESSION_LEVEL)


def unpack(packed: bytes) -> list[messages.Member]:
    """Return the members encoded by ``pack``; raises DecodingError."""
    data = decoding.decode_with(_decompress, packed)
    return decoding.decode_msgpack(data, list[messages.Member])


def _decompress(packed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(packed, UNPACKED_MAX_BYTES)
    if not decompressor.eof:
        raise ValueError(
            f"members are incomplete, or over {UNPACKED_MAX_BYTES} bytes"
        )
    return data
