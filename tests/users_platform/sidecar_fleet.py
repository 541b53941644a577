"""Fleet stand-in: sidecars as processes, beside targets, on loopback."""

import asyncio
import contextlib
import itertools
import os
import pathlib
import signal
import socket
import sys
import typing

import aiohttp
import attrs
import fake_store
import fake_target
import yarl

__all__ = [
    "SidecarFleet",
    "SidecarProcess",
    "configuration",
    "exact_url",
    "free_ports",
    "send_heartbeats",
    "terminate",
]

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_TIMEOUT_SECONDS = 60.0
NAMES = ("callers", "ready", "control", "stream", "metrics")
# Each process of the tests draws from a part of its own, each port once.
FIRST_PORT = 12_000
PORTS_EACH = 500
PORT_PARTS = 40
SETTINGS = """\
[node]
id = {name}
zone = {zone}
region = r
service = {service}
target = 127.0.0.1:{target}
memory = {memory}
descriptors = {descriptors}
[listen]
host = 127.0.0.1
callers = 127.0.0.1:{callers}
ready = 127.0.0.1:{ready}
announcements = 127.0.0.1:{control}
stream_port = {stream}
link_rate = {link_rate}
stream_advertised = {advertised}
metrics_port = {metrics}
[platform]
address = 127.0.0.1:{store}
[shutdown]
grace = {grace}
"""
GRACE_SECONDS = 3
MEMORY_MB = 300


def configuration(version: int, **routes: typing.Any) -> dict[str, typing.Any]:
    """Return a configuration of two services with ``routes`` on top."""
    service = {
        "healthPath": "/health",
        "maxConnections": 50,
        "protocol": "h1",
        "tls": False,
        "warmupS": 1.0,
        "warmupPerS": 20.0,
    }
    route = {
        "host": "caja.example",
        "prefix": "/pay/",
        "routeType": "unsafe",
        "timeoutMs": 3000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": "caja",
        "maxAttempts": 2,
    }
    read = {**route, "prefix": "/read/", "routeType": "safe"}
    return {
        "version": version,
        "routes": {"pay": route, "read": read, **routes},
        "services": {"caja": service, "catalogo": service},
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


@attrs.define(eq=False, kw_only=True)
class SidecarProcess:
    """One running sidecar and the target beside it."""

    process: asyncio.subprocess.Process
    settings: pathlib.Path
    ports: dict[str, int]
    target: fake_target.FakeTarget
    heartbeat_task: asyncio.Task[None]

    def address(self, port: str) -> str:
        """Return one of the sidecar's addresses."""
        return f"127.0.0.1:{self.ports[port]}"

    async def ready(self) -> int:
        """Return the status of the readiness call."""
        url = f"http://{self.address('ready')}/v1/readiness"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as answer,
        ):
            return answer.status

    def log(self) -> str:
        """Return what the process has written."""
        return self.settings.with_suffix(".log").read_text()


