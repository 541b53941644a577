"""Crowds of clients that nobody controls, at real sidecars.

Each client keeps within the limits on a request, or is refused for it, but
what a process keeps for all of them together ends it: it runs out of memory
or descriptors. No check depends on the speed of the machine. The tests are in
one file so that they run one after the other.
"""

import asyncio
from collections import abc
import contextlib
import pathlib
import resource

import aiohttp
import crowd
import endless_target
import fake_target
import pytest
import sidecar_fleet

MEMORY_MB = 100
# The machines with the least memory, and the largest body that they may get.
LARGE_MEMORY_MB = 200
LARGEST_BODY_BYTES = 67_108_864
KIB_PER_MB = 1_000_000 / 1024
DESCRIPTORS = 600
# Of the descriptors of a machine, for files.
RESERVED_DESCRIPTORS = 200
SHELL_DESCRIPTORS = 256
TOLD_DESCRIPTORS = 4100
HEADER_MAX_BYTES = 16_384
BODY_MAX_BYTES = 65_536
BODY_BYTES = 60_000
PIECE_BYTES = 6_000
FAR_OVER_BYTES = 2_000_000
RESPONSE_BYTES = 50_000
AHEAD_BYTES = 250_000
# The timers would end a crowd on a slow machine before it has arrived.
LONG_MS = 600_000
ATTEMPTS = 10
ATTEMPT_SECONDS = 20.0
STEADY_LOOKS = 10
# A process at rest grows by a few KiB a second.
STEADY_KIB = 512

DOORS = {
    "routed": crowd.Door("callers", "/read/1"),
    "unrouted": crowd.Door("callers", "/nowhere/1"),
    "ready": crowd.Door("ready", "/v1/readiness"),
}


def _body_short_of_its_end(door: crowd.Door) -> list[bytes]:
    head = door.head("POST", f"content-length: {BODY_BYTES}") + b"\r\n"
    return [head + bytes(BODY_BYTES - 1)]


def _body_in_small_pieces(door: crowd.Door) -> list[bytes]:
    head = door.head("POST", f"content-length: {BODY_BYTES}") + b"\r\n"
    pieces = BODY_BYTES // PIECE_BYTES
    return [head] + [bytes(PIECE_BYTES - 1)] * pieces


