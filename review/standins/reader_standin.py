"""Requester that sends requests ahead and reads at a given pace."""

import asyncio
import contextlib
import socket
import time

import deployment_standin

__all__ = ["PipeliningReader"]

PART_BYTES = 64 * 1024


class PipeliningReader:
    """One kept connection with several requests on it.

    ``answered`` counts the whole answers, which come in order. ``ended``
    tells how the connection ended before the last one, and
    ``told_to_close`` that an answer announced the close.
    """

    def __init__(
        self,
        fleet: deployment_standin.Deployment,
        machine: deployment_standin.Machine,
        host: str,
        path: str,
        timeout_ms: int,
        bytes_per_second: int,
    ) -> None:
        self.request_ids: list[str] = []
        self.answered = 0
        self.ended = ""
        self.ended_at = 0.0
        self.told_to_close = False
        self._fleet = fleet
        self._machine = machine
        self._host = host
        self._path = path
        self._timeout_ms = timeout_ms
        self._bytes_per_second = bytes_per_second
        self._received = bytearray()
        self._until = 0.0
        self._socket = socket.socket()

    async def open(self) -> None:
        """Connect, with a small receive buffer."""
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, PART_BYTES
        )
        await asyncio.get_running_loop().sock_connect(
            self._socket, (self._machine.ip, self._machine.ports["callers"])
        )
        self._until = time.monotonic() + self._timeout_ms / 1000

    async def send(self, count: int) -> None:
        """Send requests without waiting for answers."""
        requests = b""
        for _ in range(count):
            request_id, data = self._fleet.encode_request(
                "GET", self._host, self._path, self._timeout_ms
            )
            self.request_ids.append(request_id)
            requests += data
            self._fleet.record.write(
                f"sent {request_id} GET {self._host}{self._path}"
            )
        await asyncio.get_running_loop().sock_sendall(self._socket, requests)

    async def read_answers(self, count: int) -> None:
        """Read until there are ``count`` answers or the connection ends."""
        loop = asyncio.get_running_loop()
        try:
            while self.answered < count:
                async with asyncio.timeout(self._until - time.monotonic()):
                    data = await loop.sock_recv(self._socket, PART_BYTES)
                if not data:
                    self.ended = "closed"
                    break
                self._received += data
                self._take_answers()
                if self._bytes_per_second:
                    await asyncio.sleep(len(data) / self._bytes_per_second)
        except (OSError, TimeoutError) as error:
            self.ended = repr(error)
        self.ended_at = time.monotonic()

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self._socket.close()

    def _take_answers(self) -> None:
        """Drop the whole answers from what was received."""
        while True:
            head_end = self._received.find(b"\r\n\r\n")
            if head_end < 0:
                return
            head = bytes(self._received[:head_end]).lower()
            if b"\r\nconnection: close" in head:
                self.told_to_close = True
            length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
            end = head_end + 4 + length
            if len(self._received) < end:
                return
            del self._received[:end]
            request_id = self.request_ids[self.answered]
            status = head.split(b" ")[1].decode()
            self._fleet.record.write(
                f"answered {request_id}: {status}, {length} bytes"
            )
            self.answered += 1
