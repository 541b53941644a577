"""Requesters that read slowly lose answers that their backends gave."""

import asyncio
import contextlib
import pathlib
import socket
import time

import attrs
import configurations
import deployment_standin

HOST = "reservas.example"
ANSWER_BYTES = 2 * 1024 * 1024
ANSWERS_AHEAD = 4
REQUESTERS = 16
TIMEOUT_MS = 30000
SLOW_BYTES_PER_SECOND = 1024 * 1024
PART_BYTES = 64 * 1024
LOST_MAX = 3


@attrs.define(kw_only=True)
class Reading:
    """What one requester received of its pipelined requests."""

    request_ids: list[str]
    answered: int = 0
    ended: str = ""


async def case(fleet: deployment_standin.Deployment, has_trouble: bool) -> str:
    """Download on kept connections, a few requests ahead."""
    pack = configurations.route(
        HOST,
        "/pack/",
        "reservas",
        routeType="download",
        timeoutMs=TIMEOUT_MS,
        targetLatencyMs=5000,
    )
    fleet.store.put(
        "op",
        "config",
        configurations.configuration(3, ["reservas", "catalogo"], pack=pack),
    )
    machine = await fleet.add_machine("z-a", "catalogo")
    for zone in ("z-a", "z-b", "z-c", "z-a"):
        await fleet.add_machine(zone, "reservas")
    await fleet.wait_until_ready()
    await fleet.warm_up(machine, HOST, "/pack/")
    for item in fleet.machines:
        item.backend.body = b"y" * ANSWER_BYTES
    rate = SLOW_BYTES_PER_SECOND if has_trouble else 0
    readings = await asyncio.gather(
        *(_download(fleet, machine, rate) for _ in range(REQUESTERS))
    )
    done = {run.request_id for run in fleet.runs if run.outcome == "done"}
    lost = []
    for reading in readings:
        if not reading.ended:
            continue
        # The answer that was cut began; those behind it did not.
        for request_id in reading.request_ids[reading.answered + 1 :]:
            if request_id in done:
                lost.append(request_id)
    if len(lost) > LOST_MAX:
        return (
            f"LOST: {len(lost)} requests ran to their end at sound backends"
            " and their kept connections ended before their answers began"
        )
    return ""


async def _download(
    fleet: deployment_standin.Deployment,
    machine: deployment_standin.Machine,
    bytes_per_second: int,
) -> Reading:
    """Send some requests ahead and read their answers."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PART_BYTES)
    await loop.sock_connect(sock, (machine.ip, machine.ports["callers"]))
    reading = Reading(request_ids=[])
    requests = b""
    for _ in range(ANSWERS_AHEAD):
        request_id, data = fleet.encode_request(
            "GET", HOST, "/pack/1", TIMEOUT_MS
        )
        reading.request_ids.append(request_id)
        requests += data
        fleet.record.write(f"sent {request_id} GET {HOST}/pack/1")
    received = bytearray()
    until = time.monotonic() + TIMEOUT_MS / 1000
    try:
        await loop.sock_sendall(sock, requests)
        while reading.answered < ANSWERS_AHEAD:
            async with asyncio.timeout(until - time.monotonic()):
                data = await loop.sock_recv(sock, PART_BYTES)
            if not data:
                reading.ended = "closed"
                break
            received += data
            _take_answers(fleet, reading, received)
            if bytes_per_second:
                await asyncio.sleep(len(data) / bytes_per_second)
    except (OSError, TimeoutError) as error:
        reading.ended = repr(error)
    finally:
        with contextlib.suppress(OSError):
            sock.close()
    if reading.ended:
        fleet.record.write(
            f"connection of {reading.request_ids[0]} ends ({reading.ended})"
            f" after {reading.answered} of {ANSWERS_AHEAD} answers"
        )
    return reading


def _take_answers(
    fleet: deployment_standin.Deployment,
    reading: Reading,
    received: bytearray,
) -> None:
    """Drop the whole answers from what was received."""
    while True:
        head_end = received.find(b"\r\n\r\n")
        if head_end < 0:
            return
        head = bytes(received[:head_end]).lower()
        length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
        end = head_end + 4 + length
        if len(received) < end:
            return
        del received[:end]
        request_id = reading.request_ids[reading.answered]
        status = head.split(b" ")[1].decode()
        fleet.record.write(f"answered {request_id}: {status}, {length} bytes")
        reading.answered += 1


if __name__ == "__main__":
    deployment_standin.run_case(pathlib.Path(__file__).parent, case)
