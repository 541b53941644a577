"""Soak callers that leave before they have an answer."""

import asyncio
from collections import abc
import contextlib
import socket
import struct
import time

import soak_callers
import soak_faults
import soak_harness
import soak_records

__all__ = ["DEPARTURES", "LeavingCallers", "PauseAmongCallers"]

CALLERS = (1, 25)
AHEAD_MAX = 16
COMES_SECONDS = 3.0
STAYS_SECONDS = 0.6
ENDINGS = ("close", "reset", "half-close")
LINGER_RESET = struct.pack("ii", 1, 0)


class LeavingCallers(soak_faults.Fault):
    """Some callers send a few requests ahead, and leave soon."""

    lasts = (0.5, 3.0)
    planned = True

    def affected_nodes(self) -> abc.Sequence[soak_harness.Node]:
        return []

    async def begin(self) -> None:
        self._tasks = [
            asyncio.create_task(self._call())
            for _ in range(self.rng.randint(*CALLERS))
        ]

    async def end(self) -> None:
        await asyncio.gather(*self._tasks)

    async def _call(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, COMES_SECONDS))
        sock = socket.socket()
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        port = self.node.sidecar.ports["callers"]
        with sock, contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(soak_callers.CONNECT_TIMEOUT_SECONDS):
                await loop.sock_connect(sock, ("127.0.0.1", port))
            made = [
                self.world.draw_read(self.node)
                for _ in range(self.rng.randint(1, AHEAD_MAX))
            ]
            paused_since = self.node.paused_since
            self.world.ledger.exchanges += made
            data = b"".join(soak_callers.encode(item) for item in made)
            await loop.sock_sendall(sock, data)
            await asyncio.sleep(self.rng.uniform(0.0, STAYS_SECONDS))
            ending = self.rng.choice(ENDINGS)
            if ending == "reset":
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                )
            if ending == "half-close":
                sock.shutdown(socket.SHUT_WR)
            else:
                sock.close()
            for item in made:
                item.ended_at = time.monotonic()
                item.ending = soak_records.Ending.LEFT
                # The process has read nothing of it.
                item.unread = (
                    paused_since is not None
                    and paused_since == self.node.paused_since
                )
            if ending == "half-close":
                await asyncio.sleep(STAYS_SECONDS)


class PauseAmongCallers(LeavingCallers):
    """A process stands still while callers come and leave."""

    lasts = (0.2, 6.0)
    planned = False

    def affected_nodes(self) -> abc.Sequence[soak_harness.Node]:
        return [self.node]

    async def begin(self) -> None:
        self.node.pause()
        await super().begin()

    async def end(self) -> None:
        self.node.resume()
        await super().end()


DEPARTURES: tuple[type[soak_faults.Fault], ...] = (
    LeavingCallers,
    LeavingCallers,
    PauseAmongCallers,
    PauseAmongCallers,
    soak_faults.DelayConnections,
    soak_faults.KillNode,
    soak_faults.PauseNode,
    soak_faults.ResetConnections,
    soak_faults.ScarceSlots,
    soak_faults.SlowTarget,
    soak_faults.StopNode,
)
