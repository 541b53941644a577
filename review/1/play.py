"""Backends that are unhealthy for a moment are shut out for good.

All sidecars are killed. Without them the backends can make no calls, and say
in their health responses that they fail, until shortly after the sidecars are
back.
"""

import asyncio
import pathlib
import time

import callers
import case
import fleet

RECORD = pathlib.Path(__file__).resolve().parent / "record.txt"
ZONES = ("sur-uy-a", "sur-uy-b", "sur-uy-c")
RATE = 60.0
SETTLE_SECONDS = 6.0
DOWN_SECONDS = 1.0
# How long a backend goes on to fail once it can make calls again.
UNHEALTHY_SECONDS = 2.0
# ``recoveryS`` of the sites, and RECOVER's share.
RECOVERY_SECONDS = 15.0
SERVED_SHARE_MIN = 0.25
MEASURED_SECONDS = 15.0
NEVER = float("inf")


class Unhealthy(case.Case):
    """See the module."""

    number = 1

    async def play(self) -> int:
        self.fleet.store.put(
            "op", "config", fleet.configuration(7, (case.SERVICE,))
        )
        for zone in ZONES * 2:
            name = f"m{len(self.backends)}"
            self.add_machine(name, zone, "v1")
        for machine in self.fleet.machines:
            await self.fleet.start(machine)
        for item in self.backends:
            await item.start()
        await self.fleet.wait_until_ready()
        self.start_traffic(RATE, "safe")
        await asyncio.sleep(SETTLE_SECONDS)
        if self.trouble:
            await self._kill_all()
        back_at = time.monotonic()
        await asyncio.sleep(RECOVERY_SECONDS + MEASURED_SECONDS)
        for item in self.backends:
            answers = [
                status for at, _, _, status in item.calls if at > back_at
            ]
            self.note(
                f"health responses 503 of {item.name}: {item.failed_probes};"
                f" its heartbeats since then were answered {answers}"
            )
        return self._judge(back_at + RECOVERY_SECONDS)

    async def _kill_all(self) -> None:
        for machine in self.fleet.machines:
            machine.kill()
        for item in self.backends:
            item.unhealthy_until = NEVER
        self.note("all sidecars are killed; the backends are unhealthy")
        await asyncio.sleep(DOWN_SECONDS)
        for machine in self.fleet.machines:
            await self.fleet.start(machine)
        await self.fleet.wait_until_ready()
        self.note("all sidecars are started again and ready")
        healthy_at = time.monotonic() + UNHEALTHY_SECONDS
        for item in self.backends:
            item.unhealthy_until = healthy_at
        await asyncio.sleep(UNHEALTHY_SECONDS)
        self.note("the backends are healthy again")

    def _judge(self, since: float) -> int:
        end = time.monotonic() - callers.TIMEOUT_SECONDS
        sent = served = 0
        for answer in self.callers.answers:
            if not since <= answer.sent_at < end:
                continue
            sent += 1
            served += answer.status == 200
        self.note(
            f"sent later than {RECOVERY_SECONDS} s after machines and"
            f" backends were well: {sent}, served: {served}"
        )
        if not sent:
            return case.NOT_RUN
        if served < SERVED_SHARE_MIN * sent:
            return case.BROKEN
        return case.HELD


if __name__ == "__main__":
    case.main(Unhealthy, RECORD)
