"""A stop signal cuts answers that requesters are still reading."""

import asyncio
import contextlib
import pathlib
import signal
import time

import configurations
import deployment_standin
import reader_standin

HOST = "reservas.example"
ANSWER_BYTES = 540_000
ANSWERS_AHEAD = 2
REQUESTERS = 8
TIMEOUT_MS = 6500
BYTES_PER_SECOND = 256 * 1024
WORK_SECONDS = 0.5
# The requesters have sent their requests by then.
SIGNAL_AFTER_SECONDS = 0.2
FURTHER_AFTER_SECONDS = 1.5
LOST_MAX = 3


async def case(fleet: deployment_standin.Deployment, has_trouble: bool) -> str:
    """Stop the machine that took the requests, as planned work."""
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
    for zone in ("z-b", "z-c"):
        await fleet.add_machine(zone, "reservas")
    await fleet.wait_until_ready()
    await fleet.warm_up(machine, HOST, "/pack/")
    for item in fleet.machines:
        item.backend.body = b"y" * ANSWER_BYTES
        item.backend.work = WORK_SECONDS
    readers = [
        reader_standin.PipeliningReader(
            fleet, machine, HOST, "/pack/1", TIMEOUT_MS, BYTES_PER_SECOND
        )
        for _ in range(REQUESTERS)
    ]
    reading = [asyncio.ensure_future(_read(reader)) for reader in readers]
    await asyncio.sleep(SIGNAL_AFTER_SECONDS)
    signalled_at = time.monotonic()
    if has_trouble:
        fleet.signal(machine, signal.SIGTERM)
    await asyncio.gather(*reading)
    done = {run.request_id for run in fleet.runs if run.outcome == "done"}
    lost = []
    for reader in readers:
        fleet.record.write(
            f"connection of {reader.request_ids[0]} ended"
            f" ({reader.ended or 'read to the end'}) after"
            f" {reader.answered} whole answers,"
            f" {reader.ended_at - signalled_at:.1f} s after the signal"
        )
        for request_id in reader.request_ids[:ANSWERS_AHEAD]:
            position = reader.request_ids.index(request_id)
            if position >= reader.answered and request_id in done:
                lost.append(request_id)
    if len(lost) > LOST_MAX:
        return (
            f"LOST: {len(lost)} requests ran to their end at sound backends"
            " and their connections ended without their whole answers"
        )
    return ""


async def _read(reader: reader_standin.PipeliningReader) -> None:
    """Send two requests ahead, and a third while the first is read."""
    await reader.open()
    await reader.send(ANSWERS_AHEAD)
    further = asyncio.ensure_future(_send_further(reader))
    await reader.read_answers(ANSWERS_AHEAD)
    further.cancel()
    await asyncio.gather(further, return_exceptions=True)
    reader.close()


async def _send_further(reader: reader_standin.PipeliningReader) -> None:
    await asyncio.sleep(FURTHER_AFTER_SECONDS)
    if reader.told_to_close or reader.ended:
        return
    with contextlib.suppress(OSError):
        await reader.send(1)


if __name__ == "__main__":
    deployment_standin.run_case(pathlib.Path(__file__).parent, case)
