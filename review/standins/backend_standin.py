"""Stand-in of a backend: its requests, its health and its heartbeats."""

import asyncio
import contextlib
import json
import time

import attrs
import http_standin

__all__ = ["BackendStandin", "Run"]

PREFIX = "x-balsamramp-"
HEARTBEAT_SECONDS = 1.5
HEARTBEAT_TIMEOUT_SECONDS = 1.0


@attrs.define(kw_only=True)
class Run:
    """One run of a request; ``ended_at`` is None while it is at work."""

    request_id: str
    path: str
    backend: str
    service: str
    began_at: float
    ended_at: float | None = None
    outcome: str = ""


class BackendStandin:
    """Runs ``slots`` requests at a time and queues up to ``queue_max``.

    A request that closes its connection is dropped. ``work`` is the time
    that a request takes, in seconds, and ``runs`` lists what it ran.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        runs: list[Run],
        slots: int = 18,
        queue_max: int = 72,
        version: str = "v1",
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = slots
        self.work = 0.05
        self.body = b"whole answer"
        self.runs = runs
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.acks: list[tuple[float, str, int]] = []
        self._queue_max = queue_max
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._sequence = 0
        self._address = ""
        self._control = ""
        self._server = http_standin.Server(self._handle)
        self._beating: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int, control: str) -> None:
        """Listen, and send heartbeats to the address ``control``."""
        await self._server.start(host, port)
        self._address = f"{host}:{port}"
        self._control = control
        self._beating = asyncio.ensure_future(self._beat())

    async def stop(self) -> None:
        """End at once."""
        if self._beating is not None:
            self._beating.cancel()
        await self._server.stop()

    async def _beat(self) -> None:
        while True:
            with contextlib.suppress(OSError, TimeoutError, EOFError):
                await asyncio.wait_for(
                    self.send_heartbeat(), HEARTBEAT_TIMEOUT_SECONDS
                )
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def send_heartbeat(self) -> None:
        """Send one heartbeat and note its acknowledgement."""
        self._sequence += 1
        state = self.state
        body = json.dumps(
            {
                "service": self.service,
                "address": self._address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": state,
                "warmupLeftMs": 0,
                "sequence": self._sequence,
                "born": self.born,
            }
        ).encode()
        start = f"POST /v1/instances/{self.name}/heartbeat HTTP/1.1"
        host, _, port = self._control.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                http_standin.encode(
                    start,
                    {
                        "host": self._control,
                        "content-type": "application/json",
                    },
                    body,
                )
            )
            answer = await http_standin.read_message(reader)
        finally:
            writer.close()
        if answer is not None:
            self.acks.append((time.monotonic(), state, answer.status))

    async def _handle(self, request: http_standin.Message) -> bytes:
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            return http_standin.encode(
                f"HTTP/1.1 {status} x", {PREFIX + "instance-id": self.name}
            )
        request_id = request.headers.get(PREFIX + "request-id", "")
        headers = {
            PREFIX + "request-id": request_id,
            PREFIX + "instance-id": self.name,
        }
        expected = request.headers.get(PREFIX + "target-instance")
        if expected not in (None, self.name):
            return http_standin.encode("HTTP/1.1 421 x", headers)
        headers[PREFIX + "not-executed"] = "1"
        if not request_id:
            return http_standin.encode("HTTP/1.1 400 x", headers)
        if self._free.locked() and self._waiting >= self._queue_max:
            return http_standin.encode("HTTP/1.1 503 x", headers)
        left = float(request.headers.get(PREFIX + "request-timeout-ms", 5000))
        until = time.monotonic() + left / 1000
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            if time.monotonic() >= until:
                return http_standin.encode("HTTP/1.1 503 x", headers)
            del headers[PREFIX + "not-executed"]
            return await self._run(request, headers)
        finally:
            self._free.release()

    async def _run(
        self, request: http_standin.Message, headers: dict[str, str]
    ) -> bytes:
        run = Run(
            request_id=headers[PREFIX + "request-id"],
            path=request.target,
            backend=self.name,
            service=self.service,
            began_at=time.monotonic(),
        )
        self.runs.append(run)
        try:
            await asyncio.sleep(self.work)
            run.outcome = "done"
        except asyncio.CancelledError:
            run.outcome = "dropped"
            raise
        finally:
            run.ended_at = time.monotonic()
        headers[PREFIX + "response-signature"] = f"{run.request_id}.1"
        body = b"" if request.method == "HEAD" else self.body
        return http_standin.encode("HTTP/1.1 200 x", headers, body)
