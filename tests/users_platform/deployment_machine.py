"""Machine of a deployment run: the target and the callers beside a node.

Run as a program it reads a plan from its standard input, starts the target,
reads when the requests begin, and prints what became of them.
"""

import asyncio
import collections
import contextlib
import math
import random
import sys
import time

import aiohttp
from aiohttp import web
import fake_target
import msgspec
import uvloop

__all__ = ["HOST", "Kind", "Machine", "Plan", "Trouble", "main"]

HOST = "mesh.example"
HEADER_PREFIX = fake_target.HEADER_PREFIX
# Requests that wait at a target beyond its slots, for each slot.
QUEUE_RATIO = 4
HEARTBEAT_SECONDS = 0.87
CONNECT_TIMEOUT_SECONDS = 1.0
RETRIED_STATUSES = (408, 421, 429, 503)


class Kind(msgspec.Struct, kw_only=True):
    """A kind of request; one without a ``rate`` is made by targets only.

    A target makes ``inner_times`` requests of the kind ``inner`` in
    ``inner_share`` of the runs.
    """

    name: str
    service: str
    route_type: str
    rate: float
    work: float
    spread: float
    objective: float
    deadline: float
    priority: int
    retries: int = 0
    size: int = 400
    inner: str = ""
    inner_times: int = 1
    inner_share: float = 0.7


class Machine(msgspec.Struct, kw_only=True):
    """A machine: its node's addresses, its target, its part of the load."""

    name: str
    zone: str
    service: str
    slots: int
    speed: float
    target: str
    callers: str
    control: str
    load_share: float


class Trouble(msgspec.Struct, kw_only=True):
    """What is otherwise from ``begin`` to ``end``, seconds into the run.

    ``load`` multiplies the rates; ``work`` multiplies the work of the
    targets of ``service``, or ends their connections if it is 0.
    """

    begin: float
    end: float
    load: float = 1.0
    service: str = ""
    work: float = 1.0


class Plan(msgspec.Struct, kw_only=True):
    """What the machine of one process does."""

    machine: Machine
    kinds: list[Kind]
    troubles: list[Trouble]
    hangs_when_full: bool
    seconds: float
    seed: int


