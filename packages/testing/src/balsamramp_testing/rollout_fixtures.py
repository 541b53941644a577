"""Fixtures for the rollouts of one node, with a manual clock."""

import datetime

from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core.resources import rollout
from balsamramp_core.resources import service
from balsamramp_node.configuration import store
from balsamramp_node.rollouts import evidence_recorder
from balsamramp_node.rollouts import rollout_controller
from balsamramp_node.rollouts import version_presence
from balsamramp_node.rollouts.policies import evidence

__all__ = [
    "SAMPLE_ROLLOUT",
    "START",
    "ManualClock",
    "Presence",
    "apply",
    "make_rollouts",
]

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
SAMPLE_ROLLOUT = rollout.Rollout(
    name="caja-v2",
    service="caja",
    old="v1",
    new="v2",
    start=START + datetime.timedelta(seconds=10),
    deadline=START + datetime.timedelta(seconds=70),
    keep_old_seconds=30,
    late=rollout.LatePolicy.HOLD,
)


class ManualClock(clock.Clock):
    """A clock that a test advances by setting ``passed``."""

    def __init__(self) -> None:
        self.passed = datetime.timedelta()

    def now(self) -> datetime.datetime:
        return START + self.passed

    def monotonic(self) -> datetime.timedelta:
        return self.passed

    async def sleep(self, duration: datetime.timedelta) -> None:
        raise RuntimeError(
            "ManualClock does not support sleep; set passed instead"
        )


class Presence(version_presence.VersionPresence):
    """Targets of each service that a test sets in ``versions``.

    They are not known before it has set any.
    """

    def __init__(self) -> None:
        self.versions: set[str] = set()

    @property
    def is_complete(self) -> bool:
        return bool(self.versions)

    def refresh(self) -> None:
        return None

    def is_alone(
        self, service: str, version: str, ignored: frozenset[str]
    ) -> bool:
        others = self.versions - ignored - {version}
        return version in self.versions and not others


def make_rollouts(
    time: clock.Clock,
    *intents: resource.Resource,
    presence: version_presence.VersionPresence | None = None,
    configurations: store.ConfigurationStore | None = None,
) -> rollout_controller.RolloutController:
    """Return the controller of a new node with ``intents`` in force."""
    counters = metrics.Metrics()
    configurations = configurations or store.ConfigurationStore(counters)
    controller = rollout_controller.RolloutController(
        configurations,
        evidence.EvidencePolicy(),
        time,
        counters,
        evidence_recorder.EvidenceRecorder("n", 1, "zone-a"),
        presence or Presence(),
    )
    apply(configurations, *intents)
    return controller


def apply(
    configurations: store.ConfigurationStore, *intents: resource.Resource
) -> None:
    """Put a configuration with ``intents`` into force."""
    caja = service.Service(name="caja")
    current = configurations.current
    puts = (caja, *intents)
    updated = configuration.merge(current, current.version + 1, puts, ())
    configurations.restore(configuration.Snapshot(updated))
