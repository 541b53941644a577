"""Stand-in of the requesters of all machines, with a record."""

import asyncio
import collections
import itertools
import time
import typing

import attrs
import backend
import fleet
import http1

__all__ = ["Answer", "Callers"]

TIMEOUT_SECONDS = 2.0


@attrs.frozen(kw_only=True)
class Answer:
    """One request and what became of it; status 0 is no answer."""

    request_id: str
    service: str
    kind: str
    machine: str
    sent_at: float
    status: int
    milliseconds: float


class Callers:
    """Send requests at a steady rate, in turn to each of the machines.

    Each request has a connection of the machine that no other one uses.
    """

    def __init__(
        self, machines: list[fleet.Machine], prefix: str = "r"
    ) -> None:
        self.answers: list[Answer] = []
        self._machines = machines
        self._idle: dict[str, list[http1.Connection]]
        self._idle = collections.defaultdict(list)
        self._numbers = itertools.count(1)
        self._prefix = prefix
        self._tasks: set[asyncio.Task[Answer]] = set()

    async def run(
        self,
        per_second: float,
        service: str,
        kind: str,
        until: typing.Callable[[], bool],
    ) -> None:
        """Send requests until ``until`` returns True."""
        turns = itertools.cycle(self._machines)
        next_at = time.monotonic()
        while not until():
            next_at += 1 / per_second
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            task = asyncio.create_task(self.send(next(turns), service, kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(list(self._tasks))

    async def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        await asyncio.sleep(0)

    async def send(
        self, machine: fleet.Machine, service: str, kind: str
    ) -> Answer:
        """Send one request at a machine and record its answer."""
        request_id = f"{self._prefix}{next(self._numbers):06d}"
        sent_at = time.monotonic()
        status = 0
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                status = await self._exchange(
                    machine, service, kind, request_id
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        answer = Answer(
            request_id=request_id,
            service=service,
            kind=kind,
            machine=machine.name,
            sent_at=sent_at,
            status=status,
            milliseconds=round((time.monotonic() - sent_at) * 1000, 1),
        )
        self.answers.append(answer)
        return answer

    async def _exchange(
        self, machine: fleet.Machine, service: str, kind: str, request_id: str
    ) -> int:
        idle = self._idle[machine.name]
        connection = (
            idle.pop()
            if idle
            else await http1.Connection.open(*machine.address("callers"))
        )
        headers = {
            "host": f"{service}.example",
            backend.header("request-id"): request_id,
            backend.header("request-timeout-ms"): str(
                int(TIMEOUT_SECONDS * 1000)
            ),
        }
        method = "GET" if kind == "safe" else "POST"
        try:
            response = await connection.send(
                method, f"/{kind}/x", headers, b"" if kind == "safe" else b"b"
            )
        except BaseException:
            connection.close()
            raise
        if response.headers.get("connection", "").lower() == "close":
            connection.close()
        else:
            idle.append(connection)
        return response.status
