"""Starts sidecars by the deploy file, beside stand-ins, on loopback."""

import asyncio
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import attrs
import backend
import http_wire
import store

__all__ = ["Fleet", "Machine", "Reply", "route", "service", "send"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"sur-uy-a": "sur-uy", "sur-uy-b": "sur-uy", "sur-uy-c": "sur-uy"}
PORTS = ("app", "inbound", "outbound", "ready", "control", "internal", "next")
STARTED_SECONDS = 25.0
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
BOUNDS = {
    "graceS": 6,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retryBudgetSlack": 62,
}
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\}\}")


def service() -> dict[str, object]:
    """Return a service of the operator's configuration."""
    return {
        "healthPath": "/health",
        "maxConnections": 130,
        "protocol": "h1",
        "tls": False,
        "warmupS": 3.0,
        "warmupPerS": 40.0,
    }


def route(
    name: str, prefix: str, kind: str, timeout: int
) -> dict[str, object]:
    """Return a route to a service of the same name as its host."""
    return {
        "host": f"{name}.example",
        "prefix": prefix,
        "routeType": kind,
        "timeoutMs": timeout,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": name,
        "maxAttempts": 2,
    }


@attrs.define(eq=False)
class Machine:
    """One machine: its backend and its sidecar."""

    name: str
    host: str
    zone: str
    ports: dict[str, int]
    backend: backend.Backend
    settings: pathlib.Path
    process: subprocess.Popen[bytes] | None = None

    def address(self, port: str) -> str:
        """Return one of the addresses of the machine."""
        return f"{self.host}:{self.ports[port]}"

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the sidecar."""
        assert self.process is not None
        self.process.send_signal(number)


@attrs.frozen
class Reply:
    """What a requester saw of one request; ``message`` is None if nothing."""

    request_id: str
    sent: float
    ended: float
    message: http_wire.Message | None
    error: str = ""

    @property
    def outcome(self) -> str:
        """Return the status, or what was seen in place of an answer."""
        return self.error if self.message is None else str(self.message.status)


class Fleet:
    """The machines of a case; ends only the processes that it started."""

    def __init__(self) -> None:
        self.store = store.Store()
        self.machines: list[Machine] = []
        # Boots of backends that were replaced by later ones.
        self.ended: list[backend.Backend] = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self._deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )
        self._role = self._deploy["roles"]["sidecar"]
        self._ports = _free_ports()
        self._make_backend: type[backend.Backend] = backend.Backend

    async def start(
        self,
        services: list[str],
        configuration: dict[str, object],
        make_backend: type[backend.Backend] = backend.Backend,
    ) -> None:
        """Start the store and one machine for each entry of ``services``."""
        self._make_backend = make_backend
        await self.store.start("127.0.0.1", self._ports["store"])
        self.store.put("op", "config", configuration)
        for number, name in enumerate(services):
            zone = list(ZONES)[number % len(ZONES)]
            await self.add(f"sidecar-{zone}-{number}", name, zone)
        await self.wait_ready(self.machines)

    async def add(self, name: str, service_name: str, zone: str) -> Machine:
        """Start one more machine."""
        number = len(self.machines)
        machine = Machine(
            name,
            f"127.0.0.{10 + number}",
            zone,
            self._ports,
            self._make_backend(f"i-{number:08x}", service_name, zone),
            self._folder / f"{name}.ini",
        )
        self.machines.append(machine)
        fields = self._fields(machine)
        template = (ROOT / self._role["template"]).read_text()
        machine.settings.write_text(_fill(template, fields))
        self.start_sidecar(machine)
        await machine.backend.start(
            machine.host, self._ports["app"], machine.address("control")
        )
        return machine

    def start_sidecar(self, machine: Machine) -> None:
        """Start the process of a machine, as the deploy file says."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        for name, text in self._role.get("env", {}).items():
            environment[name] = _fill(text, self._fields(machine))
        environment["BALSAMRAMP_BOOT"] = str(machine.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = machine.settings.with_suffix(".log").open("ab")
        machine.process = subprocess.Popen(
            self._role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    async def wait_ready(self, machines: list[Machine]) -> None:
        """Wait until machines are ready; raises TimeoutError."""
        end = time.monotonic() + STARTED_SECONDS
        for machine in machines:
            ready = await self.readiness(machine) == 200
            while not ready and time.monotonic() < end:
                await asyncio.sleep(0.1)
                ready = await self.readiness(machine) == 200
            if not ready:
                raise TimeoutError(f"{machine.name} isn't ready")

    async def readiness(self, machine: Machine, wait: float = 1.0) -> int:
        """Return the status of the readiness call, 0 without an answer."""
        try:
            async with asyncio.timeout(wait):
                reader, writer = await asyncio.open_connection(
                    machine.host, machine.ports["ready"]
                )
                try:
                    writer.write(
                        b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
                    )
                    return (await http_wire.read_message(reader, True)).status
                finally:
                    writer.close()
        except (OSError, EOFError, TimeoutError):
            return 0

    def log(self, machine: Machine) -> str:
        """Return what the sidecar of a machine has written."""
        return machine.settings.with_suffix(".log").read_text()

    def stop(self) -> None:
        """End everything that was started."""
        for machine in self.machines:
            machine.backend.stop()
            if machine.process is None:
                continue
            if machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
            machine.process.wait()
        self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self._folder}", file=sys.stderr)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    def _fields(self, machine: Machine) -> dict[str, object]:
        return {
            "nodeName": machine.name,
            "zone": machine.zone,
            "region": ZONES[machine.zone],
            "service": machine.backend.service,
            "appAddr": machine.address("app"),
            "ip": machine.host,
            "listen.outbound": machine.address("outbound"),
            "listen.ready": machine.address("ready"),
            "listen.control": machine.address("control"),
            "internalPorts.0": machine.ports["internal"],
            "limits.linkMbps": 1000.0,
            "limits.memoryMb": 300,
            "limits.maxFds": 4100,
            "platform.address": f"127.0.0.1:{self._ports['store']}",
            "heartbeatMs": 1500,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }


async def send(
    machine: Machine,
    request_id: str,
    request: tuple[str, str, str],
    timeout_ms: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send one request on a new connection, as a requester does."""
    method, host, path = request
    sent = time.monotonic()
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            reader, writer = await asyncio.open_connection(
                machine.host, machine.ports["outbound"]
            )
            try:
                fields = {
                    "Host": host,
                    "X-Balsamramp-Request-Id": request_id,
                    "X-Balsamramp-Request-Timeout-Ms": str(timeout_ms),
                    **(headers or {}),
                }
                start = f"{method} {path} HTTP/1.1"
                fields["Content-Length"] = str(len(body))
                await _write(writer, start, fields, body)
                message = await http_wire.read_message(reader, True)
                return Reply(request_id, sent, time.monotonic(), message)
            finally:
                writer.close()
    except TimeoutError:
        error = "no answer"
    except (OSError, EOFError) as failure:
        error = f"connection ended: {type(failure).__name__}"
    return Reply(request_id, sent, time.monotonic(), None, error)


async def _write(
    writer: asyncio.StreamWriter,
    start: str,
    headers: dict[str, str],
    body: bytes,
) -> None:
    """Write a request in pieces, as fast as it is taken."""
    lines = [start]
    for name, value in headers.items():
        lines.append(f"{name}: {value}")
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n")
    view = memoryview(body)
    for begin in range(0, len(view), http_wire.PIECE_BYTES):
        writer.write(view[begin : begin + http_wire.PIECE_BYTES])
        await writer.drain()


def _fill(template: str, fields: dict[str, object]) -> str:
    return PLACEHOLDER.sub(
        lambda match: str(fields.get(match[1], "")), template
    )


def _free_ports() -> dict[str, int]:
    """Return ports that are free on all addresses of the fleet."""
    for base in range(20000 + os.getpid() % 500 * 20, 60000, 20):
        ports = {name: base + i for i, name in enumerate(PORTS)}
        ports["store"] = base + len(PORTS)
        if all(_is_free(port) for port in ports.values()):
            return ports
    raise OSError("no free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("0.0.0.0", port))
        except OSError:
            return False
    return True
