"""Target stand-in that answers with given bytes."""

import asyncio
import contextlib

import fake_target

__all__ = ["RawTarget"]


class RawTarget(fake_target.FakeTarget):
    """Answers each request with ``response`` and closes the connection.

    In ``response``, ``REQUEST-ID`` stands for the id of the request.
    """

    def __init__(self, name: str, service: str) -> None:
        super().__init__(name, service)
        self.response = b""
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on ``port`` of loopback, or on a free one."""
        self._server = await asyncio.start_server(
            self._answer, "127.0.0.1", port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """End at once."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            head = await reader.readuntil(b"\r\n\r\n")
            request_id = b""
            for line in head.lower().split(b"\r\n"):
                name, _, value = line.partition(b":")
                if name == b"x-balsamramp-request-id":
                    request_id = value.strip()
            self.runs.append(request_id.decode())
            writer.write(self.response.replace(b"REQUEST-ID", request_id))
            await writer.drain()
        writer.close()
