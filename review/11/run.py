"""A completed rollout, a drill of the store, and a kill of all processes."""

import asyncio
import collections
import os
import pathlib
import signal
import sys
import time

import fleet

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ASKED = "catalogo"
OLD, NEW = "v1", "v2"
# The first three have the old version, the next three the new one.
SERVICES = [ASKED] * 6 + ["caja"] * 3
OLD_COUNT = 3
REQUESTS_PER_SECOND = 250
WORK_SECONDS = 0.02
TIMEOUT_MS = 1200
REQUEST_TIMEOUT_MS = 2500
# The site's figures.
ROLLOUT_SECONDS = 16
RECOVERY_SECONDS = 15.0
DOWN_SECONDS = 1.0
COMPLETED_SECONDS = 25.0
# The copy is some seconds old, and nothing was written since by anyone.
SETTLE_SECONDS = 6.0
COPY_AGE_SECONDS = 3.0
AWAY_SECONDS = 1.0
AFTER_DRILL_SECONDS = 10.0
JUDGED_SECONDS = 15.0


async def press(
    cluster: fleet.Fleet, ended: asyncio.Event, seen: list[fleet.Reply]
) -> None:
    """Send reads to the machines of the other service until the end."""
    machines = cluster.machines[-3:]
    number = 0
    async with asyncio.TaskGroup() as group:
        while not ended.is_set():
            machine = machines[number % len(machines)]
            group.create_task(_send(machine, f"read-{number}", seen))
            number += 1
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)


async def _send(
    machine: fleet.Machine, request_id: str, seen: list[fleet.Reply]
) -> None:
    request = ("GET", f"{ASKED}.example", "/list/")
    seen.append(
        await fleet.send(machine, request_id, request, REQUEST_TIMEOUT_MS)
    )


async def until_completed(cluster: fleet.Fleet) -> None:
    """Wait for the status that the system writes; raises TimeoutError."""
    end = time.monotonic() + COMPLETED_SECONDS
    while time.monotonic() < end:
        status = cluster.store.read("status", f"rollout/{ASKED}") or {}
        if status.get("state") == "completed":
            return
        await asyncio.sleep(0.1)
    raise TimeoutError(f"the rollout isn't completed: {status}")


async def drill(cluster: fleet.Fleet, lines: list[str]) -> None:
    """Let the store come back from a copy some seconds old."""
    copy = cluster.store.copy()
    await asyncio.sleep(COPY_AGE_SECONDS)
    lost = cluster.store.version - copy[1]
    cluster.store.go_away()
    await asyncio.sleep(AWAY_SECONDS)
    cluster.store.come_back(copy)
    lines.append(f"era {cluster.store.era}, writes lost by the drill: {lost}")


async def play(cluster: fleet.Fleet, lines: list[str]) -> int:
    """Play the case; return the exit code."""
    configuration = {
        "version": 7,
        "routes": {
            "list": fleet.route(ASKED, "/list/", "safe", TIMEOUT_MS),
        },
        "services": {"catalogo": fleet.service(), "caja": fleet.service()},
        "limits": fleet.LIMITS,
    }
    cluster.store.era = 1
    await cluster.start(SERVICES[:OLD_COUNT] + SERVICES[6:], configuration)
    for machine in cluster.machines:
        machine.backend.work = WORK_SECONDS
    await asyncio.sleep(3.0)
    added = []
    for number, zone in enumerate(fleet.ZONES):
        machine = await cluster.add(f"sidecar-new-{number}", ASKED, zone)
        machine.backend.version = NEW
        machine.backend.work = WORK_SECONDS
        added.append(machine)
    cluster.machines = (
        cluster.machines[:OLD_COUNT] + added + cluster.machines[OLD_COUNT:6]
    )
    await cluster.wait_ready(added)
    cluster.store.put(
        "op",
        f"rollout/{ASKED}",
        {"service": ASKED, "to": NEW, "durationS": ROLLOUT_SECONDS},
    )
    seen: list[fleet.Reply] = []
    ended = asyncio.Event()
    pressing = asyncio.create_task(press(cluster, ended, seen))
    await until_completed(cluster)
    # As the platform does at this state.
    for machine in cluster.machines[:OLD_COUNT]:
        machine.backend.stop()
    await asyncio.sleep(SETTLE_SECONDS)
    if TROUBLE:
        await drill(cluster, lines)
    else:
        await asyncio.sleep(COPY_AGE_SECONDS + AWAY_SECONDS)
    await asyncio.sleep(AFTER_DRILL_SECONDS)
    killed = time.monotonic()
    for machine in cluster.machines:
        machine.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_SECONDS)
    for machine in cluster.machines:
        assert machine.process is not None
        machine.process.wait()
        cluster.start_sidecar(machine)
    await cluster.wait_ready(cluster.machines)
    back = time.monotonic()
    await asyncio.sleep(RECOVERY_SECONDS + JUDGED_SECONDS)
    ended.set()
    await pressing
    return judge(cluster, seen, killed, back, lines)


def judge(
    cluster: fleet.Fleet,
    seen: list[fleet.Reply],
    killed: float,
    back: float,
    lines: list[str],
) -> int:
    """Apply the rule; return the exit code."""
    by_second: dict[int, collections.Counter[str]] = {}
    before: collections.Counter[bool] = collections.Counter()
    after: collections.Counter[bool] = collections.Counter()
    for reply in seen:
        served = reply.outcome == "200"
        second = int(reply.sent - killed)
        counts = by_second.setdefault(second, collections.Counter())
        counts[reply.outcome] += 1
        if reply.ended < killed:
            before[served] += 1
        if reply.sent > back + RECOVERY_SECONDS:
            after[served] += 1
    for second in sorted(by_second):
        lines.append(f"{second} s after the kill: {dict(by_second[second])}")
    status = cluster.store.read("status", f"rollout/{ASKED}")
    lines.append(f"status of the rollout: {status}")
    stored = []
    for _, _, key in cluster.store.rows:
        if key.startswith("outcomes/"):
            stored.append(key)
    lines.append(f"outcomes that the system has stored: {stored}")
    lines.append(f"served before the kill: {before[True]} of {before.total()}")
    lines.append(
        f"served of those sent over {RECOVERY_SECONDS:.0f} s after all"
        f" sidecars were ready: {after[True]} of {after.total()}"
    )
    if before[True] * 4 < before.total() or not after:
        lines.append("the case couldn't run: too little was served before")
        return 2
    broken = after[True] * 4 < after.total()
    lines.append("RECOVER is broken" if broken else "RECOVER holds")
    return 1 if broken else 0


def main() -> int:
    cluster = fleet.Fleet()
    lines = [f"TROUBLE={int(TROUBLE)}"]
    try:
        code = asyncio.run(play(cluster, lines))
    except (OSError, TimeoutError) as error:
        lines.append(f"the case couldn't run: {error!r}")
        code = 2
    finally:
        cluster.stop()
    record = pathlib.Path(__file__).with_name("record.txt")
    record.write_text("\n".join(lines) + "\n")
    print("\n".join(lines[-5:]))
    return code


if __name__ == "__main__":
    sys.exit(main())
