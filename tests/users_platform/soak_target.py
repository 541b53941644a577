"""Soak target: a target that misbehaves, and remembers what reached it."""

import asyncio
import hashlib
import random
import time

import aiohttp
from aiohttp import web
import attrs
import fake_target

__all__ = ["Run", "SoakTarget", "body_of", "proof_of"]

HEADER_PREFIX = fake_target.HEADER_PREFIX
SLOTS = 8
UNWELL_SECONDS = 1.0


@attrs.define(kw_only=True)
class Run:
    """A request that a target began to work on.

    ``node`` is the one beside the target. ``ended_at`` is when the target
    answered, and ``broke_off`` tells that it gave no whole answer.
    """

    request_id: str
    at: float
    target: str
    zone: str
    body: bytes
    target_path: str
    node: str = ""
    ended_at: float = float("inf")
    broke_off: bool = False


def body_of(request_id: str) -> bytes:
    """Return the whole body of the answer to a request."""
    digest = hashlib.sha256(request_id.encode()).digest()
    return request_id.encode() * (1 + int.from_bytes(digest[:2]) % 300)


def proof_of(request_id: str) -> str:
    """Return the proof that goes with the answer to a request."""
    return hashlib.sha256(b"proof" + request_id.encode()).hexdigest()[:16]


class SoakTarget(fake_target.FakeTarget):
    """Answers with a body that only its own request can have.

    Of the answers, ``lost`` is the part whose connection ends instead,
    ``cut`` the part that breaks off, ``crossed`` the part that is
    followed by a second one, and ``failing`` the part with status 500. While
    its node is away, and ``UNWELL_SECONDS`` more, its health checks fail.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        node: str,
        ledger: list[Run],
        rng: random.Random,
    ) -> None:
        super().__init__(name, service)
        self.zone = zone
        self.node = node
        self.ledger = ledger
        self.delay = 0.02
        self.lost = 0.0
        self.cut = 0.0
        self.crossed = 0.0
        self.failing = 0.0
        self.busy = 0
        self.first_stated_at: float | None = None
        self._unwell_until = 0.0
        self._random = rng

    def state(self, **statements: str) -> None:
        """Have all answers from now on hold these headers."""
        self.statements = statements
        self.first_stated_at = None

    def inject_faults(
        self,
        lost: float = 0.0,
        cut: float = 0.0,
        crossed: float = 0.0,
        failing: float = 0.0,
        delay: float = 0.02,
        slots: int = SLOTS,
    ) -> None:
        """Misbehave in these parts from now on; by default in none."""
        self.lost, self.cut, self.crossed = lost, cut, crossed
        self.failing, self.delay, self.slots = failing, delay, slots

    async def send_heartbeat(self, control: str, state: str = "ready") -> int:
        try:
            return await super().send_heartbeat(control, state)
        except aiohttp.ClientError:
            self._unwell_until = time.monotonic() + UNWELL_SECONDS
            raise

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if request.path == "/health":
            is_well = time.monotonic() >= self._unwell_until
            return web.Response(
                status=200 if is_well else 503,
                headers={HEADER_PREFIX + "Instance-Id": self.name},
            )
        request_id = request.headers.get(HEADER_PREFIX + "Request-Id", "")
        headers = {
            HEADER_PREFIX + "Instance-Id": self.name,
            HEADER_PREFIX + "Request-Id": request_id,
        }
        expected = request.headers.get(HEADER_PREFIX + "Target-Instance")
        if expected not in (None, self.name):
            return web.Response(status=421, headers=headers)
        self.arrivals.append(time.monotonic())
        if self.statements and self.first_stated_at is None:
            self.first_stated_at = time.monotonic()
        headers.update(self.statements)
        body = await request.read()
        if self.busy >= self.slots:
            headers[HEADER_PREFIX + "Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        run = Run(
            request_id=request_id,
            at=time.monotonic(),
            target=self.name,
            zone=self.zone,
            body=body,
            target_path=request.raw_path,
            node=self.node,
            broke_off=True,
        )
        self.ledger.append(run)
        self.busy += 1
        try:
            await asyncio.sleep(self.delay)
            run.broke_off = False
        finally:
            self.busy -= 1
            run.ended_at = time.monotonic()
        return self._answer(request, run, headers)

    def _answer(
        self, request: web.Request, run: Run, headers: dict[str, str]
    ) -> web.StreamResponse:
        request_id = run.request_id
        transport = request.transport
        if transport is None:
            return web.Response(status=500)
        headers[HEADER_PREFIX + "Response-Signature"] = proof_of(request_id)
        body = body_of(request_id)
        draw = self._random.random()
        if draw < self.failing:
            return web.Response(status=500, headers=headers)
        draw -= self.failing
        run.broke_off = draw < self.lost + self.cut
        if draw < self.lost:
            transport.abort()
        elif draw < self.lost + self.cut:
            transport.write(_raw(headers, body)[: -len(body) // 2])
            transport.close()
        elif draw < self.lost + self.cut + self.crossed:
            # The second answer is left for the next request to find.
            transport.write(_raw(headers, body))
        return web.Response(body=body, headers=headers)


def _raw(headers: dict[str, str], body: bytes) -> bytes:
    lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}"]
    for name, value in headers.items():
        lines.append(f"{name}: {value}")
    return "\r\n".join([*lines, "", ""]).encode() + body
