"""Joined writes: a transport that writes once in a turn of the loop."""

import asyncio
import typing

__all__ = ["JoinedWrites"]


class JoinedWrites:
    """Passes on together what is written before the loop turns.

    The head and the body of an answer then cost one system call, which
    is most of what it costs to write a small one.
    """

    def __init__(
        self, transport: typing.Any, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._transport = transport
        self._loop = loop
        self._parts: list[bytes] = []

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        """Write ``data`` at the end of this turn."""
        if not self._parts:
            self._loop.call_soon(self._flush)
        self._parts.append(data)

    def close(self) -> None:
        """Write what is left, then close."""
        self._flush()
        self._transport.close()

    def _flush(self) -> None:
        if not self._parts:
            return
        data = b"".join(self._parts)
        self._parts.clear()
        if not self._transport.is_closing():
            self._transport.write(data)
