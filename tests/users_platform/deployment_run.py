"""Deployment run: a fleet of real processes, built and started as deployed.

The checkout is cloned, built and started with the commands and the template
of the deploy file, one node beside each target. What became of the requests
of each kind, caller and node is printed, and what became of the processes:

    .venv/bin/python tests/users_platform/deployment_run.py \
        --deployment society --starts 10
"""

import argparse
import asyncio
import collections
import contextlib
import itertools
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import typing

import aiohttp
import attrs
import deployment_machine
import fake_store
import msgspec
import sidecar_fleet

__all__ = ["DEPLOYMENTS", "Deployment", "Result", "build", "play"]

Kind = deployment_machine.Kind
Machine = deployment_machine.Machine
Trouble = deployment_machine.Trouble
HERE = pathlib.Path(__file__).resolve().parent
READY_TIMEOUT_SECONDS = 60.0
# All machines start within this time.
START_SPREAD_SECONDS = 0.3
RESTART_DELAY_SECONDS = 0.5
SETTLE_SECONDS = 1.0
PORTS = {
    "callers": 8304,
    "inbound": 8300,
    "ready": 8302,
    "control": 8306,
    "stream": 7620,
}
TARGET_PORT = 8301


@attrs.frozen(kw_only=True)
class Deployment:
    """Services with the targets of each zone, and the requests to them."""

    services: dict[str, tuple[int, ...]]
    speeds: tuple[float, ...]
    slots: int
    hangs_when_full: bool
    heartbeat_ms: int
    timeout_ms: int
    kinds: tuple[Kind, ...]

    def scaled(self, part: float) -> "Deployment":
        """Return the deployment with a part of its load and its slots."""
        kinds = [
            msgspec.structs.replace(kind, rate=kind.rate * part)
            for kind in self.kinds
        ]
        slots = max(1, round(self.slots * part))
        return attrs.evolve(self, kinds=tuple(kinds), slots=slots)


def _kinds(
    deadlines: tuple[int, int, int, int],
    rates: tuple[float, float, float, float],
    retries: int,
    inner: int,
) -> tuple[Kind, ...]:
    """Return two kinds that make inner calls, two that don't, and these."""
    rows = (
        ("read", "safe", "front", 90, 300, 2, 400, "lookup", inner),
        ("write", "unsafe", "ledger", 120, 400, 1, 400, "check", 1),
        ("download", "download", "files", 72, 300, 2, 90_000, "", 0),
        ("file", "unsafe", "files", 72, 250, 2, 400, "", 0),
    )
    found = [
        Kind(
            name=name,
            route_type=route_type,
            service=service,
            rate=rate,
            work=work / 1000,
            spread=0.5,
            objective=objective / 1000,
            deadline=deadline / 1000,
            priority=priority,
            retries=retries,
            size=size,
            inner=called,
            inner_times=times,
        )
        for (
            name,
            route_type,
            service,
            work,
            objective,
            priority,
            size,
            called,
            times,
        ), deadline, rate in zip(rows, deadlines, rates, strict=True)
    ]
    for name, service in (("lookup", "ledger"), ("check", "files")):
        found.append(
            Kind(
                name=name,
                route_type="safe",
                service=service,
                rate=0.0,
                work=0.022,
                spread=0.5,
                objective=0.1,
                deadline=0.25,
                priority=2,
            )
        )
    return tuple(found)


DEPLOYMENTS = {
    "consortium": Deployment(
        services={"front": (3, 2, 1), "ledger": (2, 1, 1), "files": (1, 1, 1)},
        speeds=(0.6, 1.0, 1.4),
        slots=18,
        hangs_when_full=False,
        heartbeat_ms=1000,
        timeout_ms=1000,
        kinds=_kinds((2000, 2500, 2000, 1500), (479, 195, 63, 47), 2, 2),
    ),
    "society": Deployment(
        services={"front": (2, 1, 1), "ledger": (1, 1, 1), "files": (1, 1, 1)},
        speeds=(0.5, 1.0, 1.0, 1.5),
        slots=12,
        hangs_when_full=True,
        heartbeat_ms=870,
        timeout_ms=800,
        kinds=_kinds((800, 1000, 800, 600), (231, 92.3, 31.9, 30), 1, 1),
    ),
    "small": Deployment(
        services={"front": (1, 1), "ledger": (1, 1), "files": (1, 1)},
        speeds=(1.0,),
        slots=8,
        hangs_when_full=False,
        heartbeat_ms=500,
        timeout_ms=2000,
        kinds=_kinds((3000, 3000, 3000, 3000), (20, 8, 4, 4), 2, 1),
    ),
}


