"""Starts nodes and test servers as processes on loopback."""

import asyncio
import datetime
import json
import pathlib
import signal
import subprocess
import sys
import typing

import aiohttp
import attrs

__all__ = ["Fleet", "NodeProcess", "Process"]

START_TIMEOUT = datetime.timedelta(seconds=30)
STOP_TIMEOUT = datetime.timedelta(seconds=15)
POLL_INTERVAL = datetime.timedelta(milliseconds=20)

SETTINGS = """\
[node]
id = {name}
zone = {zone}
region = {region}
[listen]
host = 127.0.0.1
[platform]
url = {platform}
[membership]
seeds = {seeds}
interval = 200
{extra}
"""


@attrs.define(eq=False)
class Process:
    """A running process and the addresses on which it listens."""

    name: str
    popen: subprocess.Popen[bytes]
    addresses: dict[str, typing.Any]

    def url(self, which: str) -> str:
        """Return the HTTP URL of one of its ports."""
        address = self.addresses[which]
        return f"http://{address['host']}:{address['port']}"

    def kill(self) -> None:
        """Kill the process, so that it cannot clean up."""
        self.popen.kill()
        self.popen.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal such as SIGSTOP to the process."""
        self.popen.send_signal(number)


@attrs.define(eq=False)
class NodeProcess(Process):
    """A node process and its availability zone."""

    zone: str = ""

    @property
    def control(self) -> str:
        """Return the control address as ``host:port``, the form of seeds."""
        address = self.addresses["control"]
        return f"{address['host']}:{address['port']}"


class Fleet:
    """The processes of one test or demo; leaving the context stops them.

    Example::

        async with Fleet(directory) as fleet:
            await fleet.start_platform()
            node = await fleet.start_node("n1", "sur-uy-a")
    """

    def __init__(self, directory: pathlib.Path, region: str = "sur-uy"):
        self._directory = directory
        self._region = region
        self._platform_url = ""
        self._seeds: list[str] = []
        self._processes: list[Process] = []
        self._session: aiohttp.ClientSession | None = None
        self.nodes: dict[str, NodeProcess] = {}
        self.targets: dict[str, Process] = {}

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the HTTP session for calls and admin requests."""
        assert self._session is not None
        return self._session

    @property
    def pids(self) -> list[int]:
        """Return the process ids of all started processes."""
        return [process.popen.pid for process in self._processes]

    async def __aenter__(self) -> typing.Self:
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.session.close()
        for process in reversed(self._processes):
            process.popen.send_signal(signal.SIGCONT)
            process.popen.terminate()
        for process in self._processes:
            try:
                process.popen.wait(STOP_TIMEOUT.total_seconds())
            except subprocess.TimeoutExpired:
                process.kill()

    async def start_platform(self, port: int = 0) -> Process:
        """Start the fake platform."""
        module = "balsamramp_testing.platform_server"
        process = await self._start("platform", module, ["--port", str(port)])
        self._platform_url = process.url("http")
        return process

    async def start_node(
        self, name: str, zone: str, extra: str = ""
    ) -> NodeProcess:
        """Start a node in ``zone``; ``extra`` is added to its settings."""
        path = self._directory / f"{name}.ini"
        text = SETTINGS.format(
            name=name,
            zone=zone,
            region=self._region,
            platform=self._platform_url,
            seeds=", ".join(self._seeds[:3]),
            extra=extra,
        )
        path.write_text(text, encoding="utf-8")
        started = await self._start(
            name, "balsamramp_node.process.cmdline", [str(path)]
        )
        node = NodeProcess(name, started.popen, started.addresses, zone)
        self.nodes[name] = node
        self._seeds.append(node.control)
        return node

    async def start_target(
        self, name: str, service: str, version: str, node: NodeProcess
    ) -> Process:
        """Start a fake target that announces itself at ``node``."""
        arguments = ["--target", name, "--service", service]
        arguments += ["--version", version, "--node", node.url("admin")]
        module = "balsamramp_testing.target_server"
        process = await self._start(name, module, arguments)
        self.targets[name] = process
        return process

    async def view(self, node: Process, name: str) -> typing.Any:
        """Return the JSON of an admin view of ``node``, such as its status."""
        url = f"{node.url('admin')}/v1/{name}"
        async with self.session.get(url) as response:
            return await response.json()

    async def submit(
        self, node: Process, change: dict[str, typing.Any]
    ) -> typing.Any:
        """Submit a change through ``node``; return the JSON response."""
        url = f"{node.url('admin')}/v1/changes"
        async with self.session.post(url, json=change) as response:
            return await response.json()

    async def _start(
        self, name: str, module: str, arguments: list[str]
    ) -> Process:
        addresses = self._directory / f"{name}.addresses"
        addresses.unlink(missing_ok=True)
        arguments = [*arguments, "--addresses", str(addresses)]
        popen = self._spawn(name, module, arguments)
        process = Process(name, popen, {})
        self._processes.append(process)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + START_TIMEOUT.total_seconds()
        while not addresses.exists():
            if popen.poll() is not None:
                text = (self._directory / f"{name}.log").read_text()
                raise RuntimeError(
                    f"process {name} exited during startup; its log:\n{text}"
                )
            if loop.time() > deadline:
                raise RuntimeError(
                    f"process {name} wrote no addresses within {START_TIMEOUT}"
                )
            await asyncio.sleep(POLL_INTERVAL.total_seconds())
        process.addresses = json.loads(addresses.read_text())
        return process

    def _spawn(
        self, name: str, module: str, arguments: list[str]
    ) -> subprocess.Popen[bytes]:
        command = [sys.executable, "-m", module, *arguments]
        with (self._directory / f"{name}.log").open("ab") as log:
            return subprocess.Popen(command, stdout=log, stderr=log)
