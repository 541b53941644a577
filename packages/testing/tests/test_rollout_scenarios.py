"""Named scenarios of rollouts on whole nodes in virtual time."""

import attrs
import pytest

from balsamramp_core import verdict
from balsamramp_node.rollouts import rollout_controller
from balsamramp_node.rollouts import rollout_evidence
from balsamramp_node.rollouts import rollout_gossip
from balsamramp_node.rollouts import rollout_persistence
from balsamramp_node.rollouts import sequential_test
from balsamramp_node.rollouts.policies import evidence
from balsamramp_testing import memory_network
from balsamramp_testing import rollout_trial
from balsamramp_wire import messages

NEW = (rollout_trial.NEW,)
STOP_BOUND_SECONDS = 2.0
CAP = 0.05
STORED_WITHIN_SECONDS = 5.0
FAILS = rollout_trial.Fault(versions=NEW, failing=1.0)
NIGHT = rollout_trial.TrialConfig(
    calls_per_second=2.0,
    duration=500.0,
    horizon=800.0,
    faults=(attrs.evolve(FAILS, begins=40.0),),
    platform_down=(3.0, 490.0),
)


@attrs.frozen(kw_only=True)
class Scenario:
    """A plan and what must come of it.

    ``new_calls_max`` bounds the calls that the new version ran.
    """

    plan: rollout_trial.TrialConfig
    outcome: str
    cause: str = ""
    new_calls_max: int | None = None


def _bad(**changes: object) -> rollout_trial.TrialConfig:
    fault = attrs.evolve(FAILS, **changes)
    return rollout_trial.TrialConfig(faults=(fault,))


SCENARIOS = {
    "good": Scenario(plan=rollout_trial.TrialConfig(), outcome="completed at"),
    "bad at once": Scenario(
        plan=_bad(), outcome="taken back", cause="failures", new_calls_max=20
    ),
    "bad later": Scenario(
        plan=_bad(begins=40.0), outcome="taken back", cause="failures"
    ),
    "bad only under load": Scenario(
        plan=_bad(above_calls_per_second=4.0),
        outcome="taken back",
        cause="failures",
    ),
    "bad only on one route": Scenario(
        plan=_bad(path="/pagos"), outcome="taken back", cause="failures"
    ),
    "slow rather than failing": Scenario(
        plan=_bad(failing=0.0, slower=4.0),
        outcome="taken back",
        cause="slowness",
    ),
    "good but its zone is sick": Scenario(
        plan=rollout_trial.TrialConfig(
            faults=(
                rollout_trial.Fault(
                    zones=("zone-c",), failing=0.6, begins=5.0, ends=30.0
                ),
            ),
            new_zones=("zone-c",),
        ),
        outcome="completed at",
    ),
    "old version sick too": Scenario(
        plan=rollout_trial.TrialConfig(
            faults=(rollout_trial.Fault(failing=0.2),)
        ),
        outcome="completed at",
    ),
    "bad after full promotion": Scenario(
        plan=_bad(begins=62.0), outcome="taken back", cause="failures"
    ),
    "too little traffic for the schedule": Scenario(
        plan=rollout_trial.TrialConfig(calls_per_second=4.0),
        outcome="taken back",
        cause="late",
    ),
    "no capacity for the schedule": Scenario(
        plan=rollout_trial.TrialConfig(cold_slots=0, cold=1e9),
        outcome="taken back",
        cause="late",
    ),
    "too little traffic, held": Scenario(
        plan=rollout_trial.TrialConfig(
            calls_per_second=20.0, late="hold", duration=30.0, horizon=200.0
        ),
        outcome="completed late at",
    ),
    "cold start": Scenario(
        plan=rollout_trial.TrialConfig(cold_slots=0, cold=15.0, duration=80.0),
        outcome="completed at",
    ),
}


def _check_end(found: rollout_trial.TrialResult) -> None:
    """No new call two seconds after the decision, on any node."""
    marks = {event.event: event.at for event in found.report.history}
    taken_back = (
        marks[found.report.phase] - found.report.start
    ).total_seconds()
    if found.last_new_call is not None:
        assert found.last_new_call <= taken_back + STOP_BOUND_SECONDS


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name: str) -> None:
    scenario = SCENARIOS[name]
    found = rollout_trial.run(scenario.plan)
    assert found.report.outcome.startswith(scenario.outcome), found
    assert found.cause == scenario.cause
    if found.cause:
        _check_end(found)
    if scenario.new_calls_max is not None:
        assert found.new_calls <= scenario.new_calls_max


async def _morning(trial: rollout_trial.Trial) -> None:
    """Nobody acts; the platform comes back after the take-back."""
    await trial.wait_until(500.0)
    key = f"{rollout_persistence.KEY_PREFIX}{rollout_trial.SERVICE}/"
    assert trial.report().outcome.startswith("taken back")
    await trial.wait(50.0)
    rows = (await trial.world.table.scan(key, "", 10)).unwrap()
    assert len(rows) == 1
    assert b"taken-back" in rows[0].value


