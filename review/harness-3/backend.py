"""Stand-in of a backend: serves requests and sends heartbeats."""

import asyncio
import contextlib
import json
import time

import attrs
import http_wire

__all__ = ["Backend", "Run"]

PREFIX = "X-Balsamramp-"
HEARTBEAT_SECONDS = 1.5


@attrs.define
class Run:
    """A request that the backend ran."""

    request_id: str
    method: str
    path: str
    body: bytes
    began: float
    ended: float | None = None


class Backend:
    """One boot of a backend beside a machine's sidecar.

    A request takes ``work`` seconds. ``state`` is what heartbeats say, and
    health probes fail once it is not ``ready``.
    """

    def __init__(self, name: str, service: str, zone: str) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.version = "v1"
        self.slots = 18
        self.work = 0.02
        self.state = "ready"
        self.statements: dict[str, str] = {}
        self.keeps_bodies = False
        self.runs: list[Run] = []
        self.acks: list[tuple[float, str, int]] = []
        self.born = int(time.time() * 1000)
        self.address = ""
        self._sequence = 0
        self._control = ""
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def warm_up_left_ms(self) -> int:
        """Return for how long it stays cold."""
        return 0

    async def start(self, host: str, port: int, control: str) -> None:
        """Serve at an address; tell the sidecar at ``control`` of it."""
        self.address = f"{host}:{port}"
        self._control = control
        self._server = await asyncio.start_server(self._serve, host, port)
        self._beating = asyncio.create_task(self._beat())

    def stop(self) -> None:
        """End at once, like a crash."""
        if self._beating is not None:
            self._beating.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beat(self) -> None:
        while True:
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def send_heartbeat(self) -> int:
        """Send one heartbeat; return the status of the answer."""
        self._sequence += 1
        document = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "warmupLeftMs": self.warm_up_left_ms,
            "sequence": self._sequence,
            "born": self.born,
        }
        state = self.state
        status = await self.post("heartbeat", document)
        self.acks.append((time.monotonic(), state, status))
        return status

    async def post(self, call: str, document: dict[str, object]) -> int:
        """Make a call to the control address; return the status."""
        host, _, port = self._control.rpartition(":")
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                start = f"POST /v1/instances/{self.name}/{call} HTTP/1.1"
                headers = {
                    "Host": self._control,
                    "Content-Type": "application/json",
                }
                body = json.dumps(document).encode()
                writer.write(http_wire.encode(start, headers, body))
                answer = await http_wire.read_message(reader, True)
                return answer.status
            finally:
                writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await http_wire.read_message(
                    reader, keeps_body=self.keeps_bodies
                )
                writer.write(await self._answer(request))
                await writer.drain()
        except (EOFError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: http_wire.Message) -> bytes:
        headers = {
            PREFIX + "Instance-Id": self.name,
            "Keep-Alive": "timeout=10",
        }
        if request.path == "/health":
            if self.warm_up_left_ms:
                left = str(self.warm_up_left_ms)
                headers[PREFIX + "Warmup-Ms"] = left
            status = 200 if self.state == "ready" else 503
            return http_wire.encode(f"HTTP/1.1 {status} X", headers)
        request_id = request.header(PREFIX + "Request-Id")
        headers[PREFIX + "Request-Id"] = request_id
        headers.update(self.statements)
        if request.header(PREFIX + "Target-Instance") not in ("", self.name):
            headers[PREFIX + "Not-Executed"] = "1"
            return http_wire.encode("HTTP/1.1 421 X", headers)
        run = Run(
            request_id,
            request.method,
            request.path,
            request.body,
            time.monotonic(),
        )
        self.runs.append(run)
        await self.work_on(request)
        run.ended = time.monotonic()
        headers[PREFIX + "Response-Signature"] = f"{self.name}.{request_id}"
        body = f"answer to {request_id}\n".encode()
        return http_wire.encode("HTTP/1.1 200 OK", headers, body)

    async def work_on(self, request: http_wire.Message) -> None:
        """Take the time that a request takes."""
        await asyncio.sleep(self.work)
