"""Soak world: sidecars as processes, with a proxy on each connection."""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import signal
import time
import typing

import aiohttp
import loopback_proxy
import sidecar_fleet
import soak_callers
import soak_checks
import soak_processes
import soak_records
import soak_target

__all__ = ["Node", "SoakHarness"]

WorkKind = soak_records.WorkKind

SERVICES = ("caja", "catalogo")
ZONES = ("z-a", "z-b")
# Most callers state the first.
TIMEOUTS_SECONDS = (1.5, 1.5, 3.0)
CALLERS_PER_NODE = 6
REQUESTS_PER_SECOND_MAX = 150.0
CALLER_PAUSE_SECONDS = 0.25
RECONNECT_SECONDS = 0.1
UNANSWERED_PATTERN = re.compile(
    r'^balsamramp_unanswered_requests_total{reason="([^"]+)"} ([0-9.]+)', re.M
)
# Time from SIGTERM to SIGKILL, one of them in each play.
GRACES_SECONDS = (3, 6)
# In the settings of a node; targets and other nodes know the other ports.
MOVABLE_PORTS = ("callers", "ready", "metrics")
SHOWN_LOG_LINES = 3
END_PATTERN = re.compile('"event":"(process_end|message)"')
# Time after which nodes close idle connections, one of them in each play.
IDLE_TIMEOUTS_MS = (700, 15000)
CONFIGURATION_KEY = "config"