class SidecarFleet:
    """Starts sidecars against one store; ends only what it started."""

    def __init__(
        self, folder: pathlib.Path, grace_seconds: int = GRACE_SECONDS
    ) -> None:
        self.store = fake_store.FakeStore()
        self.sidecars: list[SidecarProcess] = []
        self._processes: list[asyncio.subprocess.Process] = []
        self._folder = folder
        self._grace_seconds = grace_seconds

    async def __aenter__(self) -> "SidecarFleet":
        await self.store.start(free_ports(("store",))["store"])
        return self

    async def __aexit__(self, *error: object) -> None:
        for sidecar in self.sidecars:
            sidecar.heartbeat_task.cancel()
        for process in self._processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for sidecar in self.sidecars:
            await sidecar.target.stop()
        await self.store.stop()

    async def start(
        self, name: str, service: str = "caja", zone: str = "z-a"
    ) -> SidecarProcess:
        """Start a target and the sidecar beside it."""
        target = fake_target.FakeTarget(f"i-{name}", service)
        await target.start()
        ports = free_ports()
        return await self.start_beside(
            target, name, zone, ports, self.store.port, ports["stream"]
        )

    async def start_beside(
        self,
        target: fake_target.FakeTarget,
        name: str,
        zone: str,
        ports: dict[str, int],
        store_port: int,
        advertised_port: int,
        link_rate: float = 0.0,
        memory: int = MEMORY_MB,
        descriptors: int = 0,
    ) -> SidecarProcess:
        """Start a sidecar that other nodes reach at ``advertised_port``.

        ``link_rate`` is that of its VM's link, in Mbit/s, or 0. ``memory``,
        in MB, and ``descriptors`` are what the settings let it use.
        """
        settings = self._folder / f"{name}.ini"
        settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                service=target.service,
                target=target.port,
                store=store_port,
                advertised=f"127.0.0.1:{advertised_port}",
                grace=self._grace_seconds,
                link_rate=link_rate,
                memory=memory,
                descriptors=descriptors,
                **ports,
            )
        )
        sidecar = SidecarProcess(
            process=await self._launch(settings),
            settings=settings,
            ports=ports,
            target=target,
            heartbeat_task=asyncio.create_task(
                send_heartbeats(target, ports["control"])
            ),
        )
        self.sidecars.append(sidecar)
        return sidecar

    async def restart(self, sidecar: SidecarProcess) -> None:
        """Start the process of a sidecar again."""
        sidecar.process = await self._launch(sidecar.settings)

    async def wait_until(
        self, condition: typing.Callable[[], typing.Awaitable[bool]]
    ) -> None:
        """Wait until ``condition`` holds, and fail if it never does."""
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not await condition():  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def wait_until_ready(self) -> None:
        """Wait until every sidecar is ready and reaches every target."""

        async def ready() -> bool:
            for sidecar in self.sidecars:
                with contextlib.suppress(aiohttp.ClientError):
                    if await sidecar.ready() == 200:
                        continue
                return False
            return True

        await self.wait_until(ready)

    async def _launch(
        self, settings: pathlib.Path
    ) -> asyncio.subprocess.Process:
        environment = {**os.environ, "BALSAMRAMP_BOOT": str(settings)}
        with settings.with_suffix(".log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform" / "sidecar.py"),
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        return process


async def send_heartbeats(
    target: fake_target.FakeTarget, control: int
) -> None:
    """Announce the target again and again."""
    while True:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(1.0):
                await target.send_heartbeat(f"127.0.0.1:{control}")
        await asyncio.sleep(0.3)


def _claim_ports() -> tuple[socket.socket, typing.Iterator[int]]:
    """Return an endless iterator over a part of the ports, and its claim.

    The claim is a socket on the first port of the part. While it is bound,
    no other process of the tests takes the part.
    """
    first_part = os.getpid() % PORT_PARTS
    for number in range(PORT_PARTS):
        part = (first_part + number) % PORT_PARTS
        first = FIRST_PORT + part * PORTS_EACH
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", first))
        except OSError:
            claim.close()
            continue
        return claim, itertools.cycle(range(first + 1, first + PORTS_EACH))
    raise RuntimeError(f"all {PORT_PARTS} parts of the ports are taken")


CLAIM, PORTS = _claim_ports()


def free_ports(names: typing.Sequence[str] = NAMES) -> dict[str, int]:
    """Return ports that were free a moment ago, by default a sidecar's.

    They lie below those that the system gives to outgoing connections and
    to listeners on port 0, which could take them before the sidecar does.
    """
    bound: dict[str, socket.socket] = {}
    while len(bound) < len(names):
        held = socket.socket()
        try:
            held.bind(("127.0.0.1", next(PORTS)))
        except OSError:
            held.close()
            continue
        bound[names[len(bound)]] = held
    ports = {name: held.getsockname()[1] for name, held in bound.items()}
    for held in bound.values():
        held.close()
    return ports


def exact_url(url: str) -> yarl.URL:
    """Return ``url`` as it is, without encoding it anew."""
    return yarl.URL(url, encoded=True)


def terminate(sidecar: SidecarProcess) -> None:
    """Ask a sidecar to end."""
    sidecar.process.send_signal(signal.SIGTERM)
