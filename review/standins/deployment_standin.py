"""Starts the project's programs as the deploy file says, on loopback."""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing

import attrs
import backend_standin
import http_standin
import store_standin

__all__ = [
    "ROOT",
    "Answer",
    "Deployment",
    "Machine",
    "Record",
    "Requester",
    "count_stale_runs",
    "run_case",
]

ROOT = pathlib.Path(__file__).resolve().parents[2]
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_COULD_NOT_RUN = 2
READY_SECONDS = 30.0
# contactMs after the start of a process, and some time for the start.
IN_TOUCH_SECONDS = 5.0
CASE_SECONDS = 115.0
WARM_UP_REQUESTS = 20
LATE_REQUESTS = 40
# Below those that the kernel gives to outgoing connections.
PORT_MIN = 12_000
PORT_MAX = 31_000
STATUS_OK = 200
MEMORY_CHECK_SECONDS = 0.01
RESTART_SECONDS = 0.5
BYTES_PER_MB = 1024 * 1024
PREFIX = "X-Balsamramp-"
PLACEHOLDER = re.compile(r"{{([A-Za-z0-9_.]+)}}")
KEPT_VARIABLES = ("PATH", "HOME", "JAVA_HOME", "LANG")
BOUNDS = {
    "contactMs": 3000,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retryBudgetSlack": 62,
    "evacuationMs": 5000,
}


class CouldNotRunError(Exception):
    """The case could not be brought about."""


@attrs.define(kw_only=True)
class Answer:
    """What a requester got; status 0 if the connection ended without."""

    request_id: str
    path: str
    sent_at: float
    ended_at: float
    status: int
    body: bytes = b""


class Record:
    """Writes what was sent, answered and run, with seconds since start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line."""
        at = time.monotonic() if at is None else at
        self._file.write(f"{at - self._started_at:9.3f} s  {text}\n")
        self._file.flush()

    def write_runs(self, runs: list[backend_standin.Run]) -> None:
        """Write all runs of the backends."""
        for run in runs:
            ended = "" if run.ended_at is None else run.outcome
            self.write(
                f"run {run.request_id} {run.path} at {run.backend}"
                f" ({run.service}): {ended}",
                run.began_at,
            )

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@attrs.define(eq=False, kw_only=True)
class Machine:
    """One machine: a backend and the sidecar beside it."""

    name: str
    zone: str
    ip: str
    ports: dict[str, int]
    backend: backend_standin.BackendStandin
    settings: dict[str, typing.Any]
    path: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    memory_max_mb: int = 0

    def address(self, port: str) -> str:
        """Return one of the addresses of the machine."""
        return f"{self.ip}:{self.ports[port]}"