@attrs.define(eq=False, kw_only=True)
class Node:
    """One node: its settings, its process, and how often that ended."""

    name: str
    ip: str
    ports: dict[str, int]
    machine: Machine
    settings: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    exits: list[int] = attrs.field(factory=list)
    ready_after: float | None = None

    def address(self, port: str) -> str:
        """Return one of the node's addresses."""
        return f"{self.ip}:{self.ports[port]}"

    def log(self) -> str:
        """Return what the processes have written."""
        return self.settings.with_suffix(".log").read_text()


@attrs.define(kw_only=True)
class Result:
    """What a run showed.

    ``ends`` counts the requests of a phase by kind, kind of the request that
    made it (or empty), caller's machine, and how they ended.
    """

    nodes: list[Node]
    ends: collections.Counter[tuple[str, ...]]

    @property
    def exits(self) -> dict[str, list[int]]:
        """Return the statuses of the processes that ended by themselves."""
        return {node.name: node.exits for node in self.nodes if node.exits}

    def served(self, phase: str, column: int) -> dict[str, tuple[int, int]]:
        """Return requests served and all, by a column of ``ends``."""
        found: dict[str, tuple[int, int]] = {}
        for key, count in sorted(self.ends.items()):
            if key[0] != phase:
                continue
            if column != 1 and key[2]:
                continue
            served, total = found.get(key[column], (0, 0))
            served += count * key[4].startswith("served")
            found[key[column]] = (served, total + count)
        return found

    def report(self) -> str:
        """Return the figures as text."""
        times = [node.ready_after for node in self.nodes]
        known = [item for item in times if item is not None]
        lines = [
            f"nodes {len(times)} ready {len(known)}"
            f" last after {max(known, default=0):.2f} s exits {self.exits}"
        ]
        for phase in sorted({key[0] for key in self.ends}):
            lines.append(f"[{phase}]")
            for title, column in (("kind", 1), ("caller", 3)):
                shares = self.served(phase, column)
                lines.append(
                    f"  by {title}: "
                    + " ".join(
                        f"{name} {100 * served / total:.1f}% of {total}"
                        for name, (served, total) in shares.items()
                    )
                )
            others: collections.Counter[str] = collections.Counter()
            by_node: collections.Counter[str] = collections.Counter()
            for (at, kind, _, _, end), count in self.ends.items():
                if at == phase and end.startswith("served"):
                    by_node[end.removeprefix("served ")] += count
                elif at == phase:
                    others[f"{kind} {end}"] += count
            lines.append(f"  served by: {_listed(by_node)}")
            lines.append(f"  not served: {_listed(others)}")
        return "\n".join(lines)


def _listed(counts: collections.Counter[str]) -> str:
    return " ".join(
        f"{name}: {count}" for name, count in sorted(counts.items())
    )


def build(folder: pathlib.Path, revision: str = "HEAD") -> pathlib.Path:
    """Clone the checkout and run the deploy file's build in the clone."""
    clone = folder / "clone"
    root = str(sidecar_fleet.ROOT)
    git = ["git", "-C", root]
    commit = subprocess.check_output([*git, "rev-parse", revision], text=True)
    subprocess.run(["git", "clone", "-q", "-n", root, str(clone)], check=True)
    git = ["git", "-C", str(clone), "checkout", "-q", commit.strip()]
    subprocess.run(git, check=True)
    subprocess.run(
        ["sh", "-c", _deploy_file(clone)["build"]],
        check=True,
        cwd=clone,
        env=_environment(),
        capture_output=True,
    )
    return clone


def _deploy_file(clone: pathlib.Path) -> dict[str, typing.Any]:
    return tomllib.loads((clone / "deploy" / "system.toml").read_text())


def _environment() -> dict[str, str]:
    names = ("PATH", "HOME", "LANG")
    return {name: os.environ[name] for name in names if name in os.environ}


def _fill_in(template: str, fields: dict[str, typing.Any]) -> str:
    def value(match: re.Match[str]) -> str:
        found: typing.Any = fields
        for name in match[1].split("."):
            if isinstance(found, list):
                found = found[int(name)]
            else:
                found = found.get(name, {})
        return "" if found == {} else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


