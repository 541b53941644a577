"""Publishes the state of rollout orders to operators."""

import asyncio
import datetime
import random

from returns import result

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import intents
from balsamramp_core import service_manager
from balsamramp_node.process import decision_log
from balsamramp_node.rollouts import rollout_controller
from balsamramp_node.rollouts import rollout_gossip
from balsamramp_node.rollouts import rollout_state
from balsamramp_wire import rollout_messages

__all__ = ["OutcomeReporter"]

REPORT_INTERVAL = datetime.timedelta(milliseconds=250)
RETRY_DELAY = datetime.timedelta(seconds=1)
PHASE = rollout_state.RolloutPhase
RUNNING = "running"
COMPLETED = "completed"
ROLLED_BACK = "taken-back"


class OutcomeReporter(service_manager.Service):
    """Publishes the state of each order, and retries until it succeeds.

    The coordinators of a service publish at once, other nodes in turn after
    a delay. A published state is gossiped as a mark of the rollout, so that
    other nodes do not publish it again. A final state is published only once
    it is stored: operators act on it, and a restart of all nodes must not
    undo it. What a restored store may have lost is published again.
    """

    name = "outcome-reporter"
    requires = ("rollout-spread",)

    def __init__(
        self,
        outcome_publisher: intents.OutcomePublisher,
        controller: rollout_controller.RolloutController,
        gossip: rollout_gossip.RolloutGossip,
        time: clock.Clock,
        decisions: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        self._outcome_publisher = outcome_publisher
        self._rollouts = controller
        self._gossip = gossip
        self._clock = time
        self._decisions = decisions
        self._random = rng
        self._first_seen: dict[tuple[str, str], datetime.timedelta] = {}
        self._retry_at: dict[str, datetime.timedelta] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._task = background_task.start(self._run, self._clock)

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            for state in self._rollouts.states():
                await self._report(state)
            jitter = 0.5 + self._random.random()
            await self._clock.sleep(REPORT_INTERVAL * jitter)

    async def _report(self, state: rollout_messages.RolloutState) -> None:
        intent = self._rollouts.intents.get(state.intent)
        if intent is None or not intent.revision:
            return
        reported_state = _reported_state(state)
        generation = self._outcome_publisher.generation
        if not reported_state or rollout_state.is_reported(
            state, reported_state, generation
        ):
            return
        if reported_state != RUNNING and not rollout_state.is_stored(
            state, generation
        ):
            return
        now = self._clock.monotonic()
        first_seen = self._first_seen.setdefault(
            (state.intent, reported_state), now
        )
        is_coordinator = self._gossip.is_coordinator(state.service)
        if not is_coordinator:
            delay = self._gossip.fallback_delay(state.service)
            if now - first_seen < delay:
                return
        if now < self._retry_at.get(state.intent, now):
            return
        outcome = intents.Outcome(
            service=state.service,
            version=state.new,
            revision=intent.revision,
            state=reported_state,
        )
        published = await self._outcome_publisher.publish(outcome)
        if isinstance(published, result.Failure):
            self._retry_at[state.intent] = now + RETRY_DELAY
            self._decisions.write(
                "outcome_unpublished",
                rollout=state.rollout,
                state=reported_state,
                cause=published.failure().message,
            )
            return
        self._decisions.write(
            "outcome_published", rollout=state.rollout, state=reported_state
        )
        self._rollouts.mark_reported(state.intent, reported_state, generation)


def _reported_state(state: rollout_messages.RolloutState) -> str:
    """Return the state to publish: running, completed or rolled back."""
    phase = rollout_state.phase(state)
    if phase in rollout_state.ROLLED_BACK_PHASES:
        return ROLLED_BACK
    if phase is PHASE.FINISHED:
        return COMPLETED
    return RUNNING
