"""Stand-in of a backend beside its sidecar."""

import asyncio
import json
import time

import http1

__all__ = ["HEARTBEAT_SECONDS", "Backend", "header"]

HEARTBEAT_SECONDS = 1.5
ACK_SECONDS = 1.0
PREFIX = "x-balsamramp-"


def header(name: str) -> str:
    """Return the full name of one of the platform's headers."""
    return PREFIX + name


class Backend:
    """Runs requests and announces itself to the sidecar of its machine.

    ``runs`` lists the identifiers of the requests that it ran, with the
    time of each, and ``calls`` what it told the sidecar. Until
    ``unhealthy_until`` its health responses say that it fails or leaves.
    """

    def __init__(
        self,
        name: str,
        service: str,
        version: str,
        address: tuple[str, int],
        control: tuple[str, int],
        zone: str,
        slots: int = 18,
    ) -> None:
        self.name = name
        self.version = version
        self.work_seconds = 0.005
        self.unhealthy_until = 0.0
        self.failed_probes = 0
        self.calls: list[tuple[float, str, str, int]] = []
        self.runs: list[tuple[float, str]] = []
        self._service = service
        self._address = address
        self._control = control
        self._zone = zone
        self._slots = slots
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._server = http1.Server(self._handle)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and announce the backend from now on."""
        self._born = int(time.time() * 1000)
        await self._server.start(*self._address)
        self._task = asyncio.create_task(self._announce())

    def stop(self) -> None:
        """End at once, without a word."""
        self._server.stop()
        if self._task is not None:
            self._task.cancel()

    def stop_announcing(self) -> None:
        """Send no further heartbeats."""
        if self._task is not None:
            self._task.cancel()

    async def _announce(self) -> None:
        while True:
            await self.tell("heartbeat", "ready")
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def tell(self, call: str, state: str) -> int:
        """Make a call to the sidecar; return the status, 0 without an ack."""
        try:
            async with asyncio.timeout(ACK_SECONDS):
                status = await self.deliver(call, self.compose(state))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        self.calls.append((time.monotonic(), call, state, status))
        return status

    def compose(self, state: str) -> bytes:
        """Return the body of the next call to the sidecar."""
        self._sequence += 1
        host, port = self._address
        document = {
            "service": self._service,
            "address": f"{host}:{port}",
            "zone": self._zone,
            "version": self.version,
            "slots": self._slots,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        return json.dumps(document).encode()

    async def deliver(self, call: str, body: bytes) -> int:
        """Bring a call to the sidecar and return the status of the answer."""
        answer = await http1.exchange(
            self._control,
            "POST",
            f"/v1/instances/{self.name}/{call}",
            {"host": "control", "content-type": "application/json"},
            body,
        )
        return answer.status

    async def _handle(self, request: http1.Request) -> http1.Response:
        if request.path == "/health":
            if time.monotonic() < self.unhealthy_until:
                self.failed_probes += 1
                return http1.Response(503, {header("instance-id"): self.name})
            return http1.Response(200, {header("instance-id"): self.name})
        request_id = request.headers.get(header("request-id"), "")
        headers = {
            header("request-id"): request_id,
            header("instance-id"): self.name,
        }
        expected = request.headers.get(header("target-instance"), self.name)
        if expected != self.name:
            return http1.Response(421, headers)
        self.runs.append((time.monotonic(), request_id))
        await asyncio.sleep(self.work_seconds)
        headers[header("response-signature")] = "3e1b.07.5a2.600.0.c9f2a4d1"
        return http1.Response(200, headers, b"answer of " + self.name.encode())
