"""A node that stops while callers read their answers.

Guards against answers that a target ran to its end and that are lost in a
planned stop: the node closes its connections once it has written the last
answer, the kernel still holds most of it, and what the caller sends meanwhile
resets the connection.
"""

import asyncio
import contextlib
import pathlib
import signal
import socket
import time

import fake_target
import loopback_proxy
import pytest
import sidecar_fleet

GRACE_SECONDS = 6
MEMORY_MB = 900
HOST = "caja.example"
WORK_SECONDS = 0.4
SIGNAL_AFTER_SECONDS = 0.2
# The last byte is read so long after the signal, within the grace.
READ_SECONDS = 3.2
FURTHER_AFTER_SECONDS = (0.9, 1.5, 2.6)
RECEIVE_BUFFER_BYTES = 32 * 1024
PROXY_DELAY_SECONDS = 0.02
PROXY_CHUNK_BYTES = 64 * 1024
KILOBYTE = 1000
MEBIBYTE = 1024 * 1024


class _SlowReader:
    """Sends requests ahead and reads their answers at an even pace."""

    def __init__(self, name: str, port: int, ahead: int) -> None:
        self.request_ids = [f"{name}-{number}" for number in range(ahead)]
        self.answered = 0
        self._told_to_close = False
        self._name = name
        self._port = port
        self._socket = socket.socket()
        self._received = bytearray()

    async def play(self, expected_bytes: int) -> None:
        """Send, read and go on sending until told to close."""
        loop = asyncio.get_running_loop()
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        await loop.sock_connect(self._socket, ("127.0.0.1", self._port))
        await self._send(*self.request_ids)
        further = asyncio.create_task(self._send_further())
        part = max(expected_bytes // 64, 1)
        ends_at = time.monotonic() + SIGNAL_AFTER_SECONDS + READ_SECONDS
        left = expected_bytes
        with contextlib.suppress(OSError):
            while self.answered < len(self.request_ids):
                data = await loop.sock_recv(self._socket, part)
                if not data:
                    break
                self._received += data
                self._take_answers()
                left = max(left - len(data), 1)
                seconds = max(ends_at - time.monotonic(), 0.0)
                await asyncio.sleep(seconds * len(data) / (left + len(data)))
        further.cancel()
        await asyncio.gather(further, return_exceptions=True)
        self._socket.close()

    async def _send(self, *request_ids: str) -> None:
        requests = "".join(
            f"GET /read/1 HTTP/1.1\r\nhost: {HOST}\r\n"
            f"X-Balsamramp-Request-Id: {request_id}\r\n"
            "X-Balsamramp-Request-Timeout-Ms: 20000\r\n\r\n"
            for request_id in request_ids
        )
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self._socket, requests.encode())

    async def _send_further(self) -> None:
        began = time.monotonic()
        for number, seconds in enumerate(FURTHER_AFTER_SECONDS):
            await asyncio.sleep(began + seconds - time.monotonic())
            if self._told_to_close:
                return
            with contextlib.suppress(OSError):
                await self._send(f"{self._name}-further-{number}")

    def _take_answers(self) -> None:
        while True:
            head_end = self._received.find(b"\r\n\r\n")
            if head_end < 0:
                return
            head = bytes(self._received[:head_end]).lower()
            if b"\r\nconnection: close" in head:
                self._told_to_close = True
            length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
            end = head_end + 4 + length
            if len(self._received) < end:
                return
            del self._received[:end]
            self.answered += 1


async def _answered(
    caller: sidecar_fleet.SidecarProcess,
) -> bool:
    reader = _SlowReader("probe", caller.ports["callers"], 1)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(5.0):
            await reader.play(1)
    return reader.answered == 1


