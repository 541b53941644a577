"""Demo steps: what operators do in the demo, and what must follow."""

import asyncio
from collections import abc
import json
import math
import pathlib
import time
import typing

import attrs

from balsamramp_testing import fleet as fleet_module
from balsamramp_testing import load_generator

__all__ = ["LIMIT_SECONDS", "Answer", "Report", "DemoRun"]

LIMIT_SECONDS = 120.0
WAIT_SECONDS = 20.0
IN_FORCE_SECONDS = 4.0
STEADY_SECONDS = 3.0
FEW_SECONDS = 4.0
WATCHED_SECONDS = 3.0
GOOD_SECONDS = 40
BAD_SHARE = 0.05
DEVIATIONS_MAX = 4.0
POLL_SECONDS = 0.1


@attrs.frozen
class Answer:
    """Exit code and text of one command."""

    code: int
    text: str


Operator = abc.Callable[[str], abc.Awaitable[Answer]]
Check = abc.Callable[[], abc.Awaitable[bool]]


class Report:
    """Prints one line for each promise and remembers whether all held."""

    def __init__(self) -> None:
        self.ok = True

    def line(self, ok: bool, text: str) -> None:
        """Print one line."""
        self.ok = self.ok and ok
        print(f"{'ok  ' if ok else 'FAIL'} {text}", flush=True)


