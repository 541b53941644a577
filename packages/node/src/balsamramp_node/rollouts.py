"""Rollouts: carries out the rollout intents of the configuration."""

import asyncio
from collections import abc
import datetime
import typing

from absl import logging
import msgspec
import xxhash

from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import kernel
from balsamramp_core import metrics
from balsamramp_core.resources import rollout
from balsamramp_node import rollout_policy
from balsamramp_node import store

__all__ = ["Rollouts"]

DECISION_INTERVAL = datetime.timedelta(milliseconds=200)
HASH_SPACE = 1 << 64


class Rollouts(kernel.Service):
    """Holds the state of each rollout and tells the share of versions."""

    name = "rollouts"
    requires = ("configuration",)

    def __init__(
        self,
        configurations: store.ConfigurationStore,
        policy: rollout_policy.RolloutPolicy,
        time: clock.Clock,
        counters: metrics.Metrics,
    ) -> None:
        self._policy = policy
        self._clock = time
        self._metrics = counters
        self._intents: dict[str, rollout.Rollout] = {}
        self._states: dict[str, rollout_policy.RolloutState] = {}
        self._task: asyncio.Task[None] | None = None
        configurations.listen(self._read_intents)

    async def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def allowed(self, service: str, version: str, call_id: str) -> bool:
        """Tell whether the call may go to ``version`` of ``service``."""
        position = xxhash.xxh64_intdigest(call_id.encode()) / HASH_SPACE
        for intent in self._intents.values():
            if intent.service != service:
                continue
            to_new = position < self._policy.share(self._states[intent.name])
            if version == intent.new and not to_new:
                return False
            if version == intent.old and to_new:
                return False
        return True

    def merge(self, states: abc.Iterable[rollout_policy.RolloutState]) -> None:
        """Join what another node says of rollouts into what is held."""
        for state in states:
            known = self._states.get(state.rollout)
            if known is None:
                continue
            self._states[state.rollout] = rollout_policy.join(known, state)

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            name: msgspec.to_builtins(state)
            for name, state in sorted(self._states.items())
        }

    def _read_intents(self, current: configuration.Configuration) -> None:
        intents: dict[str, rollout.Rollout] = {}
        for item in current.of_kind(rollout.Rollout.kind):
            intent = typing.cast(rollout.Rollout, item)
            intents[intent.name] = intent
            if intent.name in self._states:
                continue
            fresh = rollout_policy.RolloutState(rollout=intent.name)
            self._states[intent.name] = fresh
        self._intents = intents

    async def _run(self) -> None:
        while True:
            self._decide()
            await self._clock.sleep(DECISION_INTERVAL)

    def _decide(self) -> None:
        now = self._clock.now()
        for name, intent in self._intents.items():
            state = self._states[name]
            evidence = rollout_policy.Evidence()
            later = self._policy.decide(intent, state, evidence, now)
            if later.phase is not state.phase:
                logging.info("rollout %s is %s", name, later.phase.value)
                self._metrics.count(
                    "rollout_phases_total", phase=later.phase.value
                )
            self._states[name] = later
