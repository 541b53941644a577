"""Demo: a small deployment on loopback, driven by operators' commands."""

import asyncio
import contextlib
import io
import json
import os
import pathlib
import sys
import tempfile
import time
import typing

from balsamramp_client import cmdline
from balsamramp_testing import demo_steps
from balsamramp_testing import fleet as fleet_module
from balsamramp_testing import load_generator

__all__ = ["main"]

ZONES = ("sur-uy-a", "sur-uy-b", "sur-uy-c")
VERSIONS = {
    "catalogo": ("v1", "v1", "v1", "v2", "v2", "v2"),
    "caja": ("v1", "v1", "v1", "v2"),
    "reservas": ("v1", "v1", "v1"),
}
STARTS_AT_ONCE = 8
CALL_SHARES = {"catalogo": 6, "caja": 3, "reservas": 1}
CALLS_PER_SECOND = 200.0
SEED = 20260101
SENDS_OF_KEYED = 2
MEMBERSHIP = "[targets]\nlease = 3000"


class _Operator:
    """Gives commands to the real command line of the client."""

    def __init__(self, urls: list[str]) -> None:
        self._prefix = ["--node", ",".join(urls), "--author", "demo"]

    async def run(self, line: str) -> demo_steps.Answer:
        """Run one command, such as ``zone out sur-uy-a``."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = await cmdline.execute([*self._prefix, *line.split()])
        return demo_steps.Answer(code, out.getvalue() + err.getvalue())


async def _start(fleet: fleet_module.Fleet) -> None:
    """Start one node first, as the seed, then the others in parallel."""
    await fleet.start_platform()
    wanted = [
        (f"{service}-{number}", service, version)
        for service, versions in VERSIONS.items()
        for number, version in enumerate(versions, start=1)
    ]
    await _start_one(fleet, 0, *wanted[0])
    limit = asyncio.Semaphore(STARTS_AT_ONCE)

    async def start(index: int, name: str, service: str, version: str) -> None:
        async with limit:
            await _start_one(fleet, index, name, service, version)

    await asyncio.gather(
        *(
            start(index, *item)
            for index, item in enumerate(wanted[1:], start=1)
        )
    )


async def _start_one(
    fleet: fleet_module.Fleet,
    index: int,
    name: str,
    service: str,
    version: str,
) -> None:
    zone = ZONES[index % len(ZONES)]
    node = await fleet.start_node(f"node-{name}", zone, MEMBERSHIP)
    await fleet.start_target(name, service, version, node)


async def _run(directory: pathlib.Path) -> tuple[bool, list[int]]:
    report = demo_steps.Report()
    started = time.monotonic()
    async with fleet_module.Fleet(directory) as fleet:
        await _start(fleet)
        nodes = list(fleet.nodes.values())
        report.line(
            True,
            f"{len(nodes)} nodes and as many targets in {len(ZONES)} zones "
            f"in {time.monotonic() - started:.0f} s",
        )
        operator = _Operator([node.url("admin") for node in nodes[:3]])
        file = directory / "services.json"
        file.write_text(json.dumps(_services()), encoding="utf-8")
        stage = demo_steps.DemoRun(
            fleet,
            operator.run,
            load_generator.LoadGenerator(
                fleet,
                CALL_SHARES,
                CALLS_PER_SECOND,
                SEED,
                sends_of_keyed=SENDS_OF_KEYED,
            ),
            report,
        )
        await stage.configure(file)
        stage.callers.start()
        await stage.send_calls()
        await stage.roll_out()
        await stage.move_zone(ZONES[0])
        await stage.callers.stop()
        await stage.check_calls()
        pids = fleet.pids
    seconds = time.monotonic() - started
    report.line(seconds <= demo_steps.LIMIT_SECONDS, f"took {seconds:.0f} s")
    left = [pid for pid in pids if _is_running(pid)]
    report.line(not left, f"processes left running: {len(left)}")
    return report.ok, left


def _services() -> dict[str, typing.Any]:
    resources: list[dict[str, typing.Any]] = []
    for service in VERSIONS:
        resources.append({"kind": "service", "name": service})
        resources.append(
            {
                "kind": "route",
                "name": f"{service}-all",
                "service": service,
                "selector": {"ring": "open"},
            }
        )
    return {"resources": resources}


def _is_running(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def main() -> int:
    """Run the demo; return 0 only if every step met its promise."""
    with tempfile.TemporaryDirectory() as directory:
        ok, left = asyncio.run(_run(pathlib.Path(directory)))
    return 0 if ok and not left else 1


if __name__ == "__main__":
    sys.exit(main())
