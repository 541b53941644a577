"""A completed rollout is not found again among many earlier ones.

The store holds the rows that 600 completed rollouts of the service left. One
more completes, the old backends are stopped, and all sidecars are killed.
"""

import asyncio
import datetime
import pathlib

import case
import fleet
import msgspec
import rollout

from balsamramp_core.resources import rollout as rollout_resource
from balsamramp_node.rollouts import rollout_persistence
from balsamramp_node.rollouts import rollout_state

RECORD = pathlib.Path(__file__).resolve().parent / "record.txt"
# One on each working day of two years and a half.
EARLIER_ROLLOUTS = 600
FIRST_REVISION = 1000
REVISIONS_BETWEEN = 37
# So that the row of the last outcome is written long before the kill.
KEEP_SECONDS = 6.0
ORDER_TRIES = 50
DURATION_SECONDS = 60


class LongHistory(rollout.RolloutCase):
    """See the module."""

    number = 4
    duration_seconds = DURATION_SECONDS
    measured_seconds = 25.0

    async def play(self) -> int:
        store = self.fleet.store
        store.version = FIRST_REVISION
        for number in range(EARLIER_ROLLOUTS):
            revision = FIRST_REVISION + number * REVISIONS_BETWEEN
            store.put_bytes(*_earlier_row(number, revision))
        store.version = FIRST_REVISION + EARLIER_ROLLOUTS * REVISIONS_BETWEEN
        store.put("op", "config", fleet.configuration(7, (case.SERVICE,)))
        await self.start_all(["sur-uy-a", "sur-uy-b"] * 3, 4)
        self._skip_revisions()
        if not await self.roll_out():
            return case.NOT_RUN
        await asyncio.sleep(KEEP_SECONDS)
        kept = store.keys()
        self.note(f"{len(kept)} rows of the sidecars")
        if self.trouble:
            await self.kill_all()
        return await self.measure()

    def _skip_revisions(self) -> None:
        """Write other rows until the next order sorts behind many others.

        Which rows are read depends on a hash of the order's version.
        """
        store = self.fleet.store
        kept = store.keys()
        for number in range(ORDER_TRIES):
            key = _row_key(_intent(store.version + 1))
            place = sum(other < key for other in kept)
            if place > EARLIER_ROLLOUTS * 0.6:
                self.note(
                    f"skipped {number} versions; the order's row sorts"
                    f" behind {place} of {len(kept)}"
                )
                return
            store.put("notes", "any", number)


def _intent(revision: int) -> rollout_resource.Rollout:
    start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    return rollout_resource.Rollout(
        name=case.SERVICE,
        service=case.SERVICE,
        old=rollout_resource.ANY_OLD_VERSION,
        new="v2",
        start=start,
        deadline=start + datetime.timedelta(seconds=DURATION_SECONDS),
        keep_old_seconds=2,
        revision=revision,
    )


def _row_key(intent: rollout_resource.Rollout) -> str:
    intent_id = rollout_state.intent_id(intent)
    return f"{rollout_persistence.KEY_PREFIX}{intent.service}/{intent_id}"


def _earlier_row(number: int, revision: int) -> tuple[str, str, bytes]:
    """Return table, key and value of the row of a completed rollout."""
    intent = _intent(revision)
    state = rollout_state.initial_state(intent)
    now = intent.start
    state = rollout_state.mark_history_known(state, now)
    phases = rollout_state.RolloutPhase
    for phase in (phases.PROGRESSING, phases.COMPLETED, phases.FINISHED):
        state = rollout_state.enter_phase(state, phase, now)
    return "balsamramp", _row_key(intent), msgspec.msgpack.encode(state)


if __name__ == "__main__":
    case.main(LongHistory, RECORD)