class _Fleet:
    """The processes of one start; ends only what it started."""

    def __init__(
        self,
        clone: pathlib.Path,
        folder: pathlib.Path,
        deployment: Deployment,
        one_address: bool,
    ) -> None:
        self._clone = clone
        self._folder = folder
        self._deployment = deployment
        self._store = fake_store.FakeStore()
        self._role = _deploy_file(clone)["roles"]["sidecar"]
        self._watchers: list[asyncio.Task[None]] = []
        self._begun = 0.0
        self.nodes = list(self._make_nodes(one_address))

    async def __aenter__(self) -> "_Fleet":
        await self._store.start(sidecar_fleet.free_ports(("store",))["store"])
        self._store.put("op", "config", _configuration(self._deployment))
        return self

    async def __aexit__(self, *error: object) -> None:
        for watcher in self._watchers:
            watcher.cancel()
        await asyncio.gather(*self._watchers, return_exceptions=True)
        for node in self.nodes:
            process = node.process
            if process is None or process.returncode is not None:
                continue
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        await self._store.stop()

    async def start(self) -> None:
        """Start all nodes, and wait until they are ready or time is up."""
        self._begun = time.monotonic()
        for node in self.nodes:
            self._write_settings(node)
            self._watchers.append(asyncio.create_task(self._supervise(node)))
            await asyncio.sleep(START_SPREAD_SECONDS / len(self.nodes))

    async def wait_until_ready(self) -> None:
        """Wait until all nodes have been ready, or ``READY_TIMEOUT``."""
        end = time.monotonic() + READY_TIMEOUT_SECONDS
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < end:
                waiting = [n for n in self.nodes if n.ready_after is None]
                if not waiting:
                    return
                for node in waiting:
                    await self._ask(session, node)
                if any(len(node.exits) >= 3 for node in self.nodes):
                    return
                await asyncio.sleep(0.05)

    async def _ask(self, session: aiohttp.ClientSession, node: Node) -> None:
        url = f"http://{node.address('ready')}/v1/readiness"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(1.0), session.get(url) as reply:
                if reply.status == 200:
                    node.ready_after = time.monotonic() - self._begun

    async def _supervise(self, node: Node) -> None:
        """Start the node's process, and again whenever it ends."""
        fields = self._fields(node)
        environment = {
            **_environment(),
            **{
                name: _fill_in(text, fields)
                for name, text in self._role.get("env", {}).items()
            },
            "BALSAMRAMP_BOOT": str(node.settings),
            "PYTHONPATH": "target/deps",
        }
        while True:
            with node.settings.with_suffix(".log").open("ab") as log:
                node.process = await asyncio.create_subprocess_exec(
                    *self._role["run"].split(),
                    cwd=self._clone,
                    env=environment,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                )
            node.exits.append(await node.process.wait())
            await asyncio.sleep(RESTART_DELAY_SECONDS)

    def _write_settings(self, node: Node) -> None:
        template = (self._clone / self._role["template"]).read_text()
        node.settings.write_text(_fill_in(template, self._fields(node)))

    def _fields(self, node: Node) -> dict[str, typing.Any]:
        """Return what the platform knows of a machine."""
        machine = node.machine
        return {
            "nodeName": node.name,
            "zone": machine.zone,
            "region": "region",
            "service": machine.service,
            "appAddr": machine.target,
            "ip": node.ip,
            "limits": {
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
            },
            "listen": {
                "inbound": node.address("inbound"),
                "outbound": node.address("callers"),
                "ready": node.address("ready"),
                "control": node.address("control"),
            },
            "internalPorts": [node.ports["stream"], node.ports["stream"]],
            "platform": {"address": f"127.0.0.1:{self._store.port}"},
            "heartbeatMs": self._deployment.heartbeat_ms,
            "bounds": {
                "retryBudgetRatio": 0.2,
                "retryWindowS": 10,
                "retryBudgetSlack": 56,
                "graceS": 6,
            },
        }

    def _make_nodes(self, one_address: bool) -> typing.Iterator[Node]:
        deployment = self._deployment
        total = sum(map(sum, deployment.services.values()))
        numbers = itertools.count(1)
        part = 20 + os.getpid() % 200
        for service, counts in deployment.services.items():
            speeds = itertools.cycle(deployment.speeds)
            for zone, count in enumerate(counts):
                for _ in range(count):
                    number = next(numbers)
                    ip, ports = f"127.{part}.{zone}.{number}", dict(PORTS)
                    target = TARGET_PORT
                    if one_address:
                        names = (*PORTS, "target")
                        ip = "127.0.0.1"
                        ports = sidecar_fleet.free_ports(names)
                        target = ports["target"]
                    name = f"{service}-{number}"
                    yield Node(
                        name=name,
                        ip=ip,
                        ports=ports,
                        settings=self._folder / f"{name}.ini",
                        machine=Machine(
                            name=name,
                            zone=f"z-{zone}",
                            service=service,
                            slots=deployment.slots,
                            speed=next(speeds),
                            target=f"{ip}:{target}",
                            callers=f"{ip}:{ports['callers']}",
                            control=f"{ip}:{ports['control']}",
                            load_share=1 / total,
                        ),
                    )


