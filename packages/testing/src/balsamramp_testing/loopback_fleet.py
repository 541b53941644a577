"""Runs nodes with real ports and a platform in one event loop."""

import pathlib
import typing

from balsamramp_core import clock
from balsamramp_core import settings
from balsamramp_node.process import app
from balsamramp_node.process import http_server
from balsamramp_node.process import options
from balsamramp_testing import platform_server

__all__ = ["LoopbackFleet"]

LOOPBACK = "127.0.0.1"

SETTINGS = """\
[node]
id = {name}
zone = {zone}
region = region-1
[listen]
host = 127.0.0.1
[platform]
url = {platform}
timeout = 500
[membership]
seeds = {seeds}
interval = 50
{extra}
"""


class LoopbackFleet:
    """Nodes and a platform on loopback; leaving the context stops them.

    Starts faster than a fleet of processes, for tests of the responses on
    the ports. Example::

        async with LoopbackFleet(directory) as fleet:
            node = await fleet.start_node("n1", "zone-a")
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._platform = http_server.HttpServer(
            "platform",
            platform_server.make_application(),
            settings.Address(LOOPBACK, 0),
        )
        self._nodes: dict[str, app.Node] = {}

    @property
    def platform_url(self) -> str:
        """Return the URL of the platform."""
        return f"http://{self._platform.address}"

    async def __aenter__(self) -> typing.Self:
        await self._platform.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        for node in self._nodes.values():
            await node.stop()
        await self._platform.stop()

    async def start_node(
        self, name: str, zone: str, extra: str = ""
    ) -> app.Node:
        """Start a node; ``extra`` is added to its settings."""
        seeds = [
            str(node.addresses().control) for node in self._nodes.values()
        ]
        text = SETTINGS.format(
            name=name,
            zone=zone,
            platform=self.platform_url,
            seeds=", ".join(seeds[:3]),
            extra=extra,
        )
        path = self._directory / f"{name}.ini"
        path.write_text(text, encoding="utf-8")
        parsed = options.read(path).unwrap()
        node = app.Node(parsed, clock.SystemClock())
        await node.start()
        self._nodes[name] = node
        return node

    async def stop_node(self, name: str) -> None:
        """Stop one node."""
        await self._nodes.pop(name).stop()