def _body_in_chunks(door: crowd.Door) -> list[bytes]:
    head = door.head("POST", "transfer-encoding: chunked") + b"\r\n"
    chunk = b"%x\r\n%b\r\n" % (PIECE_BYTES // 10, bytes(PIECE_BYTES // 10))
    return [head] + [chunk * 10] * (BODY_BYTES // PIECE_BYTES)


def _body_far_over(door: crowd.Door) -> list[bytes]:
    head = door.head("POST", "content-length: 1000000000000") + b"\r\n"
    return [head + bytes(FAR_OVER_BYTES)]


def _chunks_far_over(door: crowd.Door) -> list[bytes]:
    head = door.head("POST", "transfer-encoding: chunked") + b"\r\n"
    chunk = b"%x\r\n%b\r\n" % (PIECE_BYTES, bytes(PIECE_BYTES))
    return [head + chunk * (FAR_OVER_BYTES // PIECE_BYTES)]


def _many_fields(door: crowd.Door) -> list[bytes]:
    head = door.head("POST", "content-length: 1")
    return [head + b"a:\r\n" * ((HEADER_MAX_BYTES - len(head)) // 4 - 1)]


def _many_fields_before_a_body(door: crowd.Door) -> list[bytes]:
    return [_many_fields(door)[0] + b"\r\n"]


def _requests_ahead(door: crowd.Door) -> list[bytes]:
    request = f"GET {door.path} HTTP/1.1\r\nHost: caja.example\r\n\r\n"
    return [request.encode() * (AHEAD_BYTES // len(request))]


def _bodies_ahead(door: crowd.Door) -> list[bytes]:
    head = door.head("POST", f"content-length: {BODY_BYTES}") + b"\r\n"
    return [(head + bytes(BODY_BYTES)) * 12]


def _nothing(door: crowd.Door) -> list[bytes]:
    return []


def _half_a_head(door: crowd.Door) -> list[bytes]:
    return [door.head("GET")]


def _byte_by_byte(door: crowd.Door) -> list[bytes]:
    head = door.head("POST", "content-length: 50") + b"\r\n"
    return [head[n : n + 1] for n in range(30)]


def _body_byte_by_byte(door: crowd.Door) -> list[bytes]:
    head = door.head("POST", "content-length: 50") + b"\r\n"
    return [head] + [b"x"] * 20


def _slow_readers(door: crowd.Door) -> list[bytes]:
    return [(door.head("GET") + b"\r\n") * 4] + [b""] * 10


BEHAVIOURS = {
    "body short of its end": crowd.Behaviour(1500, _body_short_of_its_end),
    "body in small pieces": crowd.Behaviour(1500, _body_in_small_pieces),
    "body in chunks": crowd.Behaviour(1500, _body_in_chunks),
    "body far over": crowd.Behaviour(100, _body_far_over),
    "chunks far over": crowd.Behaviour(100, _chunks_far_over),
    "many fields": crowd.Behaviour(200, _many_fields),
    "many fields, then a body": crowd.Behaviour(
        200, _many_fields_before_a_body
    ),
    "requests ahead": crowd.Behaviour(100, _requests_ahead),
    "bodies ahead": crowd.Behaviour(200, _bodies_ahead),
    "nothing": crowd.Behaviour(700, _nothing),
    "half a head": crowd.Behaviour(700, _half_a_head),
    "byte by byte": crowd.Behaviour(700, _byte_by_byte),
    "body byte by byte": crowd.Behaviour(700, _body_byte_by_byte),
    "slow readers": crowd.Behaviour(
        700, _slow_readers, read_bytes=10, receive_buffer=4096
    ),
}
# Those that need more connections than the lowered descriptors allow.
MANY_CONNECTIONS = frozenset(
    name for name, item in BEHAVIOURS.items() if item.clients == 700
)


@contextlib.contextmanager
def _descriptors(limit: int) -> abc.Iterator[None]:
    """Limit the descriptors of the processes that are started meanwhile."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


class _Watch:
    """Looks at a process from outside."""

    def __init__(self, sidecar: sidecar_fleet.SidecarProcess) -> None:
        self._sidecar = sidecar
        self._folder = pathlib.Path(f"/proc/{sidecar.process.pid}")
        self.descriptors_max = 0

    def peak_kib(self) -> int:
        """Return the most memory that the process had."""
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
        raise AssertionError("no VmHWM")

    async def until_steady(self) -> None:
        """Wait until what the process holds has stopped growing."""
        steady, peak_kib, descriptors = 0, 0, 0
        while steady < STEADY_LOOKS:
            await asyncio.sleep(0.1)
            assert self._sidecar.process.returncode is None
            count = len(list((self._folder / "fd").iterdir()))
            self.descriptors_max = max(self.descriptors_max, count)
            steady += 1
            if self.peak_kib() > peak_kib + STEADY_KIB or count > descriptors:
                steady, peak_kib, descriptors = 0, self.peak_kib(), count


async def _is_served(sidecar: sidecar_fleet.SidecarProcess) -> bool:
    """Return whether an ordinary client is served within its attempts."""
    headers = {
        "Host": "caja.example",
        "X-Balsamramp-Request-Id": "ordinary",
        "X-Balsamramp-Request-Timeout-Ms": "3000",
    }
    url = f"http://{sidecar.address('callers')}/read/ordinary"
    for _ in range(ATTEMPTS):
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                aiohttp.ClientSession() as session,
                asyncio.timeout(ATTEMPT_SECONDS),
                session.get(url, headers=headers) as answer,
            ):
                await answer.read()
                if answer.status == 200:
                    return True
        await asyncio.sleep(0.2)
    return False


async def _is_ready(sidecar: sidecar_fleet.SidecarProcess) -> bool:
    for _ in range(ATTEMPTS):
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(ATTEMPT_SECONDS):
                if await sidecar.ready() == 200:
                    return True
        await asyncio.sleep(0.2)
    return False


async def _start(
    fleet: sidecar_fleet.SidecarFleet,
    descriptors: int,
    hard_limit: int = 0,
    told: int = 0,
) -> sidecar_fleet.SidecarProcess:
    configuration = sidecar_fleet.configuration(3)
    configuration["limits"] = {
        "maxHeaderBytes": HEADER_MAX_BYTES,
        "maxBodyBytes": BODY_MAX_BYTES,
        "headerTimeoutMs": LONG_MS,
        "idleTimeoutMs": LONG_MS,
    }
    fleet.store.put("op", "config", configuration)
    target = fake_target.FakeTarget("i-one", "caja")
    target.padding = bytes(RESPONSE_BYTES)
    await target.start()
    ports = sidecar_fleet.free_ports()
    with _descriptors(descriptors):
        sidecar = await fleet.start_beside(
            target,
            "one",
            "z-a",
            ports,
            fleet.store.port,
            ports["stream"],
            memory=MEMORY_MB,
            descriptors=told,
        )
    if hard_limit:
        resource.prlimit(
            sidecar.process.pid,
            resource.RLIMIT_NOFILE,
            (descriptors, hard_limit),
        )
    await fleet.wait_until_ready()
    await fleet.wait_until(lambda: _is_served(sidecar))
    return sidecar


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("behaviour", BEHAVIOURS)
def test_process_outlives_a_crowd(
    behaviour: str, door: str, tmp_path: pathlib.Path
) -> None:
    many = behaviour in MANY_CONNECTIONS
    descriptors = DESCRIPTORS if many else 4 * DESCRIPTORS

    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path) as fleet:
            sidecar = await _start(fleet, descriptors)
            watch = _Watch(sidecar)
            at_rest_kib = watch.peak_kib()
            port = sidecar.ports[DOORS[door].port]
            async with crowd.Crowd(
                DOORS[door], BEHAVIOURS[behaviour], port
            ) as clients:
                await clients.press()
                await watch.until_steady()
                served = await _is_served(sidecar)
                ready = await _is_ready(sidecar)
                await watch.until_steady()
            seen = (
                f"peak of {watch.peak_kib()} KiB, at rest {at_rest_kib};"
                f" {watch.descriptors_max} descriptors; {served=} {ready=}"
            )
            print(seen)
            assert sidecar.process.returncode is None, seen
            assert watch.peak_kib() < MEMORY_MB * KIB_PER_MB, seen
            assert (
                watch.descriptors_max < descriptors - RESERVED_DESCRIPTORS
            ), seen
            assert served and ready, seen

    asyncio.run(main())


@pytest.mark.parametrize("hard_limit", [SHELL_DESCRIPTORS, TOLD_DESCRIPTORS])
def test_more_descriptors_in_settings_than_the_process_has(
    hard_limit: int, tmp_path: pathlib.Path
) -> None:
    """Guards against a node that accepts more than it has descriptors for."""
    behaviour = BEHAVIOURS["half a head"]

    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path) as fleet:
            sidecar = await _start(
                fleet, SHELL_DESCRIPTORS, hard_limit, TOLD_DESCRIPTORS
            )
            port = sidecar.ports["callers"]
            async with crowd.Crowd(
                DOORS["routed"], behaviour, port
            ) as clients:
                await clients.press()
                await _Watch(sidecar).until_steady()
                served = await _is_served(sidecar)
                ready = await _is_ready(sidecar)
            seen = f"{served=} {ready=}"
            assert sidecar.process.returncode is None, seen
            assert served and ready, seen

    asyncio.run(main())


@pytest.mark.parametrize("place", ["own target", "other node"])
@pytest.mark.parametrize("size", [10_000_000, LARGEST_BODY_BYTES])
def test_one_large_request_is_served_in_calm(
    size: int, place: str, tmp_path: pathlib.Path
) -> None:
    """Guards against limits for all that refuse one request within its own."""
    headers = {
        "Host": "caja.example",
        "X-Balsamramp-Request-Id": "large",
        "X-Balsamramp-Request-Timeout-Ms": "60000",
    }

    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path) as fleet:
            configuration = sidecar_fleet.configuration(3)
            configuration["limits"]["maxBodyBytes"] = LARGEST_BODY_BYTES
            configuration["routes"]["read"]["timeoutMs"] = 60_000
            fleet.store.put("op", "config", configuration)
            target = endless_target.EndlessTarget("i-one", "caja")
            await target.start()
            ports = sidecar_fleet.free_ports()
            sidecar = await fleet.start_beside(
                target,
                "one",
                "z-a",
                ports,
                fleet.store.port,
                ports["stream"],
                memory=LARGE_MEMORY_MB,
            )
            if place == "other node":
                sidecar = await fleet.start("two", "catalogo")
            await fleet.wait_until_ready()
            await fleet.wait_until(lambda: _is_served(sidecar))
            url = f"http://{sidecar.address('callers')}/read/large"
            async with (
                aiohttp.ClientSession() as session,
                session.post(url, data=bytes(size), headers=headers) as answer,
            ):
                text = await answer.text()
                peaks = [_Watch(item).peak_kib() for item in fleet.sidecars]
                seen = f"{answer.status} {text!r}, peaks of {peaks} KiB"
            print(seen)
            assert answer.status == 200, seen
            assert max(peaks) < LARGE_MEMORY_MB * KIB_PER_MB, seen

    asyncio.run(main())
