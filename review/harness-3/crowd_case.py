"""A crowd of clients at one machine, beside its ordinary callers."""

import abc
import asyncio
import contextlib
import os
import pathlib
import time

import fleet

__all__ = ["CROWD_SECONDS", "HOST", "Crowd", "main"]

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICES = ["caja", "caja", "caja", "catalogo", "catalogo", "catalogo"]
ROUTE_TIMEOUT_MS = 1000
REQUEST_TIMEOUT_MS = 2500
ORDINARY_INTERVAL = 0.05
ORDINARY_SECONDS = 20.0
CALM_SECONDS = 3.0
CROWD_SECONDS = 15.0
# A host that no route names.
HOST = "nowhere.example"
# The rule's own figures.
UNANSWERED_MIN = 8
LATE_SECONDS = 0.5


class Crowd(abc.ABC):
    """Clients that send requests until ``end``; counts their answers."""

    size: int

    def __init__(self) -> None:
        self.outcomes: dict[str, int] = {}
        self.sent_bytes = 0

    async def run(self, machine: fleet.Machine) -> None:
        """Send until the time is over."""
        end = time.monotonic() + CROWD_SECONDS
        async with asyncio.TaskGroup() as group:
            for number in range(self.size):
                group.create_task(self._repeat(machine, end, number))

    async def _repeat(
        self, machine: fleet.Machine, end: float, number: int
    ) -> None:
        while time.monotonic() < end:
            outcome = await self.send(machine, end, number)
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    @abc.abstractmethod
    async def send(
        self, machine: fleet.Machine, end: float, number: int
    ) -> str:
        """Send one request; return its outcome."""


async def _read(machine: fleet.Machine) -> list[fleet.Reply]:
    """Send ordinary reads at a steady pace; return what came of them."""
    tasks = []
    for number in range(int(ORDINARY_SECONDS / ORDINARY_INTERVAL)):
        request = ("GET", "caja.example", f"/read/{number}/")
        sending = fleet.send(
            machine, f"read-{number}", request, REQUEST_TIMEOUT_MS
        )
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(ORDINARY_INTERVAL)
    return list(await asyncio.gather(*tasks))


async def _watch_ready(
    cluster: fleet.Fleet, machine: fleet.Machine, seen: list[int]
) -> None:
    """Ask for readiness once a second, as the platform does."""
    while True:
        started = time.monotonic()
        seen.append(await cluster.readiness(machine))
        await asyncio.sleep(max(0.0, started + 1.0 - time.monotonic()))


async def _play(cluster: fleet.Fleet, crowd: Crowd, lines: list[str]) -> int:
    configuration = {
        "version": 7,
        "routes": {
            "read": fleet.route("caja", "/read/", "safe", ROUTE_TIMEOUT_MS),
            "list": fleet.route("catalogo", "/list/", "safe", 1000),
        },
        "services": {"caja": fleet.service(), "catalogo": fleet.service()},
        "limits": fleet.LIMITS,
    }
    await cluster.start(SERVICES, configuration)
    await asyncio.sleep(CALM_SECONDS)
    machine = cluster.machines[0]
    ready: list[int] = []
    watching = asyncio.create_task(_watch_ready(cluster, machine, ready))
    reading = asyncio.create_task(_read(machine))
    await asyncio.sleep(CALM_SECONDS)
    await crowd.run(machine)
    replies = await reading
    watching.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await watching
    return _judge(replies, crowd, ready, lines)


def _judge(
    replies: list[fleet.Reply],
    crowd: Crowd,
    ready: list[int],
    lines: list[str],
) -> int:
    """Apply the rule; return the exit code."""
    due = ROUTE_TIMEOUT_MS / 1000
    unanswered = late = 0
    outcomes: dict[str, int] = {}
    for reply in replies:
        took = reply.ended - reply.sent
        outcomes[reply.outcome] = outcomes.get(reply.outcome, 0) + 1
        lines.append(f"{reply.request_id} {took:.3f} s {reply.outcome}")
        unanswered += took > due
        late += took > due + LATE_SECONDS
    lines.append(
        f"crowd of {crowd.size}: {crowd.sent_bytes} bytes sent,"
        f" answers {crowd.outcomes}"
    )
    lines.append(f"readiness, once a second: {ready}")
    lines.append(f"ordinary requests: {outcomes}")
    lines.append(
        f"unanswered at the route's {ROUTE_TIMEOUT_MS} ms: {unanswered},"
        f" of these without an answer 0.5 s later: {late}"
    )
    broken = unanswered >= UNANSWERED_MIN and late * 2 > unanswered
    lines.append("CONFIG is broken" if broken else "CONFIG holds")
    return 1 if broken else 0


def main(folder: pathlib.Path, crowd: Crowd) -> int:
    """Play the case, write its record and return the exit code."""
    cluster = fleet.Fleet()
    lines = [f"TROUBLE={int(TROUBLE)}"]
    try:
        code = asyncio.run(_play(cluster, crowd, lines))
    except (OSError, TimeoutError) as error:
        lines.append(f"the case couldn't run: {error!r}")
        code = 2
    finally:
        cluster.stop()
    (folder / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[-5:]))
    return code
