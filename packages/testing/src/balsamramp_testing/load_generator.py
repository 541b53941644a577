"""Sends calls of all kinds at a constant rate and records the results."""

import asyncio
from collections import abc
import enum
import random
import time
import typing

import aiohttp
import attrs

from balsamramp_testing import fleet as fleet_module

__all__ = ["CallKind", "LoadGenerator", "SentCall", "p99_latency"]

CALL_TIMEOUT = aiohttp.ClientTimeout(5)
INGRESS_NODES_MAX = 3
LATENCY_QUANTILE = 0.99


class CallKind(enum.Enum):
    """Whether a caller may retry a call that may have run."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"
    PLAIN = "plain"


METHODS = {
    CallKind.IDEMPOTENT: "GET",
    CallKind.KEYED: "POST",
    CallKind.PLAIN: "POST",
}


@attrs.define(kw_only=True)
class SentCall:
    """One call and its result; ``status`` is 0 if there was no response.

    ``repeat`` is true if the same key was sent before. ``sent_at`` is the
    time of the monotonic clock, ``latency`` the duration, both in seconds.
    """

    kind: CallKind
    service: str
    body: str
    repeat: bool = False
    sent_at: float
    latency: float = 0.0
    status: int = 0
    verdict: str = ""
    reason: str = ""
    target: str = ""
    version: str = ""


class LoadGenerator:
    """Sends ``rate`` calls per second until it is stopped.

    Each call goes to a random ingress node. If that node does not respond,
    an idempotent call or one with an idempotency key is retried at another
    node, as no load balancer in front of the nodes does so. Every call
    with a key is sent ``sends_of_keyed`` times with the same key. ``name``
    keeps the bodies and keys of two instances distinct.
    """

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        shares: abc.Mapping[str, int],
        rate: float,
        seed: int,
        sends_of_keyed: int = 1,
        name: str = "call",
    ) -> None:
        self._fleet = fleet
        self._name = name
        self._sends_of_keyed = sends_of_keyed
        self._services = list(shares)
        self._weights = list(shares.values())
        self._rate = rate
        self._random = random.Random(seed)
        self._records: list[SentCall] = []
        self._call_completed = asyncio.Event()
        self._calls: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None
        self.entries: list[fleet_module.NodeProcess] = []

    @property
    def records(self) -> list[SentCall]:
        """Return the completed calls."""
        return self._records

    def start(self) -> None:
        """Start sending calls through all nodes of the fleet."""
        self.entries = list(self._fleet.nodes.values())
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop sending calls and wait for those in flight."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        await asyncio.gather(*self._calls)

    async def wait_for_calls(self, count: int) -> None:
        """Wait until ``count`` calls have completed."""
        while len(self._records) < count:
            self._call_completed.clear()
            await self._call_completed.wait()

    def lost(self) -> list[SentCall]:
        """Return the idempotent calls without a response from a target."""
        return [
            record
            for record in self._records
            if record.kind is CallKind.IDEMPOTENT and record.verdict != "ran"
        ]

    async def duplicate_runs(self) -> list[str]:
        """Return the bodies of the other calls that ran more than once.

        Targets that have exited are not queried.
        """
        runs: dict[str, int] = {}
        for target in self._fleet.targets.values():
            if target.popen.poll() is not None:
                continue
            url = f"{target.url('http')}/_runs"
            async with self._fleet.session.get(url) as response:
                for body, count in (await response.json())["runs"].items():
                    runs[body] = runs.get(body, 0) + count
        bodies = {
            record.body
            for record in self._records
            if record.kind is not CallKind.IDEMPOTENT
        }
        return sorted(body for body in bodies if runs.get(body, 0) > 1)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        number = 0
        while True:
            number += 1
            next_at += 1 / self._rate
            await asyncio.sleep(max(0.0, next_at - loop.time()))
            call = asyncio.create_task(self._call(number))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _call(self, number: int) -> None:
        kind = list(CallKind)[number % len(CallKind)]
        service = self._random.choices(self._services, self._weights)[0]
        body = "" if kind is CallKind.IDEMPOTENT else f"{self._name} {number}"
        sends = self._sends_of_keyed if kind is CallKind.KEYED else 1
        for send_index in range(sends):
            await self._send_call(kind, service, body, send_index > 0)

    async def _send_call(
        self, kind: CallKind, service: str, body: str, repeat: bool
    ) -> None:
        record = SentCall(
            kind=kind,
            service=service,
            body=body,
            repeat=repeat,
            sent_at=time.monotonic(),
        )
        entries = self._random.sample(
            self.entries, min(INGRESS_NODES_MAX, len(self.entries))
        )
        if kind is CallKind.PLAIN:
            entries = entries[:1]
        for ingress in entries:
            if await self._attempt(ingress, record):
                break
        record.latency = time.monotonic() - record.sent_at
        self._records.append(record)
        self._call_completed.set()

    async def _attempt(
        self, ingress: fleet_module.NodeProcess, record: SentCall
    ) -> bool:
        headers = {"balsamramp-service": record.service}
        if record.kind is CallKind.KEYED:
            headers["idempotency-key"] = record.body
        try:
            async with self._fleet.session.request(
                METHODS[record.kind],
                f"{ingress.url('call')}/paseos",
                headers=headers,
                data=record.body or None,
                timeout=CALL_TIMEOUT,
            ) as response:
                document: dict[str, typing.Any] = await response.json()
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return False
        record.status = response.status
        record.verdict = response.headers.get("balsamramp-verdict", "")
        record.reason = response.headers.get("balsamramp-reason", "")
        record.target = document.get("target", "")
        record.version = document.get("version", "")
        return True


def p99_latency(records: abc.Iterable[SentCall]) -> float:
    """Return the 99th percentile of the latencies, in seconds."""
    ordered = sorted(record.latency for record in records)
    if not ordered:
        return 0.0
    return ordered[int(LATENCY_QUANTILE * (len(ordered) - 1))]
