"""Target stand-in: a back end as the platform describes it."""

import asyncio
import time

import aiohttp
from aiohttp import web

__all__ = ["FakeTarget"]

HEADER_PREFIX = "X-Balsamramp-"
BODY_MAX_BYTES = 16 * 1024 * 1024


class FakeTarget:
    """Answers requests, and tells its node of itself on ``send_heartbeat``.

    ``runs`` lists the ids of the requests that it ran. ``delay`` is how
    long one takes, in seconds, ``status`` what it answers, and ``padding``
    what it adds to the body. ``statements`` are headers of all its answers,
    ``arrivals`` the times at which requests came, and ``health_status`` the
    status of its health checks.
    """

    def __init__(self, name: str, service: str, version: str = "v1") -> None:
        self.name = name
        self.service = service
        self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.delay = 0.0
        self.status = 200
        self.health_status = 200
        self.padding = b""
        self.statements: dict[str, str] = {}
        self.arrivals: list[float] = []
        self.slots = 8
        self.runs: list[str] = []
        self.seen: list[web.Request] = []
        self.drops_cancelled = False
        self.host = "127.0.0.1"
        self.zone = "z-a"
        self.port = 0
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on ``port`` of ``host``, or on a free one."""
        app = web.Application(client_max_size=BODY_MAX_BYTES)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            app,
            shutdown_timeout=0.1,
            handler_cancellation=self.drops_cancelled,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.host, port, reuse_address=True)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """End at once."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def send_heartbeat(self, control: str, state: str = "ready") -> int:
        """Send one heartbeat; return the status of the answer."""
        self.sequence += 1
        document = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return await self.post(control, "heartbeat", document)

    async def post(self, control: str, call: str, document: object) -> int:
        """Make a call of the registry; return the status."""
        url = f"http://{control}/v1/instances/{self.name}/{call}"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json=document) as answer,
        ):
            await answer.read()
            return answer.status

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if request.path == "/health":
            return web.Response(
                status=self.health_status,
                headers={HEADER_PREFIX + "Instance-Id": self.name},
            )
        expected = request.headers.get(HEADER_PREFIX + "Target-Instance")
        request_id = request.headers.get(HEADER_PREFIX + "Request-Id", "")
        headers = {
            HEADER_PREFIX + "Instance-Id": self.name,
            HEADER_PREFIX + "Request-Id": request_id,
        }
        if expected not in (None, self.name):
            return web.Response(status=421, headers=headers)
        body = await request.read()
        self.arrivals.append(time.monotonic())
        self.runs.append(request_id)
        self.seen.append(request)
        await asyncio.sleep(self.delay)
        headers[HEADER_PREFIX + "Response-Signature"] = "3e1b.07"
        headers.update(self.statements)
        return web.Response(
            status=self.status,
            body=b"answer " + body + self.padding,
            headers=headers,
        )