class _Run:
    """The state that the callers and the target share."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.begin = math.inf
        self.kinds = {kind.name: kind for kind in plan.kinds}
        self.random = random.Random(plan.seed)
        self.counts: collections.Counter[tuple[str, ...]]
        self.counts = collections.Counter()

    def trouble(self) -> Trouble:
        """Return what holds now."""
        elapsed = time.time() - self.begin
        for trouble in self.plan.troubles:
            if trouble.begin <= elapsed < trouble.end:
                return trouble
        return Trouble(begin=0.0, end=0.0)

    def count(self, kind: Kind, parent: str, caller: str, end: str) -> None:
        """Count a request, all attempts together, by how it ended."""
        elapsed = time.time() - self.begin
        phase = "calm"
        for number, trouble in enumerate(self.plan.troubles):
            if elapsed >= trouble.end:
                phase = f"after {number}"
            elif elapsed >= trouble.begin:
                phase = f"trouble {number}"
        self.counts[(phase, kind.name, parent, caller, end)] += 1


class _Caller:
    """Sends requests to the node of one machine and repeats refused ones."""

    def __init__(self, run: _Run, machine: Machine) -> None:
        self._run = run
        self._machine = machine
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def request(self, kind: Kind, budget: float, parent: str) -> bool:
        """Return whether a request of ``kind`` was served in ``budget``."""
        until = time.monotonic() + budget
        end = "timeout"
        for _ in range(kind.retries + 1):
            left = until - time.monotonic()
            if left <= 0:
                break
            end, wait = await self._attempt(kind, left)
            if end.startswith("served"):
                break
            is_promise = end in map(str, RETRIED_STATUSES)
            if kind.route_type == "unsafe" and not is_promise:
                break
            left = until - time.monotonic()
            await asyncio.sleep(max(0.0, min(wait, left / 3)))
        self._run.count(kind, parent, self._machine.name, end)
        return end.startswith("served")

    async def _attempt(self, kind: Kind, left: float) -> tuple[str, float]:
        request_id = f"{self._run.random.getrandbits(64):016x}"
        headers = {
            "Host": HOST,
            HEADER_PREFIX + "Request-Id": request_id,
            HEADER_PREFIX + "Request-Timeout-Ms": f"{left * 1000:.0f}",
        }
        method = "POST" if kind.route_type == "unsafe" else "GET"
        url = f"http://{self._machine.callers}/{kind.name}/x"
        try:
            async with (
                asyncio.timeout(left),
                self._session.request(method, url, headers=headers) as reply,
            ):
                body = await reply.read()
                if reply.status != 200:
                    wait = float(reply.headers.get("Retry-After", 0.05))
                    return str(reply.status), wait
                if len(body) < kind.size:
                    return "short", 0.0
                node = reply.headers.get(HEADER_PREFIX + "Instance-Id", "")
                return f"served {node}", 0.0
        except TimeoutError:
            return "timeout", 0.0
        except (aiohttp.ClientError, OSError) as error:
            return type(error).__name__, 0.05


class _Target(fake_target.FakeTarget):
    """Works on as many requests as it has slots, and queues some more."""

    def __init__(self, run: _Run, machine: Machine, caller: _Caller) -> None:
        super().__init__(f"i-{machine.name}", machine.service)
        self.slots = machine.slots
        self.host, _, port = machine.target.rpartition(":")
        self.port = int(port)
        self.drops_cancelled = True
        self.zone = machine.zone
        self._run = run
        self._speed = machine.speed
        self._caller = caller
        self._free = asyncio.Semaphore(machine.slots)
        self._present = 0

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        headers = {
            HEADER_PREFIX + "Instance-Id": self.name,
            HEADER_PREFIX + "Request-Id": request.headers.get(
                HEADER_PREFIX + "Request-Id", ""
            ),
        }
        if request.path == "/health":
            return web.Response(headers=headers)
        expected = request.headers.get(HEADER_PREFIX + "Target-Instance")
        if expected not in (None, self.name):
            return web.Response(status=421, headers=headers)
        if self._present >= self.slots * (1 + QUEUE_RATIO):
            if self._run.plan.hangs_when_full:
                await asyncio.Event().wait()
            headers[HEADER_PREFIX + "Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        timeout = request.headers.get(HEADER_PREFIX + "Request-Timeout-Ms", "")
        until = time.monotonic() + float(timeout or 1000) / 1000
        await request.read()
        self._present += 1
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + until - time.monotonic()
            ):
                async with self._free:
                    return await self._work(request, headers, until)
        except TimeoutError:
            return web.Response(status=504, headers=headers)
        finally:
            self._present -= 1

    async def _work(
        self, request: web.Request, headers: dict[str, str], until: float
    ) -> web.StreamResponse:
        run = self._run
        kind = run.kinds[request.path.split("/")[1]]
        trouble = run.trouble()
        factor = trouble.work if trouble.service == self.service else 1.0
        transport = request.transport
        if not factor and transport is not None:
            transport.abort()
        mean = math.log(kind.work) - kind.spread**2 / 2
        seconds = run.random.lognormvariate(mean, kind.spread)
        seconds *= factor / self._speed
        if kind.inner and run.random.random() < kind.inner_share:
            inner = run.kinds[kind.inner]
            left = min(inner.deadline, until - time.monotonic())
            served = await asyncio.gather(
                *(
                    self._caller.request(inner, left, kind.name)
                    for _ in range(kind.inner_times)
                )
            )
            if not all(served):
                return web.Response(status=500, headers=headers)
        await asyncio.sleep(seconds)
        headers[HEADER_PREFIX + "Response-Signature"] = "3e1b.07"
        return web.Response(body=bytes(kind.size), headers=headers)


async def _load(run: _Run, machine: Machine, caller: _Caller) -> None:
    """Send requests of all kinds at their rates until the run ends."""
    kinds = [kind for kind in run.plan.kinds if kind.rate]
    weights = [kind.rate for kind in kinds]
    rate = sum(weights) * machine.load_share
    end = run.begin + run.plan.seconds
    due = run.begin
    async with asyncio.TaskGroup() as group:
        while due < end:
            await asyncio.sleep(max(0.0, due - time.time()))
            kind = run.random.choices(kinds, weights)[0]
            group.create_task(caller.request(kind, kind.deadline, ""))
            due += run.random.expovariate(rate * run.trouble().load)


async def _announce(target: _Target, control: str) -> None:
    while True:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with asyncio.timeout(1.0):
                await target.send_heartbeat(control)
        await asyncio.sleep(HEARTBEAT_SECONDS)


async def _play(plan: Plan) -> list[tuple[tuple[str, ...], int]]:
    run = _Run(plan)
    machine = plan.machine
    caller = _Caller(run, machine)
    target = _Target(run, machine, caller)
    await target.start(target.port)
    announcement = asyncio.create_task(_announce(target, machine.control))
    run.begin = float(await asyncio.to_thread(sys.stdin.buffer.readline))
    await _load(run, machine, caller)
    # The other machines' last requests may make calls until then.
    longest = max(kind.deadline for kind in plan.kinds)
    end = run.begin + plan.seconds + longest
    await asyncio.sleep(max(0.0, end - time.time()))
    announcement.cancel()
    await target.stop()
    await caller.close()
    return list(run.counts.items())


def main() -> None:
    """Play the machine of the plan on the standard input."""
    plan = msgspec.json.decode(sys.stdin.buffer.readline(), type=Plan)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        counts = runner.run(_play(plan))
    sys.stdout.buffer.write(msgspec.json.encode(counts))


if __name__ == "__main__":
    main()