class Node:
    """One sidecar, its target, and what lies between it and the rest."""

    def __init__(self, world: "SoakHarness", name: str, number: int) -> None:
        self.name = name
        self.zone = ZONES[number % len(ZONES)]
        self.service = SERVICES[number // len(ZONES) % len(SERVICES)]
        self.starts = 0
        self.started_at = 0.0
        self.open_requests = 0
        self.settings_text = ""
        self.processes: list[asyncio.subprocess.Process] = []
        self._world = world
        self._terminated_at: float | None = None
        self._paused_until = 0.0
        self.paused_since: float | None = None
        self._histories: dict[
            asyncio.subprocess.Process, soak_processes.ProcessHistory
        ] = {}
        self._generation = 0
        self._ports = sidecar_fleet.free_ports()
        self.store_proxy = loopback_proxy.LoopbackProxy(world.store.port)
        self.stream_proxy = loopback_proxy.LoopbackProxy(self._ports["stream"])
        self.target = self._make_target()
        self.sidecar: sidecar_fleet.SidecarProcess
        self._busy = asyncio.Lock()

    async def start(self) -> None:
        """Start the target, the proxies and the process."""
        # Not ports that another fleet on this machine may have had: its
        # nodes would go on asking for their own here.
        names = ("target", "store", "stream")
        ports = sidecar_fleet.free_ports(names)
        await self.target.start(ports["target"])
        await self.store_proxy.start(ports["store"])
        await self.stream_proxy.start(ports["stream"])
        self.started_at = time.monotonic()
        self.sidecar = await self._world.fleet.start_beside(
            self.target,
            self.name,
            self.zone,
            self._ports,
            self.store_proxy.port,
            self.stream_proxy.port,
        )
        self._add_process()
        self.settings_text = self.sidecar.settings.read_text()

    async def kill(self) -> None:
        """End the process without a word, if it runs."""
        await self._kill(self.sidecar.process)

    async def restart(self) -> None:
        """Start the process again, unless somebody has."""
        async with self._busy:
            if self.sidecar.process.returncode is None:
                return
            await self._start_process()

    async def start_successor(self) -> asyncio.subprocess.Process:
        """Start a process beside the one that runs, and return the latter."""
        async with self._busy:
            predecessor = self.sidecar.process
            await self._start_process()
            return predecessor

    async def end_predecessor(
        self, process: asyncio.subprocess.Process, number: signal.Signals
    ) -> None:
        """Have a process whose successor has started go on and end."""
        self._signal(number, process)
        self._signal(signal.SIGCONT, process)
        try:
            async with asyncio.timeout(self._world.ledger.grace):
                await process.wait()
        except TimeoutError:
            if _runs(process):
                self._world.ledger.outlived.append(
                    f"{self.name}, a predecessor"
                )
            self._signal(signal.SIGKILL, process)
            await process.wait()

    def read_status(self, process: asyncio.subprocess.Process) -> None:
        """Note which signals a process provides for by now."""
        self._histories[process].read_status(process.pid)

    def was_asked(self, process: asyncio.subprocess.Process) -> bool:
        """Tell whether a process was asked to end, or was killed."""
        return self._histories[process].asked

    def explains_end(self, process: asyncio.subprocess.Process) -> bool:
        """Tell whether a signal of the soak explains an end noted now."""
        code = process.returncode
        return code is not None and self._histories[process].explains(
            code, time.monotonic()
        )

    def age(self, process: asyncio.subprocess.Process) -> float:
        """Return the seconds since the start of a process."""
        return time.monotonic() - self._histories[process].started_at

    def last_log_lines(self) -> str:
        """Return the end of the log, without what a node does for others."""
        lines = [
            line
            for line in self.sidecar.log().splitlines()
            if '"event":"' not in line or END_PATTERN.search(line)
        ]
        return " / ".join(lines[-SHOWN_LOG_LINES:])

    def write_settings(self, text: str) -> None:
        """Write the settings file in place, as it may be found half done."""
        self.sidecar.settings.write_text(text)

    def swap_ports(self, other: "Node") -> None:
        """Have two nodes listen where the other did, once they restart."""
        for name in MOVABLE_PORTS:
            own, its = self._ports[name], other._ports[name]
            self._ports[name], other._ports[name] = its, own
        for node in (self, other):
            for name in MOVABLE_PORTS:
                node.settings_text = re.sub(
                    rf"^({name}(?:_port)? = (?:127.0.0.1:)?)\d+$",
                    rf"\g<1>{node._ports[name]}",
                    node.settings_text,
                    flags=re.M,
                )
            node.write_settings(node.settings_text)

    def _note_interruption(self) -> None:
        interruptions = self._world.ledger.interruptions
        interruptions.setdefault(self.name, []).append(time.monotonic())

    async def _start_process(self) -> None:
        self._note_interruption()
        self.starts += 1
        self.started_at = time.monotonic()
        self._terminated_at = None
        self._paused_until = 0.0
        self.paused_since = None
        await self._world.fleet.restart(self.sidecar)
        self._add_process()

    def _add_process(self) -> None:
        process = self.sidecar.process
        self.processes.append(process)
        self._histories[process] = soak_processes.ProcessHistory(
            started_at=self.started_at
        )

    def terminate(self) -> None:
        """Ask the process to end."""
        if self.sidecar.process.returncode is not None:
            return
        if self._terminated_at is None:
            self._terminated_at = time.monotonic()
            self._note(WorkKind.STOP)
        self._signal(signal.SIGTERM)

    async def stop_process(self) -> None:
        """End the process as the platform does: by force after the grace."""
        process, start = self.sidecar.process, self.starts
        self.terminate()
        at = self._terminated_at
        if process.returncode is not None or at is None:
            return
        left = at + self._world.ledger.grace - time.monotonic()
        try:
            async with asyncio.timeout(max(0.0, left)):
                await process.wait()
        except TimeoutError:
            place = f"{self.name}, start {start}"
            outlived = self._world.ledger.outlived
            paused = self._paused_until >= at
            if _runs(process) and not paused and place not in outlived:
                outlived.append(place)
            await self._kill(process)

    def pause(self) -> None:
        """Have the process stand still."""
        self._note_interruption()
        self.paused_since = time.monotonic()
        self._paused_until = float("inf")
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Have it go on."""
        self.paused_since = None
        self._paused_until = time.monotonic()
        self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Replace the settings file and tell the process."""
        settings = self.sidecar.settings
        replacement = settings.with_suffix(".new")
        self.settings_text += "\n"
        replacement.write_text(self.settings_text)
        replacement.replace(settings)
        self.hang_up()

    def hang_up(self) -> None:
        """Tell the process that its settings have changed."""
        self._note(WorkKind.RELOAD)
        self._signal(signal.SIGHUP)

    def _note(self, kind: soak_records.WorkKind) -> None:
        self._world.ledger.work.append(
            soak_records.PlannedWork(
                kind=kind,
                at=time.monotonic(),
                node=self.name,
                start=self.starts,
            )
        )

    async def leave(self, how: str) -> None:
        """Have the target say that it leaves; it is marked if heard."""
        self.sidecar.heartbeat_task.cancel()
        control = self.sidecar.address("control")
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(1.0):
                if how == "draining":
                    status = await self.target.send_heartbeat(control, how)
                else:
                    status = await self.target.post(control, how, {})
                if status in soak_checks.STATUS_SUCCESS:
                    mark = soak_checks.NoTrafficWindow(
                        self.target.name, time.monotonic()
                    )
                    self._world.ledger.drained.append(mark)

    async def stop_target(self) -> None:
        """End the target without a word."""
        self.sidecar.heartbeat_task.cancel()
        await self.target.stop()

    async def replace_target(self) -> None:
        """Start another target at the same address."""
        port = self.target.port
        await self.stop_target()
        self._generation += 1
        self.target = self._make_target()
        await self.target.start(port)
        self.sidecar.target = self.target
        self.sidecar.heartbeat_task = asyncio.create_task(
            sidecar_fleet.send_heartbeats(self.target, self._ports["control"])
        )

    async def read_unanswered(self) -> None:
        """Note how many requests the process says it left unanswered."""
        url = f"http://127.0.0.1:{self._ports['metrics']}/metrics"
        at = time.monotonic()
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as answer,
        ):
            text = await answer.text()
        counted = {
            reason: int(float(count))
            for reason, count in UNANSWERED_PATTERN.findall(text)
        }
        self._world.ledger.unanswered.append(
            soak_records.UnansweredCount(
                node=self.name, start=self.starts, at=at, counted=counted
            )
        )

    async def stop(self) -> None:
        """End what was started beside the process."""
        await self.store_proxy.stop()
        await self.stream_proxy.stop()

    async def _kill(self, process: asyncio.subprocess.Process) -> None:
        async with self._busy:
            self._signal(signal.SIGKILL, process)
            await process.wait()

    def _signal(
        self,
        number: signal.Signals,
        process: asyncio.subprocess.Process | None = None,
    ) -> None:
        process = process or self.sidecar.process
        if process.returncode is None:
            self.read_status(process)
            if _runs(process):
                self._histories[process].note_signal(number)
            # The process's own method would reap it, and its exit code be
            # lost to asyncio.
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, number)

    def _make_target(self) -> soak_target.SoakTarget:
        return soak_target.SoakTarget(
            f"i-{self.name}-{self._generation}",
            self.service,
            self.zone,
            self.name,
            self._world.ledger.runs,
            self._world.traffic_rng,
        )


