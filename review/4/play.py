"""A completed rollout is forgotten when all sidecars are killed.

The store rejects the two machines that decide on the rollout while it serves
the other four and the operator. The rollout is reported as completed, the
operator stops the old backends, and all sidecars are killed.
"""

import pathlib

import case
import fleet
import rollout

RECORD = pathlib.Path(__file__).resolve().parent / "record.txt"
# Limits of the site for a store that turns machines away.
REJECTED_SECONDS = 9.0
REJECTED_SHARE_MAX = 0.35
# Before the last steps of the rollout.
REJECT_AFTER_SECONDS = 6.0


class ForgottenRollout(rollout.RolloutCase):
    """See the module."""

    number = 4

    async def play(self) -> int:
        self.fleet.store.put(
            "op", "config", fleet.configuration(7, (case.SERVICE,))
        )
        await self.start_all(["sur-uy-a", "sur-uy-b"] * 3, 4)
        if not await self.roll_out(self._reject):
            return case.NOT_RUN
        if self.trouble:
            await self.kill_all()
            self.fleet.store.rejected.clear()
            self.note("the store serves all machines")
        result = await self.measure()
        self.note(f"rows of the sidecars: {self.fleet.store.keys()}")
        return result

    async def _reject(self, elapsed: float) -> None:
        """Have the store reject the machines that decide, for a time."""
        rejected = self.fleet.store.rejected
        if not self.trouble or elapsed < REJECT_AFTER_SECONDS:
            return
        if elapsed >= REJECT_AFTER_SECONDS + REJECTED_SECONDS:
            if rejected:
                self.note("the store serves all machines")
            rejected.clear()
            return
        if rejected:
            return
        for machine in self.fleet.machines:
            dump = await machine.dump()
            if case.SERVICE in dump["rollout-spread"]["decides"]:
                rejected.add(machine.name)
        share = len(rejected) / len(self.fleet.machines)
        assert share <= REJECTED_SHARE_MAX, f"share rejected is {share}"
        self.note(f"the store answers 503 to {sorted(rejected)}")


if __name__ == "__main__":
    case.main(ForgottenRollout, RECORD)
