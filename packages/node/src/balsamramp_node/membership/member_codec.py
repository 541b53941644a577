"""Encodes lists of members as compressed MessagePack."""

from collections import abc
import zlib

import msgspec

from balsamramp_wire import messages

__all__ = ["pack", "unpack"]

COMPRESSION_LEVEL = 1


def pack(members: abc.Sequence[messages.Member]) -> bytes:
    """Return ``members`` as compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(members), COMPRESSION_LEVEL)


def unpack(packed: bytes) -> list[messages.Member]:
    """Return the members encoded by ``pack``."""
    data = zlib.decompress(packed)
    return msgspec.msgpack.decode(data, type=list[messages.Member])