class DemoRun:
    """The deployment, its operator and its callers."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        operator: Operator,
        callers: load_generator.LoadGenerator,
        report: Report,
    ) -> None:
        self._fleet = fleet
        self._operator = operator
        self._report = report
        self.callers = callers

    async def configure(self, file: pathlib.Path) -> None:
        """Apply services, routes, labels and a selector."""
        for line in ("validate {}", "apply {} --dry-run", "apply {}"):
            await self._command(line.format(file))
        for name in self._fleet.targets:
            await self._command(f"label {name} ring=open", quiet=True)
        await self._command("selector reservas-all version=v1")
        started = time.monotonic()
        ok = await _until(self._in_force)
        seconds = time.monotonic() - started
        self._report.line(
            ok and seconds <= IN_FORCE_SECONDS,
            f"in force on {len(self._fleet.nodes)} nodes after "
            f"{seconds:.1f} s",
        )

    async def send_calls(self) -> None:
        """Send calls in a steady state, one under a misspelled name."""
        await asyncio.sleep(STEADY_SECONDS)
        node = next(iter(self._fleet.nodes.values()))
        headers = {"balsamramp-service": "catalogoo"}
        async with self._fleet.session.get(
            node.url("call"), headers=headers
        ) as response:
            answer = await response.json()
        self._report.line(answer["verdict"] == "not-run", answer["message"])
        names = await self._operator("--output json names --all-nodes")
        listed = json.loads(names.text)["names"]
        found = [item["name"] for item in listed]
        self._report.line(found == ["catalogoo"], f"unknown names: {found}")
        await self._command("alias catalogoo catalogo")

    async def roll_out(self) -> None:
        """Move catalogo to v2 by a time; caja's v2 is bad."""
        await self._behave("caja-4", fail_share=1.0)
        started = time.monotonic()
        for name in ("catalogo", "caja"):
            await self._command(
                f"rollout start {name}-v2 {name} v1 v2 --within {GOOD_SECONDS}"
            )
        await self._take_back(started)
        left = started + GOOD_SECONDS + 1 - time.monotonic()
        ok = await _until(self._phase("catalogo-v2", "completed"), left)
        seconds = time.monotonic() - started
        self._report.line(
            ok and seconds <= GOOD_SECONDS + 1,
            f"catalogo: {await self._outcome('catalogo-v2')} "
            f"({seconds:.0f} of {GOOD_SECONDS} s)",
        )
        await asyncio.sleep(FEW_SECONDS)
        after = time.monotonic()
        await asyncio.sleep(WATCHED_SECONDS)
        versions = self._versions("catalogo", after)
        self._report.line(
            versions == {"v2"}, f"catalogo is answered by {sorted(versions)}"
        )

    async def move_zone(self, zone: str) -> None:
        """Take a zone out and in again while calls go on."""
        await self._command(f"zone out {zone}")
        await asyncio.sleep(FEW_SECONDS)
        after = time.monotonic()
        await asyncio.sleep(WATCHED_SECONDS)
        used = self._zones_used(after)
        self._report.line(
            zone not in used, f"{zone} is out; calls go to {sorted(used)}"
        )
        await self._command(f"zone in {zone}")
        started = time.monotonic()

        async def is_back() -> bool:
            return zone in self._zones_used(started)

        back = await _until(is_back)
        seconds = time.monotonic() - started
        self._report.line(back, f"{zone} is in, used after {seconds:.1f} s")
        await asyncio.sleep(WATCHED_SECONDS)

    async def check_calls(self) -> None:
        """Check all calls that were sent: none lost, none doubled."""
        records = self.callers.records
        lost = self.callers.lost()
        self._report.line(
            not lost, f"idempotent calls lost: {len(lost)} of {len(records)}"
        )
        doubled = await self.callers.duplicate_runs()
        self._report.line(
            not doubled, f"other calls that ran twice: {len(doubled)}"
        )
        refused = [item for item in records if _is_refused_repeat(item)]
        repeats = [item for item in records if item.repeat]
        self._report.line(
            len(refused) < len(repeats),
            f"repeated keys: {len(repeats)}, of which {len(refused)} were "
            "refused as duplicate, the others got the recorded answer",
        )
        failed = [
            item
            for item in records
            if item.status != 200
            and (item.target, item.status) != BAD_ANSWER
            and not _is_refused_repeat(item)
        ]
        self._report.line(
            not failed,
            f"other calls without a good answer, apart from caja's v2: "
            f"{len(failed)} "
            f"{sorted({(item.status, item.reason) for item in failed})}",
        )
        slowest = load_generator.p99_latency(records) * 1000
        self._report.line(True, f"99 of 100 calls took under {slowest:.1f} ms")

    async def _take_back(self, started: float) -> None:
        ok = await _until(self._phase("caja-v2", "taken-back"), WAIT_SECONDS)
        self._report.line(ok, f"caja: {await self._outcome('caja-v2')}")
        end = time.monotonic()
        await asyncio.sleep(FEW_SECONDS)
        after = time.monotonic()
        await asyncio.sleep(WATCHED_SECONDS)
        calls = [
            item
            for item in self.callers.records
            if item.service == "caja" and started < item.sent_at < end
        ]
        bad = [item for item in calls if item.version == "v2"]
        self._report.line(
            0 < len(bad) <= _at_most(len(calls), BAD_SHARE),
            f"caja's bad v2 got {len(bad)} of {len(calls)} calls",
        )
        versions = self._versions("caja", after)
        self._report.line(
            versions == {"v1"}, f"caja is answered by {sorted(versions)}"
        )

    async def _command(self, line: str, quiet: bool = False) -> None:
        answer = await self._operator(line)
        last = answer.text.strip().splitlines()[-1:]
        if quiet and answer.code == 0:
            return
        shown = " ".join(part.rpartition("/")[2] for part in line.split())
        text = " ".join(last).rpartition("/")[2]
        self._report.line(answer.code == 0, f"balsamramp {shown}: {text}")

    async def _in_force(self) -> bool:
        versions = set()
        for node in self._fleet.nodes.values():
            status = await self._fleet.view(node, "status")
            ready = [item for item in status["nodes"] if item["targets"]]
            if len(ready) < len(self._fleet.nodes):
                return False
            versions.add(status["version"])
        return len(versions) == 1

    async def _behave(self, target: str, **behaviour: typing.Any) -> None:
        url = f"{self._fleet.targets[target].url('http')}/_behaviour"
        async with self._fleet.session.put(url, json=behaviour) as response:
            assert response.status == 200

    async def _rollout(self, name: str) -> dict[str, typing.Any]:
        answer = await self._operator(f"--output json rollout status {name}")
        if answer.code:
            return {}
        found: dict[str, typing.Any] = json.loads(answer.text)[name]
        return found

    async def _outcome(self, name: str) -> str:
        found = await self._rollout(name)
        return str(found.get("outcome") or found)

    def _phase(self, name: str, phase: str) -> Check:
        async def check() -> bool:
            return (await self._rollout(name)).get("phase") == phase

        return check

    def _versions(self, service: str, after: float) -> set[str]:
        return {
            item.version
            for item in self.callers.records
            if item.service == service and item.sent_at > after
        }

    def _zones_used(self, after: float) -> set[str]:
        return {
            self._fleet.nodes[f"node-{item.target}"].zone
            for item in self.callers.records
            if item.target and item.sent_at > after
        }


BAD_ANSWER = ("caja-4", 500)


def _is_refused_repeat(record: load_generator.SentCall) -> bool:
    """Tell whether a key was refused because it may have run before."""
    return (
        record.repeat
        and record.reason == "duplicate"
        and record.verdict != "not-run"
    )


def _at_most(calls: int, share: float) -> float:
    """Return how many of ``calls`` may fall to ``share`` by chance."""
    deviation = math.sqrt(share * (1 - share) * calls)
    return share * calls + DEVIATIONS_MAX * deviation


async def _until(check: Check, seconds: float = WAIT_SECONDS) -> bool:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await check():
            return True
        await asyncio.sleep(POLL_SECONDS)
    return False