async def _start_fleet(
    fleet: sidecar_fleet.SidecarFleet, body_bytes: int
) -> tuple[sidecar_fleet.SidecarProcess, list[fake_target.FakeTarget]]:
    """Start a node and two targets elsewhere; return them."""
    document = sidecar_fleet.configuration(3)
    for route in document["routes"].values():
        route["timeoutMs"] = 20_000
        route["targetLatencyMs"] = 8_000
    fleet.store.put("op", "config", document)
    targets = []
    for name, service in (("a", "catalogo"), ("b", "caja"), ("c", "caja")):
        target = fake_target.FakeTarget(f"i-{name}", service)
        target.slots = 40
        await target.start()
        targets.append(target)
        ports = sidecar_fleet.free_ports()
        await fleet.start_beside(
            target,
            name,
            f"z-{name}",
            ports,
            fleet.store.port,
            ports["stream"],
            memory=MEMORY_MB,
        )
    await fleet.wait_until_ready()
    caller = fleet.sidecars[0]
    await fleet.wait_until(lambda: _answered(caller))
    for target in targets:
        target.padding = b"x" * (body_bytes - len(b"answer "))
        target.delay = WORK_SECONDS
    return caller, targets[1:]


@pytest.mark.parametrize("through_proxy", [False, True])
@pytest.mark.parametrize("signals", [1, 2])
@pytest.mark.parametrize(
    ("body_bytes", "ahead"),
    [
        (9 * KILOBYTE, (1, 3, 9)),
        (540 * KILOBYTE, (1, 2, 3, 9)),
        (8 * MEBIBYTE, (1, 3)),
    ],
)
def test_no_answer_is_lost_to_a_caller_that_reads_until_the_stop_ends(
    tmp_path: pathlib.Path,
    body_bytes: int,
    ahead: tuple[int, ...],
    signals: int,
    through_proxy: bool,
) -> None:
    """Guards against a reset of a connection whose answers are still read."""

    async def scenario() -> None:
        async with sidecar_fleet.SidecarFleet(
            tmp_path, GRACE_SECONDS
        ) as fleet:
            caller, targets = await _start_fleet(fleet, body_bytes)
            port = caller.ports["callers"]
            proxy = loopback_proxy.LoopbackProxy(
                port, chunk_bytes=max(PROXY_CHUNK_BYTES, body_bytes // 8)
            )
            if through_proxy:
                await proxy.start()
                proxy.delay = PROXY_DELAY_SECONDS
                port = proxy.port
            readers = [
                _SlowReader(f"{number}-of-{count}", port, count)
                for count in ahead
                for number in range(2)
            ]
            playing = [
                asyncio.create_task(
                    reader.play(body_bytes * len(reader.request_ids))
                )
                for reader in readers
            ]
            await asyncio.sleep(SIGNAL_AFTER_SECONDS)
            for _ in range(signals):
                sidecar_fleet.terminate(caller)
                await asyncio.sleep(0.1)
            async with asyncio.timeout(20):
                await asyncio.gather(*playing)
                assert await caller.process.wait() == 0
            await proxy.stop()
            ran = {request_id for item in targets for request_id in item.runs}
            for reader in readers:
                unread = reader.request_ids[reader.answered :]
                assert not ran.intersection(unread)
            for reader in readers:
                assert reader.answered, reader.request_ids
            assert '"event":"unanswered"' not in caller.log()

    asyncio.run(scenario())


def test_caller_that_stops_reading_does_not_hold_the_stop_up(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a stop beyond its grace, and answers lost unseen."""

    async def scenario() -> None:
        async with sidecar_fleet.SidecarFleet(
            tmp_path, GRACE_SECONDS
        ) as fleet:
            caller, targets = await _start_fleet(fleet, 8 * MEBIBYTE)
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", caller.ports["callers"]
            )
            writer.write(
                f"GET /read/1 HTTP/1.1\r\nhost: {HOST}\r\n"
                "X-Balsamramp-Request-Id: unread\r\n"
                "X-Balsamramp-Request-Timeout-Ms: 20000\r\n\r\n".encode()
            )
            await reader.readexactly(1)
            writer.transport.pause_reading()
            began = time.monotonic()
            caller.process.send_signal(signal.SIGTERM)
            assert await caller.process.wait() == 0
            assert time.monotonic() - began < GRACE_SECONDS
            lines = [
                line
                for line in caller.log().splitlines()
                if '"event":"unanswered"' in line
            ]
            (line,) = lines
            assert '"request_id":"unread"' in line
            assert '"reason":"shutdown"' in line
            writer.close()

    asyncio.run(scenario())