class Deployment:
    """A few machines, a store and an operator.

    All ports are the same on all machines; each has an address of its own.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = store_standin.StoreStandin()
        self.machines: list[Machine] = []
        self.runs: list[backend_standin.Run] = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self._ports = _free_ports(
            ("app", "callers", "ready", "control", "inbound", "store")
        )
        self.store_address = f"{self._net}.1:{self._ports['store']}"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["sidecar"]
        self._stores = [self.store]
        self._numbers = 0
        self._started_at = 0.0

    async def __aenter__(self) -> "Deployment":
        await _listen(self.store, self.store_address)
        return self

    async def __aexit__(self, *error: object) -> None:
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
            await machine.backend.stop()
        for store in self._stores:
            with contextlib.suppress(Exception):
                await store.stop()
        shutil.rmtree(self._folder, ignore_errors=True)

    async def add_machine(
        self,
        zone: str,
        service: str,
        slots: int = 18,
        version: str = "v1",
    ) -> Machine:
        """Start a backend and the sidecar beside it."""
        number = len(self.machines)
        name = f"sidecar-{zone}-{number}"
        backend = backend_standin.BackendStandin(
            f"i-{name}", service, zone, self.runs, slots, version=version
        )
        machine = Machine(
            name=name,
            zone=zone,
            ip=f"{self._net}.{number + 10}",
            ports=self._ports,
            backend=backend,
            settings={},
            path=self._folder / f"{name}.ini",
        )
        machine.settings = self._settings_of(machine)
        self.machines.append(machine)
        await backend.start(
            machine.ip, self._ports["app"], machine.address("control")
        )
        await self.start_sidecar(machine)
        return machine

    def _settings_of(self, machine: Machine) -> dict[str, typing.Any]:
        return {
            "nodeName": machine.name,
            "zone": machine.zone,
            "region": "review",
            "ip": machine.ip,
            "service": machine.backend.service,
            "appAddr": machine.address("app"),
            "limits": {"memoryMb": 300, "maxFds": 4100, "linkMbps": 1000.0},
            "listen": {
                "outbound": machine.address("callers"),
                "inbound": machine.address("inbound"),
                "ready": machine.address("ready"),
                "control": machine.address("control"),
            },
            "internalPorts": [self._ports["inbound"] + 0, 65535],
            "platform": {"address": self.store_address},
            "heartbeatMs": 1500,
            "bounds": BOUNDS,
        }

    def write_settings(self, machine: Machine) -> None:
        """Write the settings file as the platform does."""
        template = (ROOT / self._role["template"]).read_text()
        text = PLACEHOLDER.sub(
            lambda match: _look_up(machine.settings, match[1]), template
        )
        machine.path.write_text(text)

    async def start_sidecar(self, machine: Machine) -> None:
        """Start the program of the deploy file."""
        self.write_settings(machine)
        environment = {
            name: os.environ[name]
            for name in KEPT_VARIABLES
            if name in os.environ
        }
        environment["BALSAMRAMP_BOOT"] = str(machine.path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        log = machine.path.with_suffix(".log").open("ab")
        machine.process = await asyncio.create_subprocess_exec(
            *self._role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._started_at = time.monotonic()
        self.record.write(f"{machine.name} starts")

    def log_of(self, machine: Machine) -> str:
        """Return what the sidecar has written."""
        return machine.path.with_suffix(".log").read_text()

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the sidecar of a machine."""
        assert machine.process is not None
        machine.process.send_signal(number)
        self.record.write(f"{machine.name} gets {number.name}")

    async def move_store(self) -> None:
        """Have the store, with all its rows, listen at another address."""
        moved = store_standin.StoreStandin()
        moved.copy_from(self.store)
        self._stores.append(moved)
        port = _free_ports(("store",))["store"]
        address = f"{self._net}.2:{port}"
        await _listen(moved, address)
        await self.store.stop()
        self.store, self.store_address = moved, address
        self.record.write("the store has another address")

    async def wait_until_ready(self) -> None:
        """Wait until all sidecars are ready and in touch since their start."""
        until = time.monotonic() + READY_SECONDS
        for machine in self.machines:
            while await self.readiness(machine) != 200:
                if time.monotonic() > until:
                    raise CouldNotRunError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(
            self._started_at + IN_TOUCH_SECONDS - time.monotonic()
        )

    async def warm_up(self, machine: Machine, host: str, prefix: str) -> None:
        """Send requests until the machine knows its backends."""
        until = time.monotonic() + READY_SECONDS
        served = 0
        while served < WARM_UP_REQUESTS:
            if time.monotonic() > until:
                raise CouldNotRunError(f"{machine.name} serves nothing")
            answer = await self.call(machine, "GET", host, prefix + "warm")
            served += answer.status == STATUS_OK
            await asyncio.sleep(0.05)

    async def enforce_memory(self, machine: Machine) -> None:
        """Kill the sidecar when it exceeds its memory; start it again."""
        limit_mb = machine.settings["limits"]["memoryMb"]
        while True:
            await asyncio.sleep(MEMORY_CHECK_SECONDS)
            process = machine.process
            assert process is not None
            if process.returncode is not None:
                continue
            used_mb = _resident_bytes(process.pid) // BYTES_PER_MB
            machine.memory_max_mb = max(machine.memory_max_mb, used_mb)
            if used_mb <= limit_mb:
                continue
            process.kill()
            self.record.write(
                f"{machine.name} uses {used_mb} MB of {limit_mb} and is killed"
            )
            await process.wait()
            await asyncio.sleep(RESTART_SECONDS)
            await self.start_sidecar(machine)

    async def readiness(self, machine: Machine) -> int:
        """Return the status of the readiness call, 0 without an answer."""
        try:
            reader, writer = await asyncio.open_connection(
                machine.ip, machine.ports["ready"]
            )
        except OSError:
            return 0
        try:
            writer.write(
                http_standin.encode(
                    "GET /v1/readiness HTTP/1.1",
                    {"host": machine.address("ready")},
                )
            )
            answer = await http_standin.read_message(reader)
        except OSError:
            return 0
        finally:
            writer.close()
        return 0 if answer is None else answer.status

    def encode_request(
        self,
        method: str,
        host: str,
        path: str,
        timeout_ms: int,
        body: bytes = b"",
    ) -> tuple[str, bytes]:
        """Return the id and the bytes of a request."""
        self._numbers += 1
        request_id = f"{self._numbers:016x}"
        headers = {
            "Host": host,
            PREFIX + "Request-Id": request_id,
            PREFIX + "Request-Timeout-Ms": str(timeout_ms),
        }
        start = f"{method} {path} HTTP/1.1"
        return request_id, http_standin.encode(start, headers, body)

    async def call(
        self,
        machine: Machine,
        method: str,
        host: str,
        path: str,
        timeout_ms: int = 2000,
        body: bytes = b"",
    ) -> Answer:
        """Send a request on a connection of its own; wait for its answer."""
        request_id, data = self.encode_request(
            method, host, path, timeout_ms, body
        )
        sent_at = time.monotonic()
        self.record.write(f"sent {request_id} {method} {host}{path}", sent_at)
        answer = None
        with contextlib.suppress(OSError, TimeoutError, EOFError):
            async with asyncio.timeout(timeout_ms / 1000 + 1.0):
                answer = await _exchange(
                    machine.ip, machine.ports["callers"], data
                )
        status = 0 if answer is None else answer.status
        self.record.write(f"answered {request_id}: {status}")
        return Answer(
            request_id=request_id,
            path=path,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
            body=b"" if answer is None else answer.body,
        )


