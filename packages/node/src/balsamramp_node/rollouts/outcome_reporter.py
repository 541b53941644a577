"""Outcome reporter: tells operators what became of their orders."""

import asyncio
import datetime
import random

from returns import result

from balsamramp_core import clock
from balsamramp_core import intents
from balsamramp_core import service_manager
from balsamramp_node.process import decision_log
from balsamramp_node.rollouts import rollout_controller
from balsamramp_node.rollouts import rollout_gossip
from balsamramp_node.rollouts import rollout_state
from balsamramp_wire import rollout_messages

__all__ = ["OutcomeReporter"]

INTERVAL = datetime.timedelta(milliseconds=250)
# A node that does not decide on the service reports only what is still
# unreported after this time: its deciders may not reach the board.
STEP_IN_AFTER = datetime.timedelta(seconds=1.5)
RETRY_AFTER = datetime.timedelta(seconds=1)
PHASE = rollout_state.RolloutPhase
RUNNING = "running"
COMPLETED = "completed"
ROLLED_BACK = "taken-back"


class OutcomeReporter(service_manager.Service):
    """Publishes the state of each order on the board until it is there.

    The deciders of a service publish at once, other nodes step in later.
    What is published spreads as a mark of the rollout, so that the rest
    need not look.
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
        self._seen: dict[tuple[str, str], datetime.timedelta] = {}
        self._not_before: dict[str, datetime.timedelta] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            for state in self._rollouts.states():
                await self._report(state)
            jitter = 0.5 + self._random.random()
            await self._clock.sleep(INTERVAL * jitter)

    async def _report(self, state: rollout_messages.RolloutState) -> None:
        intent = self._rollouts.intents.get(state.intent)
        if intent is None or not intent.revision:
            return
        word = _word(state)
        if not word or rollout_state.is_reported(state, word):
            return
        now = self._clock.monotonic()
        since = self._seen.setdefault((state.intent, word), now)
        decides = self._gossip.is_coordinator(state.service)
        if not decides and now - since < STEP_IN_AFTER * (
            1 + self._random.random()
        ):
            return
        if now < self._not_before.get(state.intent, now):
            return
        outcome = intents.Outcome(
            service=state.service,
            version=state.new,
            revision=intent.revision,
            state=word,
        )
        published = await self._outcome_publisher.publish(outcome)
        if isinstance(published, result.Failure):
            self._not_before[state.intent] = now + RETRY_AFTER
            self._decisions.write(
                "outcome_unpublished",
                rollout=state.rollout,
                state=word,
                cause=published.failure().message,
            )
            return
        self._decisions.write(
            "outcome_published", rollout=state.rollout, state=word
        )
        self._rollouts.mark_reported(state.intent, word)


def _word(state: rollout_messages.RolloutState) -> str:
    """Return what operators are told, or nothing before the start."""
    phase = rollout_state.phase(state)
    if phase in rollout_state.ROLLED_BACK_PHASES:
        return ROLLED_BACK
    if phase is PHASE.FINISHED:
        return COMPLETED
    return RUNNING
