"""Large bodies that callers of many nodes send to the targets of one.

Each node keeps within its memory for its own callers, so the sum reaches the
node beside the target. Checked is what does not depend on the speed of the
machine: its memory, that it lives, and that an ordinary request is served.
"""

import asyncio
import contextlib
import pathlib
import typing

import aiohttp
import sidecar_fleet

HOST = "caja.example"
HEADER_PREFIX = "X-Balsamramp-"
MEMORY_MB = 150
MEGABYTE = 1_000_000
SENDERS = 6
CALLERS_EACH = 4
BODY_BYTES = 5 * MEGABYTE
UPLOADS_EACH = 6
WATCH_SECONDS = 0.02
REQUEST_SECONDS = 10.0
REQUEST_TIMEOUT_MS = 3000
NOT_RUN = (408, 421, 429, 503)


def _resident_bytes(sidecar: sidecar_fleet.SidecarProcess) -> int:
    path = pathlib.Path(f"/proc/{sidecar.process.pid}/statm")
    return int(path.read_text().split()[1]) * 4096


async def _watch(
    sidecars: list[sidecar_fleet.SidecarProcess], most: dict[str, int]
) -> None:
    while True:
        for sidecar in sidecars:
            name = sidecar.target.name
            most[name] = max(most.get(name, 0), _resident_bytes(sidecar))
        await asyncio.sleep(WATCH_SECONDS)


async def _send(
    sidecar: sidecar_fleet.SidecarProcess, request_id: str, size: int
) -> int:
    """Return the status of a payment, 0 without an answer."""
    headers = {
        "Host": HOST,
        HEADER_PREFIX + "Request-Id": request_id,
        HEADER_PREFIX + "Request-Timeout-Ms": str(REQUEST_TIMEOUT_MS),
    }
    url = f"http://{sidecar.address('callers')}/pay/1"
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with (
            asyncio.timeout(REQUEST_SECONDS),
            aiohttp.ClientSession() as session,
            session.post(url, data=bytes(size), headers=headers) as answer,
        ):
            await answer.read()
            return answer.status
    return 0


def _configuration() -> dict[str, typing.Any]:
    document = sidecar_fleet.configuration(3)
    document["limits"]["maxBodyBytes"] = 2 * BODY_BYTES
    return document


def test_node_beside_a_target_keeps_within_its_memory(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against the sum of what all other nodes let in."""

    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path) as fleet:
            fleet.store.put("op", "config", _configuration())
            served = await _start(fleet, "served", "caja")
            senders = [
                await _start(fleet, f"sender-{number}", "catalogo")
                for number in range(SENDERS)
            ]
            await fleet.wait_until_ready()
            served.target.delay = 0.1
            most: dict[str, int] = {}
            watching = asyncio.create_task(_watch(fleet.sidecars, most))
            statuses: dict[str, int] = {}

            async def upload(number: int) -> None:
                sender = senders[number % len(senders)]
                for count in range(UPLOADS_EACH):
                    request_id = f"u{number}-{count}"
                    statuses[request_id] = await _send(
                        sender, request_id, BODY_BYTES
                    )

            async with asyncio.TaskGroup() as group:
                for number in range(SENDERS * CALLERS_EACH):
                    group.create_task(upload(number))
            watching.cancel()
            for sidecar in fleet.sidecars:
                assert sidecar.process.returncode is None
            assert max(most.values()) < MEMORY_MB * MEGABYTE, most
            for request_id, status in statuses.items():
                if status in NOT_RUN:
                    assert request_id not in served.target.runs
            assert len(set(served.target.runs)) == len(served.target.runs)
            assert 200 in statuses.values()
            assert await _send(senders[0], "last", 100) == 200

    asyncio.run(main())


async def _start(
    fleet: sidecar_fleet.SidecarFleet, name: str, service: str
) -> sidecar_fleet.SidecarProcess:
    target = sidecar_fleet.fake_target.FakeTarget(f"i-{name}", service)
    await target.start()
    ports = sidecar_fleet.free_ports()
    return await fleet.start_beside(
        target,
        name,
        "z-a",
        ports,
        fleet.store.port,
        ports["stream"],
        memory=MEMORY_MB,
    )