class Requester:
    """Sends requests one after the other and keeps its connection."""

    def __init__(self, fleet: Deployment, machine: Machine) -> None:
        self._fleet = fleet
        self._machine = machine
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def call(
        self, method: str, host: str, path: str, timeout_ms: int
    ) -> Answer:
        """Return the answer; status 0 if the connection ends without."""
        fleet = self._fleet
        request_id, data = fleet.encode_request(method, host, path, timeout_ms)
        sent_at = time.monotonic()
        fleet.record.write(f"sent {request_id} {method} {host}{path}", sent_at)
        answer = None
        with contextlib.suppress(OSError, TimeoutError, EOFError):
            async with asyncio.timeout(timeout_ms / 1000 + 1.0):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        self._machine.ip, self._machine.ports["callers"]
                    )
                reader, writer = self._streams
                writer.write(data)
                answer = await http_standin.read_message(reader)
        closes = answer is None or answer.headers.get("connection") == "close"
        if closes:
            self.close()
        status = 0 if answer is None else answer.status
        fleet.record.write(f"answered {request_id}: {status}")
        return Answer(
            request_id=request_id,
            path=path,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
        )

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


async def count_stale_runs(
    fleet: Deployment,
    host: str,
    prefix: str,
    old_service: str,
    acknowledged_at: float,
) -> tuple[int, int]:
    """Return how many late requests run at the old service, and of how many.

    They are sent to all machines in turn, later than configApplyMs after the
    ack of the configuration that moves their route to another service.
    """
    apply_seconds = BOUNDS["configApplyMs"] / 1000
    await asyncio.sleep(acknowledged_at + apply_seconds - time.monotonic())
    late = set()
    for number in range(LATE_REQUESTS):
        machine = fleet.machines[number % len(fleet.machines)]
        answer = await fleet.call(machine, "GET", host, f"{prefix}{number}")
        if answer.sent_at > acknowledged_at + apply_seconds:
            late.add(answer.request_id)
    stale = 0
    for run in fleet.runs:
        stale += run.request_id in late and run.service == old_service
    return stale, len(late)


def run_case(
    folder: pathlib.Path,
    case: typing.Callable[[Deployment, bool], typing.Awaitable[str]],
) -> typing.NoReturn:
    """Run a case and exit: 1 if it names a broken rule, 0 if it held.

    ``case`` gets whether the disruption is wanted, which TROUBLE=0 denies.
    """
    record = Record(folder / "record.txt")

    async def run() -> str:
        task = asyncio.current_task()
        assert task is not None
        # The processes of the case are ended also when it is stopped.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        async with asyncio.timeout(CASE_SECONDS), Deployment(record) as fleet:
            found = await case(fleet, os.environ.get("TROUBLE") != "0")
            record.write_runs(fleet.runs)
            return found

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(EXIT_COULD_NOT_RUN)
    record.write(f"broken: {broken}" if broken else "the rule held")
    print(f"broken: {broken}" if broken else "the rule held")
    record.close()
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)


def _look_up(settings: dict[str, typing.Any], path: str) -> str:
    value: typing.Any = settings
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part, "")
        else:
            return ""
    return str(value)


def _resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, 0 if it has ended."""
    try:
        pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    except (OSError, IndexError):
        return 0
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


def _free_ports(names: tuple[str, ...]) -> dict[str, int]:
    """Return ports that are free at all addresses, outside those drawn."""
    ports: dict[str, int] = {}
    while len(ports) < len(names):
        port = random.randint(PORT_MIN, PORT_MAX)
        if port in ports.values():
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("0.0.0.0", port))
            except OSError:
                continue
        ports[names[len(ports)]] = port
    return ports


async def _listen(store: store_standin.StoreStandin, address: str) -> None:
    host, _, port = address.partition(":")
    await store.start(host, int(port))


async def _exchange(
    host: str, port: int, data: bytes
) -> http_standin.Message | None:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(data)
        return await http_standin.read_message(reader)
    finally:
        writer.close()