def test_bad_at_night_with_the_platform_down_is_taken_back() -> None:
    found = rollout_trial.run(NIGHT, _morning)
    assert found.cause == "failures"
    _check_end(found)
    assert found.share <= CAP


async def _lose_deciders(trial: rollout_trial.Trial) -> None:
    """One decider stops answering, another dies, each in its zone."""
    await trial.wait_until(4.0)
    deciders = [
        name
        for name, node in sorted(trial.world.nodes.items())
        if node.core.rollout_gossip.is_coordinator(rollout_trial.SERVICE)
    ]
    first = deciders[0]
    trial.world.network.unresponsive.add(first)
    zone = trial.zone_of[first]
    for name in deciders[1:]:
        if trial.zone_of[name] != zone:
            await trial.world.kill_node(name)
            break
    await trial.wait_until(30.0)
    trial.world.network.unresponsive.discard(first)


async def _cut_zones(trial: rollout_trial.Trial) -> None:
    await trial.wait_until(5.0)
    for left, right in (("zone-a", "zone-b"), ("zone-a", "zone-c")):
        trial.world.network.partition(left, right)
    await trial.wait_until(35.0)
    for left, right in (("zone-a", "zone-b"), ("zone-a", "zone-c")):
        trial.world.network.heal(left, right)


@pytest.mark.parametrize("disturb", [_lose_deciders, _cut_zones])
@pytest.mark.parametrize("cause", ["", "failures"])
def test_outcome_is_the_same_under(
    disturb: rollout_trial.Script, cause: str
) -> None:
    faults = (attrs.evolve(FAILS, begins=12.0),) if cause else ()
    plan = rollout_trial.TrialConfig(
        faults=faults, targets_per_zone=2, calls_per_second=60.0
    )
    found = rollout_trial.run(plan, disturb)
    assert found.cause == cause, found.report.outcome
    assert found.report.outcome.startswith(
        "taken back" if cause else "completed at"
    )


async def _restart_all(trial: rollout_trial.Trial) -> None:
    """All nodes die and start anew, half a second apart."""
    runs = len(trial.new_runs)
    for name in list(trial.world.nodes):
        await trial.world.kill_node(name)
    trial.new_runs.clear()
    for name in trial.old_nodes:
        await trial.start_node(name, trial.zone_of[name], rollout_trial.OLD)
    for name in trial.new_nodes:
        await trial.start_node(name, trial.zone_of[name], rollout_trial.NEW)
    await trial.wait(20.0)
    assert runs > 0


async def _cut_deciders_from_platform(trial: rollout_trial.Trial) -> None:
    """Nodes that don't decide store the outcome; all nodes restart then."""
    await trial.wait_until(20.0)
    cut = [
        name
        for name, node in sorted(trial.world.nodes.items())
        if node.core.rollout_gossip.is_coordinator(rollout_trial.SERVICE)
    ]
    assert len(cut) < len(trial.world.nodes)
    for name in cut:
        trial.world.network.partition(name, memory_network.PLATFORM)
    while trial.report().phase != "finished":
        await trial.wait(0.5)
    await trial.wait(STORED_WITHIN_SECONDS)
    for name in cut:
        trial.world.network.heal(name, memory_network.PLATFORM)
    await _restart_all(trial)
    assert trial.report().phase == "finished"
    assert trial.new_runs


def test_completed_is_kept_though_deciders_do_not_reach_the_platform() -> None:
    """Guards against a completed version that a restart of all excludes."""
    rollout_trial.run(rollout_trial.TrialConfig(), _cut_deciders_from_platform)


async def _condemn_and_restart(trial: rollout_trial.Trial) -> None:
    await trial.wait_until(20.0)
    assert trial.report().phase == "taken-back"
    await _restart_all(trial)
    assert not trial.new_runs
    assert trial.report().phase == "taken-back"


async def _condemn_and_restart_unrecorded(trial: rollout_trial.Trial) -> None:
    """The platform is away, so that nobody remembers the decision."""
    await trial.wait_until(20.0)
    assert trial.report().phase == "taken-back"
    await _restart_all(trial)
    await trial.wait_until(50.0)
    assert not trial.new_runs
    assert trial.report().phase == "waiting"
    await trial.wait_until(75.0)
    assert not trial.new_runs
    assert trial.report().phase == "expired"


async def _condemn_and_lapse(trial: rollout_trial.Trial) -> None:
    """The new targets' leases lapse and they announce themselves anew."""
    await trial.wait_until(20.0)
    trial.new_runs.clear()
    for name in trial.new_nodes:
        target = f"{name}-target"
        trial.world.nodes[name].core.targets.withdraw(target)
        await trial.wait(2.0)
        trial.world.announce(
            name, target, rollout_trial.SERVICE, rollout_trial.NEW, "2"
        )
    await trial.wait(10.0)
    assert not trial.new_runs
    await _knock_at_door(trial, trial.new_nodes[0])


