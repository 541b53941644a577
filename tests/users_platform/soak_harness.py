"""Soak world: sidecars as processes, with a proxy on each connection."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import time
import typing

import aiohttp
import loopback_proxy
import sidecar_fleet
import soak_checks
import soak_target

__all__ = ["Node", "SoakHarness"]

HEADER_PREFIX = soak_target.HEADER_PREFIX
SERVICES = ("caja", "catalogo")
ZONES = ("z-a", "z-b")
HOST = "caja.example"
TIMEOUT_MS = 1500
# A caller allows as much beyond its timeout before it gives up.
GIVE_UP_SECONDS = 2.5


class Node:
    """One sidecar, its target, and what lies between it and the rest."""

    def __init__(self, world: "SoakHarness", name: str, number: int) -> None:
        self.name = name
        self.zone = ZONES[number % len(ZONES)]
        self.service = SERVICES[number // len(ZONES) % len(SERVICES)]
        self.starts = 0
        self._world = world
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
        self.sidecar = await self._world.fleet.start_beside(
            self.target,
            self.name,
            self.zone,
            self._ports,
            self.store_proxy.port,
            self.stream_proxy.port,
        )

    async def kill(self) -> None:
        """End the process without a word, if it runs."""
        async with self._busy:
            self._signal(signal.SIGKILL)
            await self.sidecar.process.wait()

    async def restart(self) -> None:
        """Start the process again, unless somebody has."""
        async with self._busy:
            if self.sidecar.process.returncode is None:
                return
            self.starts += 1
            await self._world.fleet.restart(self.sidecar)

    def terminate(self) -> None:
        """Ask the process to end."""
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Have the process stand still."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Have it go on."""
        self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Write the settings anew and tell the process."""
        text = self.sidecar.settings.read_text()
        self.sidecar.settings.write_text(text + "\n")
        self._signal(signal.SIGHUP)

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

    async def stop(self) -> None:
        """End what was started beside the process."""
        await self.store_proxy.stop()
        await self.stream_proxy.stop()

    def _signal(self, number: signal.Signals) -> None:
        process = self.sidecar.process
        if process.returncode is None:
            # The process's own method would reap it, and its exit code be
            # lost to asyncio.
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, number)

    def _make_target(self) -> soak_target.SoakTarget:
        return soak_target.SoakTarget(
            f"i-{self.name}-{self._generation}",
            self.service,
            self.zone,
            self._world.ledger.runs,
            self._world.rng,
        )


class SoakHarness:
    """Nodes, operators and callers of one soak."""

    def __init__(
        self, folder: pathlib.Path, nodes: int, rng: random.Random
    ) -> None:
        self.rng = rng
        self.ledger = soak_checks.SoakHistory()
        self.fleet = sidecar_fleet.SidecarFleet(folder)
        self.store = self.fleet.store
        self.nodes: list[Node] = []
        self._node_count = nodes
        self._version = 3
        self._routes: dict[str, typing.Any] = {}
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

    def add_route(self) -> None:
        """Write a configuration with one route more."""
        self._version += self.rng.randint(1, 9)
        route = sidecar_fleet.configuration(0)["routes"]["read"]
        prefix = f"/v{self._version}/"
        self._routes[f"v{self._version}"] = {**route, "prefix": prefix}
        self._write_configuration()
        self._asked.append(self._version)
        self.ledger.versions[self._version] = time.monotonic()

    def evacuate_zone(self, zone: str) -> None:
        """Take a zone out of service."""
        self.store.put("op", f"evacuate/{zone}", {})
        mark = soak_checks.NoTrafficWindow(zone, time.monotonic())
        self.ledger.evacuated.append(mark)

    def restore_zone(self, zone: str) -> None:
        """Take it back, if it is out."""
        self.store.remove("op", f"evacuate/{zone}")
        marks = self.ledger.evacuated
        for index, mark in enumerate(marks):
            if mark.place == zone and mark.until == float("inf"):
                until = time.monotonic()
                marks[index] = soak_checks.NoTrafficWindow(
                    zone, mark.at, until
                )

    async def call(
        self, session: aiohttp.ClientSession, node: Node, kind: str
    ) -> None:
        """Send one request of a caller at ``node``, and note its end."""
        self._numbers += 1
        request_id = f"r{self._numbers:07d}"
        version = 0
        path = f"/{kind}/{request_id}?x=%2F"
        if kind == "new":
            version = self.rng.choice(self._asked[-3:])
            path = f"/v{version}/{request_id}"
        made = soak_checks.Exchange(
            request_id=request_id,
            node=node.name,
            start=node.starts,
            path=path,
            repeatable=kind != "pay",
            sent_at=time.monotonic(),
            asked_version=version,
        )
        self.ledger.exchanges.append(made)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await self._exchange(session, node, made)
        made.ended_at = time.monotonic()

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        node: Node,
        made: soak_checks.Exchange,
    ) -> None:
        headers = {
            "Host": HOST,
            HEADER_PREFIX + "Request-Id": made.request_id,
            HEADER_PREFIX + "Request-Timeout-Ms": str(TIMEOUT_MS),
        }
        method = "GET" if made.repeatable else "POST"
        data = None if made.repeatable else made.path.encode()
        url = f"http://{node.sidecar.address('callers')}{made.path}"
        timeout = aiohttp.ClientTimeout(total=GIVE_UP_SECONDS)
        async with session.request(
            method,
            sidecar_fleet.exact_url(url),
            headers=headers,
            data=data,
            timeout=timeout,
        ) as answer:
            body = await answer.read()
            made.body = body
            made.proof = answer.headers.get(
                HEADER_PREFIX + "Response-Signature", ""
            )
            made.status = answer.status

    def kinds(self) -> list[str]:
        """Return the kinds of requests that callers send now."""
        return ["read", "read", "pay", *(["new"] if self._asked else [])]

    def _write_configuration(self) -> None:
        document = sidecar_fleet.configuration(self._version, **self._routes)
        other = {**document["routes"]["read"], "service": "catalogo"}
        document["routes"]["list"] = {**other, "prefix": "/list/"}
        self.store.put("op", "config", document)
