"""The body of a message while it is received."""

from collections import abc

__all__ = ["CHUNK_FRAMING_RATIO_MAX", "LENGTH_HEADER", "BodyParts"]

# Smaller parts of a body are joined: each has the overhead of an object.
PART_MIN_BYTES = 1024
# Additional bytes per byte of body for the framing of chunks.
CHUNK_FRAMING_RATIO_MAX = 16
# Header field with the length of a body, in lower case.
LENGTH_HEADER = b"content-length"


class BodyParts:
    """Collects the parts of a body with little overhead for small ones."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0

    @property
    def size(self) -> int:
        """Return the number of bytes."""
        return self._size

    def append(self, data: bytes) -> None:
        """Append a part to the last one if that is small."""
        self._size += len(data)
        if self._parts and len(self._parts[-1]) < PART_MIN_BYTES:
            self._parts[-1] += data
        else:
            self._parts.append(data)

    def has_stated_length(
        self, headers: abc.Iterable[tuple[bytes, bytes]]
    ) -> bool:
        """Return whether the body has the length in ``headers``, if any."""
        for name, value in headers:
            if name == LENGTH_HEADER and int(value) != self._size:
                return False
        return True

    def join(self) -> bytes:
        """Return the body."""
        return b"".join(self._parts)