def _runs(process: asyncio.subprocess.Process) -> bool:
    """Tell whether a process runs, though its end may not be noted yet."""
    if process.returncode is not None:
        return False
    options = os.WEXITED | os.WNOHANG | os.WNOWAIT
    try:
        return os.waitid(os.P_PID, process.pid, options) is None
    except ChildProcessError:
        return False


class SoakHarness:
    """Nodes, operators and callers of one soak."""

    def __init__(self, folder: pathlib.Path, nodes: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.traffic_rng = random.Random(f"traffic {seed}")
        grace = self.rng.choice(GRACES_SECONDS)
        self.ledger = soak_checks.SoakHistory(grace=grace)
        self.fleet = sidecar_fleet.SidecarFleet(folder, grace)
        self.store = self.fleet.store
        self.nodes: list[Node] = []
        self.callers_done = False
        self._node_count = nodes
        self._idle_timeout_ms = self.rng.choice(IDLE_TIMEOUTS_MS)
        self._version = 3
        self._routes: dict[str, typing.Any] = {}
        # The rows of the operators beside the configuration.
        self._written: dict[str, object] = {}
        self._asked: list[int] = []
        self._numbers = 0

    async def __aenter__(self) -> "SoakHarness":
        await self.fleet.__aenter__()
        self._write_configuration()
        for number in range(self._node_count):
            self.nodes.append(Node(self, f"n{number}", number))
        await asyncio.gather(*(node.start() for node in self.nodes))
        await self.fleet.wait_until_ready()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.fleet.__aexit__(*error)
        for node in self.nodes:
            await node.stop()

    def add_routes(self, count: int = 1) -> None:
        """Write a configuration with some routes more."""
        self._version += self.rng.randint(1, 9)
        route = sidecar_fleet.configuration(0)["routes"]["read"]
        for number in range(count):
            name = f"v{self._version}" + (f"-{number}" if number else "")
            self._routes[name] = {**route, "prefix": f"/{name}/"}
        self.ledger.work.append(
            soak_records.PlannedWork(kind=WorkKind.CHANGE, at=time.monotonic())
        )
        self._write_configuration()
        self._asked.append(self._version)
        self.ledger.versions[self._version] = time.monotonic()

    def order_version(
        self, service: str, version: str, seconds: float
    ) -> None:
        """Order a rollout."""
        document = {"service": service, "to": version, "durationS": seconds}
        self._put_row(f"rollout/{service}", document)

    def _put_row(self, key: str, document: object) -> None:
        self._written[key] = document
        self.store.put("op", key, document)

    def evacuate_zone(self, zone: str) -> None:
        """Take a zone out of service."""
        self._put_row(f"evacuate/{zone}", {})
        mark = soak_checks.NoTrafficWindow(zone, time.monotonic())
        self.ledger.evacuated.append(mark)

    def restore_zone(self, zone: str) -> None:
        """Take it back, if it is out."""
        self._written.pop(f"evacuate/{zone}", None)
        self.store.remove("op", f"evacuate/{zone}")
        marks = self.ledger.evacuated
        for index, mark in enumerate(marks):
            if mark.place == zone and mark.until == float("inf"):
                until = time.monotonic()
                marks[index] = soak_checks.NoTrafficWindow(
                    zone, mark.at, until
                )

    def write_again(self) -> None:
        """Write the operators' rows again that a restored store has lost.

        What they have deleted, and the copy has, is deleted again.
        """
        keys = [CONFIGURATION_KEY, *self._written]
        self.rng.shuffle(keys)
        for key in keys:
            if key == CONFIGURATION_KEY:
                self._write_configuration()
            elif self.store.read("op", key) != self._written[key]:
                self.store.put("op", key, self._written[key])
        for table, _, key in list(self.store.rows):
            if table == "op" and key not in keys:
                self.store.remove(table, key)

    async def call(self, node: Node, number: int) -> None:
        """Call ``node`` as one caller does, until ``callers_done``."""
        caller = f"{node.name}-{number}"
        self.ledger.callers.append(caller)
        while not self.callers_done:
            port = node.sidecar.ports["callers"]
            connection = await soak_callers.CallerConnection.open(port)
            start = node.starts
            if connection is None:
                made = self._draw_exchange(start, node, caller)
                made.ending = soak_records.Ending.UNREACHED
                made.ended_at = made.sent_at
                self.ledger.exchanges.append(made)
                await asyncio.sleep(RECONNECT_SECONDS + self._draw_pause())
                continue
            try:
                while connection.usable and not self.callers_done:
                    made = self._draw_exchange(start, node, caller)
                    self.ledger.exchanges.append(made)
                    await self._exchange(connection, node, made)
                    await asyncio.sleep(self._draw_pause())
            finally:
                connection.close()

    async def _exchange(
        self,
        connection: soak_callers.CallerConnection,
        node: Node,
        made: soak_records.Exchange,
    ) -> None:
        node.open_requests += 1
        try:
            await connection.send(made)
        finally:
            node.open_requests -= 1

    def draw_read(self, node: Node) -> soak_records.Exchange:
        """Return a request that may be repeated, with all of its time."""
        self._numbers += 1
        request_id = f"r{self._numbers:07d}"
        return soak_records.Exchange(
            request_id=request_id,
            node=node.name,
            start=node.starts,
            path=f"/read/{request_id}",
            repeatable=True,
            sent_at=time.monotonic(),
            timeout=soak_records.ROUTE_TIMEOUT_SECONDS,
        )

    def _draw_exchange(
        self, start: int, node: Node, caller: str
    ) -> soak_records.Exchange:
        rng = self.traffic_rng
        self._numbers += 1
        request_id = f"r{self._numbers:07d}"
        kinds = ["read", "read", "pay", *(["new"] if self._asked else [])]
        kind = rng.choice(kinds)
        version = 0
        path = f"/{kind}/{request_id}?x=%2F"
        if kind == "new":
            version = rng.choice(self._asked[-3:])
            path = f"/v{version}/{request_id}"
        return soak_records.Exchange(
            request_id=request_id,
            node=node.name,
            caller=caller,
            start=start,
            path=path,
            repeatable=kind != "pay",
            sent_at=time.monotonic(),
            asked_version=version,
            timeout=rng.choice(TIMEOUTS_SECONDS),
        )

    def _draw_pause(self) -> float:
        callers = CALLERS_PER_NODE * len(self.nodes)
        pause = max(CALLER_PAUSE_SECONDS, callers / REQUESTS_PER_SECOND_MAX)
        return self.traffic_rng.expovariate(1 / pause)

    def _write_configuration(self) -> None:
        document = sidecar_fleet.configuration(self._version, **self._routes)
        other = {**document["routes"]["read"], "service": "catalogo"}
        document["routes"]["list"] = {**other, "prefix": "/list/"}
        document["limits"]["idleTimeoutMs"] = self._idle_timeout_ms
        self.store.put("op", CONFIGURATION_KEY, document)
