"""Callers: calls of all kinds at a steady rate, and what became of them."""

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

TIMEOUT = aiohttp.ClientTimeout(5)
ENTRIES_MAX = 3
LATENCY_SHARE = 0.99


class CallKind(enum.Enum):
    """What a caller may do when it does not know whether a call ran."""

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
    """One call and its end; ``status`` 0 means that no answer came.

    ``repeat`` tells that the same key was sent before. ``sent_at`` is in
    seconds of the machine's monotonic clock.
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
    """Sends calls at ``rate`` a second until it is stopped.

    An entry node is picked at random for each call. When the entry node
    itself does not answer, an idempotent call, and one with a key, goes
    to another one, as there is nothing in front of the nodes to do so.
    Every keyed call is sent ``sends_of_keyed`` times under its key.
    ``name`` tells the bodies and keys of two instances apart.
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
        self._ended = asyncio.Event()
        self._calls: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None
        self.entries: list[fleet_module.NodeProcess] = []

    @property
    def records(self) -> list[SentCall]:
        """Return the calls that have ended."""
        return self._records

    def start(self) -> None:
        """Begin to send calls through all nodes of the fleet."""
        self.entries = list(self._fleet.nodes.values())
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Send no more calls and wait until those in flight have ended."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        await asyncio.gather(*self._calls)

    async def wait_for_calls(self, count: int) -> None:
        """Wait until ``count`` calls have ended."""
        while len(self._records) < count:
            self._ended.clear()
            await self._ended.wait()

    def lost(self) -> list[SentCall]:
        """Return the idempotent calls that got no answer of a target."""
        return [
            record
            for record in self._records
            if record.kind is CallKind.IDEMPOTENT and record.verdict != "ran"
        ]

    async def duplicate_runs(self) -> list[str]:
        """Return the other calls that ran more than once."""
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
        for number_sent in range(sends):
            await self._send(kind, service, body, number_sent > 0)

    async def _send(
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
            self.entries, min(ENTRIES_MAX, len(self.entries))
        )
        if kind is CallKind.PLAIN:
            entries = entries[:1]
        for entry in entries:
            if await self._attempt(entry, record):
                break
        record.latency = time.monotonic() - record.sent_at
        self._records.append(record)
        self._ended.set()

    async def _attempt(
        self, entry: fleet_module.NodeProcess, record: SentCall
    ) -> bool:
        headers = {"balsamramp-service": record.service}
        if record.kind is CallKind.KEYED:
            headers["idempotency-key"] = record.body
        try:
            async with self._fleet.session.request(
                METHODS[record.kind],
                f"{entry.url('call')}/paseos",
                headers=headers,
                data=record.body or None,
                timeout=TIMEOUT,
            ) as response:
                answer: dict[str, typing.Any] = await response.json()
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return False
        record.status = response.status
        record.verdict = response.headers.get("balsamramp-verdict", "")
        record.reason = response.headers.get("balsamramp-reason", "")
        record.target = answer.get("target", "")
        record.version = answer.get("version", "")
        return True


def p99_latency(records: abc.Iterable[SentCall]) -> float:
    """Return the latency, in seconds, that 99 of 100 calls stay under."""
    ordered = sorted(record.latency for record in records)
    if not ordered:
        return 0.0
    return ordered[int(LATENCY_SHARE * (len(ordered) - 1))]