def _configuration(deployment: Deployment) -> dict[str, typing.Any]:
    routes = {
        kind.name: {
            "host": deployment_machine.HOST,
            "prefix": f"/{kind.name}/",
            "routeType": kind.route_type,
            "timeoutMs": min(deployment.timeout_ms, int(kind.deadline * 1000)),
            "targetLatencyMs": int(kind.objective * 1000),
            "priority": kind.priority,
            "service": kind.service,
            "maxAttempts": 2,
        }
        for kind in deployment.kinds
    }
    configuration = sidecar_fleet.configuration(1)
    (service, *_) = configuration["services"].values()
    services = dict.fromkeys(deployment.services, service)
    return {**configuration, "routes": routes, "services": services}


async def play(
    clone: pathlib.Path,
    folder: pathlib.Path,
    deployment: Deployment,
    one_address: bool = False,
    seconds: float = 3.0,
    troubles: typing.Sequence[Trouble] = (),
    cut: tuple[str, float, float] | None = None,
    seed: int = 1,
) -> Result:
    """Start the deployment once, send it requests and return the figures.

    ``cut`` pauses the nodes of a zone from and until a time of the run.
    """
    async with _Fleet(clone, folder, deployment, one_address) as fleet:
        await fleet.start()
        plans = [
            deployment_machine.Plan(
                machine=node.machine,
                kinds=list(deployment.kinds),
                troubles=list(troubles),
                hangs_when_full=deployment.hangs_when_full,
                seconds=seconds,
                seed=seed * 1000 + number,
            )
            for number, node in enumerate(fleet.nodes)
        ]
        begin = asyncio.get_running_loop().create_future()
        machines = asyncio.gather(
            *(_play_machine(plan, begin) for plan in plans)
        )
        await fleet.wait_until_ready()
        begin.set_result(time.time() + SETTLE_SECONDS)
        pauses = asyncio.create_task(_pause(fleet.nodes, begin.result(), cut))
        try:
            parts = await machines
        finally:
            pauses.cancel()
        ends: collections.Counter[tuple[str, ...]] = collections.Counter()
        for part in parts:
            for key, count in part:
                ends[tuple(key)] += count
        return Result(nodes=fleet.nodes, ends=ends)


async def _pause(
    nodes: list[Node], begin: float, cut: tuple[str, float, float] | None
) -> None:
    if cut is None:
        return
    zone, first, last = cut
    for at, number in ((first, signal.SIGSTOP), (last, signal.SIGCONT)):
        await asyncio.sleep(max(0.0, begin + at - time.time()))
        for node in nodes:
            if node.machine.zone == zone and node.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    node.process.send_signal(number)


async def _play_machine(
    plan: deployment_machine.Plan, begin: asyncio.Future[float]
) -> list[tuple[list[str], int]]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(HERE / "deployment_machine.py"),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdin is not None
        process.stdin.write(msgspec.json.encode(plan) + b"\n")
        text = f"{await asyncio.shield(begin)}\n"
        output, _ = await process.communicate(text.encode())
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    return json.loads(output)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment", choices=sorted(DEPLOYMENTS), default="society"
    )
    parser.add_argument("--one-address", action="store_true")
    parser.add_argument("--starts", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument(
        "--scale", type=float, default=1.0, help="part of rates and slots"
    )
    parser.add_argument("--revision", default="HEAD", help="to be built")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--trouble",
        action="append",
        default=[],
        metavar="BEGIN,END,LOAD[,SERVICE,WORK]",
        help="times of the load, and of the work of a service's targets",
    )
    parser.add_argument("--cut", metavar="ZONE,BEGIN,END")
    parser.add_argument("--logs", help="folder for settings and logs")
    return parser.parse_args()


def _trouble(text: str) -> Trouble:
    begin, end, load, *work = text.split(",")
    found = Trouble(begin=float(begin), end=float(end), load=float(load))
    if work:
        found.service, found.work = work[0], float(work[1])
    return found


def main() -> None:
    """Play the starts that the command line asks for."""
    arguments = _parse_arguments()
    cut = None
    if arguments.cut:
        zone, first, last = arguments.cut.split(",")
        cut = (zone, float(first), float(last))
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        clone = build(folder, arguments.revision)
        for number in range(arguments.starts):
            logs = pathlib.Path(arguments.logs or folder) / f"start-{number}"
            logs.mkdir(parents=True)
            result = asyncio.run(
                play(
                    clone,
                    logs,
                    DEPLOYMENTS[arguments.deployment].scaled(arguments.scale),
                    arguments.one_address,
                    arguments.seconds,
                    list(map(_trouble, arguments.trouble)),
                    cut,
                    arguments.seed + number,
                )
            )
            print(f"start {number}: {result.report()}", flush=True)


if __name__ == "__main__":
    main()
