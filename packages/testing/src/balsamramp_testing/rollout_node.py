"""Rollout node: the rollouts of one node alone, with a clock to move."""

import datetime

from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import metrics
from balsamramp_core.resources import rollout
from balsamramp_core.resources import service
from balsamramp_node.configuration import store
from balsamramp_node.outcomes import rollout_recorder
from balsamramp_node.outcomes import rollouts
from balsamramp_node.outcomes.policies import evidence

__all__ = ["INTENT", "START", "ManualClock", "make"]

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
INTENT = rollout.Rollout(
    name="caja-v2",
    service="caja",
    old="v1",
    new="v2",
    start=START + datetime.timedelta(seconds=10),
    deadline=START + datetime.timedelta(seconds=70),
    keep_old_seconds=30,
    late=rollout.Late.HOLD,
)


class ManualClock(clock.Clock):
    """A clock that a test moves by its field ``passed``."""

    def __init__(self) -> None:
        self.passed = datetime.timedelta()

    def now(self) -> datetime.datetime:
        return START + self.passed

    def monotonic(self) -> datetime.timedelta:
        return self.passed

    async def sleep(self, duration: datetime.timedelta) -> None:
        raise RuntimeError("a manual clock does not sleep")


def make(time: clock.Clock, *intents: rollout.Rollout) -> rollouts.Rollouts:
    """Return the rollouts of a fresh node with ``intents`` in force."""
    counters = metrics.Metrics()
    configurations = store.ConfigurationStore(counters)
    made = rollouts.Rollouts(
        configurations,
        evidence.EvidencePolicy(),
        time,
        counters,
        rollout_recorder.Recorder("n", 1, "zone-a"),
    )
    apply(configurations, *intents)
    return made


def apply(
    configurations: store.ConfigurationStore, *intents: rollout.Rollout
) -> None:
    """Bring a configuration with ``intents`` into force."""
    caja = service.Service(name="caja")
    current = configurations.current
    puts = (caja, *intents)
    later = configuration.merge(current, current.version + 1, puts, ())
    configurations.restore(configuration.Snapshot(later))