async def _knock_at_door(trial: rollout_trial.Trial, name: str) -> None:
    """A caller's node that has not heard sends a call to the door."""
    core = trial.world.nodes[name].core
    request = messages.CallRequest(
        call_id="stale",
        service=rollout_trial.SERVICE,
        target=f"{name}-target",
        incarnation=core.identity.incarnation,
        method="GET",
        path="/",
        headers=(),
        timeout=rollout_trial.SETTLING,
        idempotent=True,
    )
    reply = await core.inbound_handler.submit(request)
    assert isinstance(reply, messages.CallFailure)
    assert reply.failure.verdict is verdict.Verdict.NOT_RUN
    assert reply.failure.reason is verdict.Reason.VERSION_EXCLUDED


@pytest.mark.parametrize(
    ("disturb", "down"),
    [
        (_condemn_and_restart, None),
        (_condemn_and_restart_unrecorded, (1.0, 22.0)),
        (_condemn_and_lapse, None),
    ],
)
def test_condemned_stays_so(
    disturb: rollout_trial.Script, down: tuple[float, float] | None
) -> None:
    plan = attrs.evolve(_bad(begins=4.0), platform_down=down)
    rollout_trial.run(plan, disturb)


async def _read_nothing(
    record: rollout_persistence.RolloutPersistence,
) -> bool:
    return True


def _pool_zones(
    zones: rollout_evidence.Zones, old_zones: set[str]
) -> list[sequential_test.Stratum]:
    """Compare all calls of the new version with all of the old."""
    fields = ("old_calls", "old_bad", "new_calls", "new_bad")
    sums = [
        sum(getattr(pair, field) for pair in zones.values())
        for field in fields
    ]
    return [sequential_test.Stratum(*sums)]


def _never(*arguments: object) -> bool:
    return False


def _send_nothing(*arguments: object) -> None:
    return None


ENFORCEMENTS = {
    "refusal at the door": (
        rollout_controller.RolloutController,
        "is_version_excluded",
        _never,
        lambda: test_condemned_stays_so(_condemn_and_lapse, None),
    ),
    "record on the platform": (
        rollout_persistence.RolloutPersistence,
        "_synchronise",
        _read_nothing,
        lambda: test_condemned_stays_so(_condemn_and_restart, None),
    ),
    "evidence sent to the deciders": (
        rollout_gossip.RolloutGossip,
        "_send_rows",
        _send_nothing,
        lambda: test_scenario("good"),
    ),
    "states pushed and exchanged": (
        rollout_controller.RolloutController,
        "merge",
        _send_nothing,
        lambda: test_scenario("bad later"),
    ),
    "zones compared with themselves": (
        rollout_evidence,
        "_window_strata",
        _pool_zones,
        lambda: test_scenario("good but its zone is sick"),
    ),
    "doubt after the completion": (
        evidence,
        "_compare_with_baseline",
        lambda *arguments: [],
        lambda: test_scenario("bad after full promotion"),
    ),
}


@pytest.mark.parametrize("name", ENFORCEMENTS)
def test_scenario_fails_without(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    owner, attribute, replacement, scenario = ENFORCEMENTS[name]
    monkeypatch.setattr(owner, attribute, replacement)
    with pytest.raises(AssertionError):
        scenario()


async def _name_again(trial: rollout_trial.Trial) -> None:
    await trial.wait_until(20.0)
    assert trial.report().phase == "taken-back"
    trial.new_runs.clear()
    start = trial.world.clock.now() + rollout_trial.SETTLING
    again = trial.intent(name="again", start=start.isoformat())
    await trial.world.apply(trial.old_nodes[0], again)
    await trial.wait(20.0)
    assert trial.new_runs


async def _abort(trial: rollout_trial.Trial) -> None:
    await trial.wait_until(20.0)
    await trial.world.apply(trial.old_nodes[0], trial.intent(aborted_by="ana"))
    await trial.wait(STOP_BOUND_SECONDS)
    trial.new_runs.clear()
    await trial.wait(5.0)
    assert not trial.new_runs


async def _supersede(trial: rollout_trial.Trial) -> None:
    """Another rollout of the service starts while the first one moves."""
    await trial.wait_until(20.0)
    start = trial.world.clock.now() + rollout_trial.SETTLING
    other = trial.intent(name="caja-v3", new="v3", start=start.isoformat())
    await trial.world.apply(trial.old_nodes[0], other)
    await trial.wait(10.0)
    trial.new_runs.clear()
    await trial.wait(5.0)
    assert not trial.new_runs


def test_new_intent_lifts_a_condemnation() -> None:
    fault = attrs.evolve(FAILS, ends=15.0)
    rollout_trial.run(rollout_trial.TrialConfig(faults=(fault,)), _name_again)


@pytest.mark.parametrize(
    ("disturb", "text"),
    [(_abort, "aborted by ana"), (_supersede, "superseded by rollout")],
)
def test_operator_ends_a_rollout(
    disturb: rollout_trial.Script, text: str
) -> None:
    plan = rollout_trial.TrialConfig(horizon=60.0)
    found = rollout_trial.run(plan, disturb)
    assert text in found.report.outcome
