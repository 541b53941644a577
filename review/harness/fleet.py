"""Starts sidecars as processes with the commands of the deploy file."""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import tomllib
import typing

import attrs
import http1
import store

__all__ = ["Fleet", "Machine", "configuration"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\}\}")
PORT_NAMES = ("callers", "ready", "control", "backend", "stream", "store")
FIRST_PORT = 21_000
PORT_STEP = 20
START_SECONDS = 30.0
END_SECONDS = 10.0
# Settings of the small deployments.
BOUNDS = {
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retryBudgetSlack": 62,
    "graceS": 6,
}
HEARTBEAT_MS = 1500
LINK_MBPS = 1000.0


def configuration(version: int, services: typing.Iterable[str]) -> typing.Any:
    """Return a configuration with one safe and one unsafe route each."""
    routes: dict[str, typing.Any] = {}
    for service in services:
        for kind in ("safe", "unsafe"):
            routes[f"{service}-{kind}"] = {
                "host": f"{service}.example",
                "prefix": f"/{kind}/",
                "routeType": kind,
                "timeoutMs": 1200,
                "targetLatencyMs": 400,
                "priority": 1,
                "service": service,
                "maxAttempts": 2,
            }
    return {
        "version": version,
        "routes": routes,
        "services": {
            service: {
                "healthPath": "/health",
                "maxConnections": 130,
                "warmupS": 3.0,
                "warmupPerS": 40.0,
            }
            for service in services
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


@attrs.define(eq=False, kw_only=True)
class Machine:
    """One machine, with an address of loopback of its own."""

    name: str
    zone: str
    service: str
    host: str
    ports: dict[str, int]
    settings: pathlib.Path
    process: asyncio.subprocess.Process | None = None

    def address(self, port: str) -> tuple[str, int]:
        """Return one of the addresses of the machine."""
        return self.host, self.ports[port]

    def kill(self) -> None:
        """Kill the sidecar of the machine."""
        self.send_signal(signal.SIGKILL)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the sidecar of the machine, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def dump(self) -> dict[str, typing.Any]:
        """Return the dump that the sidecar serves beside its metrics."""
        answer = await http1.exchange(
            (self.host, 9464), "GET", "/dump", {"host": self.host}
        )
        return typing.cast(dict[str, typing.Any], json.loads(answer.body))

    async def ready(self) -> bool:
        """Return whether the sidecar says that it is ready."""
        try:
            answer = await http1.exchange(
                self.address("ready"),
                "GET",
                "/v1/readiness",
                {"host": self.host},
            )
        except (OSError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    async def wait_until_ready(self) -> None:
        """Wait until the sidecar says that it is ready."""
        while not await self.ready():  # noqa: ASYNC110
            await asyncio.sleep(0.1)


class Fleet:
    """The machines of one deployment; ends only what it started."""

    def __init__(self, folder: pathlib.Path, case: int) -> None:
        self.store = store.Store()
        self.machines: list[Machine] = []
        self._folder = folder
        self._case = case
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["sidecar"]
        self._command = shlex.split(role["run"])
        self._template = (ROOT / role["template"]).read_text()
        self._first_port = _find_free_ports()

    def add(self, name: str, zone: str, service: str) -> Machine:
        """Add a machine whose sidecar is not started yet."""
        number = len(self.machines) + 1
        machine = Machine(
            name=name,
            zone=zone,
            service=service,
            host=f"127.{70 + self._case}.0.{number}",
            ports={
                port: self._first_port + index
                for index, port in enumerate(PORT_NAMES)
            },
            settings=self._folder / f"{name}.ini",
        )
        self.machines.append(machine)
        return machine

    async def start(self, machine: Machine) -> None:
        """Start the sidecar of a machine, again if it ran before."""
        if not machine.settings.exists():
            await self.store.listen(machine.name, *machine.address("store"))
            machine.settings.write_text(
                _render(self._template, _platform_fields(machine))
            )
        environment = {
            "BALSAMRAMP_BOOT": str(machine.settings),
            "HOME": str(self._folder),
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with machine.settings.with_suffix(".log").open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self) -> None:
        """Wait until all sidecars are ready; raises TimeoutError."""
        async with asyncio.timeout(START_SECONDS):
            for machine in self.machines:
                await machine.wait_until_ready()

    async def stop(self) -> None:
        """Kill all sidecars that run."""
        for machine in self.machines:
            machine.kill()
        for machine in self.machines:
            if machine.process is not None:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(END_SECONDS):
                        await machine.process.wait()
        self.store.stop()


def _platform_fields(machine: Machine) -> dict[str, typing.Any]:
    """Return the fields that the platform fills into the template."""
    ports = machine.ports

    def address(name: str) -> str:
        return f"{machine.host}:{ports[name]}"

    return {
        "nodeName": machine.name,
        "zone": machine.zone,
        "region": "sur-uy",
        "service": machine.service,
        "appAddr": address("backend"),
        "ip": machine.host,
        "listen": {
            "outbound": address("callers"),
            "ready": address("ready"),
            "control": address("control"),
        },
        "internalPorts": [ports["stream"], ports["stream"] + 15],
        "limits": {"linkMbps": LINK_MBPS},
        "platform": {"address": address("store")},
        "bounds": BOUNDS,
        "heartbeatMs": HEARTBEAT_MS,
    }


def _render(template: str, fields: dict[str, typing.Any]) -> str:
    def value_of(found: re.Match[str]) -> str:
        value: typing.Any = fields
        for part in found[1].split("."):
            value = value[int(part) if part.isdigit() else part]
        return str(value)

    return PLACEHOLDER.sub(value_of, template)


def _find_free_ports() -> int:
    """Return the first of several ports that are free on loopback."""
    for first in range(FIRST_PORT, 32_000, PORT_STEP):
        try:
            for port in range(first, first + PORT_STEP):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        return first
    raise RuntimeError("no free ports from 21000 to 32000")
