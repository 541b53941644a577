"""Outcome kinds: the rollouts and zone moves that the bench runs."""

import datetime
import typing

import attrs

from balsamramp_testing import rollout_trial
from balsamramp_testing import zone_trial

__all__ = ["KINDS", "ZONE_PLANS", "Kind"]

NEW = (rollout_trial.NEW,)
FAILS = rollout_trial.Fault(versions=NEW, failing=0.5)
ZONE_LOAD = zone_trial.TrialConfig(
    calls_per_second=320.0,
    slots=4,
    cold_slots=1,
    delay=datetime.timedelta(milliseconds=40),
    admission="adaptive",
    limit=4,
)


@attrs.frozen(kw_only=True)
class Kind:
    """One kind of rollout; ``good`` ones should complete on time."""

    name: str
    good: bool
    plan: rollout_trial.TrialConfig


def _plan(
    *faults: rollout_trial.Fault, **changes: typing.Any
) -> rollout_trial.TrialConfig:
    return attrs.evolve(rollout_trial.TrialConfig(faults=faults), **changes)


KINDS = (
    Kind(name="good", good=True, plan=_plan()),
    Kind(
        name="good, zone sick",
        good=True,
        plan=_plan(
            rollout_trial.Fault(
                zones=("zone-c",), failing=0.5, begins=5.0, ends=30.0
            )
        ),
    ),
    Kind(
        name="good, only in sick zone",
        good=True,
        plan=_plan(
            rollout_trial.Fault(
                zones=("zone-c",), failing=0.6, begins=5.0, ends=30.0
            ),
            new_zones=("zone-c",),
        ),
    ),
    Kind(
        name="good, old sick too",
        good=True,
        plan=_plan(rollout_trial.Fault(failing=0.2)),
    ),
    Kind(
        name="good, cold start",
        good=True,
        plan=_plan(cold_slots=0, cold=10.0),
    ),
    Kind(name="fails 50% at once", good=False, plan=_plan(FAILS)),
    Kind(
        name="fails 10% at once",
        good=False,
        plan=_plan(attrs.evolve(FAILS, failing=0.1)),
    ),
    Kind(
        name="fails 50% later",
        good=False,
        plan=_plan(attrs.evolve(FAILS, begins=35.0)),
    ),
    Kind(
        name="fails under load",
        good=False,
        plan=_plan(attrs.evolve(FAILS, above_calls_per_second=4.0)),
    ),
    Kind(
        name="fails on one route",
        good=False,
        plan=_plan(attrs.evolve(FAILS, path="/pagos")),
    ),
    Kind(
        name="slow by 4",
        good=False,
        plan=_plan(attrs.evolve(FAILS, failing=0.0, slower=4.0)),
    ),
    Kind(
        name="fails after promotion",
        good=False,
        plan=_plan(attrs.evolve(FAILS, begins=62.0)),
    ),
    Kind(
        name="night, platform down",
        good=False,
        plan=_plan(
            attrs.evolve(FAILS, failing=1.0, begins=30.0),
            calls_per_second=2.0,
            duration=300.0,
            platform_down=(3.0, 1e9),
        ),
    ),
)

ZONE_PLANS = {
    "gradual return": ZONE_LOAD,
    "at once": attrs.evolve(ZONE_LOAD, return_seconds=0),
    "at once, fixed limit 20": attrs.evolve(
        ZONE_LOAD, return_seconds=0, admission="fixed", limit=20
    ),
}
