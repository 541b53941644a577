"""The parts of a case that has a rollout and then a final fault."""

import asyncio
from collections import abc
import time

import callers
import case

__all__ = ["RolloutCase"]

# Share of the planned time within which an order has to be reported.
COMPLETED_SHARE_MAX = 1.25
SETTLE_SECONDS = 4.0
RATE = 200.0
DOWN_SECONDS = 1.0
# ``recoveryS`` of the sites, and RECOVER's share.
RECOVERY_SECONDS = 15.0
SERVED_SHARE_MIN = 0.25

OnTick = abc.Callable[[float], abc.Awaitable[None]]


async def _do_nothing(elapsed: float) -> None:
    return None


class RolloutCase(case.Case):
    """A case with v1 on some machines and v2 beside it on others.

    ``duration_seconds`` is the planned time of the rollout, by default that
    of the site, and ``measured_seconds`` how long RECOVER is looked at.
    """

    duration_seconds = 16
    measured_seconds = 8.0

    async def start_all(self, zones: list[str], old_count: int) -> None:
        """Start a machine in each of ``zones``, the first ones with v1."""
        for index, zone in enumerate(zones):
            version = "v1" if index < old_count else "v2"
            self.add_machine(f"m{index}", zone, version)
        for machine in self.fleet.machines:
            await self.fleet.start(machine)
        for item in self.backends:
            if item.version == "v1":
                await item.start()
        await self.fleet.wait_until_ready()
        self.note(f"{len(zones)} machines ready, {old_count} with v1")
        self.start_traffic(RATE, "safe")
        await asyncio.sleep(SETTLE_SECONDS)

    async def roll_out(self, on_tick: OnTick = _do_nothing) -> bool:
        """Order v2; return whether it was reported as completed.

        The operator stops the old backends then. ``on_tick`` is called
        with the time since the order.
        """
        key = f"rollout/{case.SERVICE}"
        self.fleet.store.put(
            "op",
            key,
            {
                "service": case.SERVICE,
                "to": "v2",
                "durationS": self.duration_seconds,
            },
        )
        ordered_at = time.monotonic()
        self.note(f"the operator orders v2 within {self.duration_seconds} s")
        for item in self.backends:
            if item.version == "v2":
                await item.start()
        given_up_at = ordered_at + self.duration_seconds * COMPLETED_SHARE_MAX
        while time.monotonic() < given_up_at:
            await asyncio.sleep(0.02)
            await on_tick(time.monotonic() - ordered_at)
            status = self.fleet.store.read("status", key)
            if status is None or status["state"] != "completed":
                continue
            self.note(f"{status} is reported; the operator stops v1")
            for item in self.backends:
                if item.version == "v1":
                    item.stop()
            return True
        self.note("the rollout was not reported as completed")
        return False

    async def kill_all(self) -> None:
        """Kill all sidecars and start them again."""
        for machine in self.fleet.machines:
            machine.kill()
        self.note("all sidecars are killed")
        await asyncio.sleep(DOWN_SECONDS)
        for machine in self.fleet.machines:
            await self.fleet.start(machine)
        await self.fleet.wait_until_ready()
        self.note("all sidecars are started again and ready")

    async def measure(self) -> int:
        """Return whether RECOVER held."""
        before = time.monotonic()
        await asyncio.sleep(RECOVERY_SECONDS)
        start = time.monotonic()
        await asyncio.sleep(self.measured_seconds)
        end = time.monotonic() - callers.TIMEOUT_SECONDS
        sent = served = 0
        for answer in self.callers.answers:
            if not start <= answer.sent_at < end:
                continue
            sent += 1
            served += answer.status == 200
        self.note(
            f"sent later than {start - before:.1f} s after the machines were"
            f" back: {sent}, served: {served}"
        )
        if not sent:
            return case.NOT_RUN
        if served < SERVED_SHARE_MIN * sent:
            return case.BROKEN
        return case.HELD
