"""Zones taken out and in, under load, in virtual time."""

import asyncio

import pytest

from balsamramp_core import verdict
from balsamramp_node.rollouts import zone_states
from balsamramp_testing import memory_network
from balsamramp_testing import zone_trial

OUT_BOUND_SECONDS = 3.0
OUT = 5.0
IN = 15.0
END = 30.0
PLAN = zone_trial.TrialConfig(return_seconds=10)


async def _out_and_in(trial: zone_trial.Trial) -> None:
    await trial.wait_until(OUT)
    await trial.declare("zone-c", out=True)
    await trial.wait_until(IN)
    trial.restart_targets("zone-c")
    await trial.declare("zone-c", out=False)
    await trial.wait_until(END)


def test_zone_leaves_and_returns_gradually() -> None:
    trial = zone_trial.run(PLAN, _out_and_in)
    assert trial.arrived("zone-c", OUT + OUT_BOUND_SECONDS, IN) == 0
    first = trial.arrived("zone-c", IN, IN + 5)
    later = trial.arrived("zone-c", IN + 10, IN + 15)
    assert 0 < first < later / 2
    assert all(call.answered for call in trial.calls)


def test_return_is_not_gradual_without_the_ramp(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        zone_states.ZoneStates, "admits", lambda self, name, call_id: True
    )
    with pytest.raises(AssertionError):
        test_zone_leaves_and_returns_gradually()


def test_work_goes_on_arriving_without_the_declaration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        zone_states.ZoneStates, "put", lambda self, name, item: None
    )
    with pytest.raises(AssertionError):
        test_zone_leaves_and_returns_gradually()


async def _cut_off(trial: zone_trial.Trial, *others: str) -> None:
    network = trial.world.network
    await trial.wait_until(2.0)
    for other in others:
        network.partition("zone-c", other)
    await trial.wait_until(OUT)
    await trial.declare("zone-c", out=True)
    await trial.wait_until(IN)
    for other in others:
        network.heal("zone-c", other)
    await trial.wait_until(END)


def _answered_share(trial: zone_trial.Trial, zones: set[str]) -> float:
    calls = [
        call
        for call in trial.calls
        if call.zone in zones and OUT + 5 <= call.sent < IN - 1
    ]
    return sum(call.answered for call in calls) / len(calls)


CUT = {"zone-a", "zone-b", memory_network.PLATFORM}


def test_zone_cut_off_from_all_serves_its_own_callers_until_healed() -> None:
    trial = zone_trial.run(PLAN, lambda trial: _cut_off(trial, *CUT))
    assert _answered_share(trial, {"zone-c"}) >= 0.9
    assert _answered_share(trial, {"zone-a", "zone-b"}) == 1.0
    begin = IN + OUT_BOUND_SECONDS
    assert trial.arrived("zone-c", begin, END) == 0


def test_zone_cut_off_that_reads_the_platform_refuses() -> None:
    cut = CUT - {memory_network.PLATFORM}
    trial = zone_trial.run(PLAN, lambda trial: _cut_off(trial, *cut))
    assert trial.arrived("zone-c", OUT + OUT_BOUND_SECONDS, END) == 0
    assert _answered_share(trial, {"zone-a", "zone-b"}) == 1.0


async def _all_out(trial: zone_trial.Trial) -> None:
    await trial.wait_until(OUT)
    for zone in zone_trial.ZONES:
        await trial.declare(zone, out=True)
    await trial.wait_until(IN)


def test_last_zone_out_refuses() -> None:
    trial = zone_trial.run(PLAN, _all_out)
    begin = OUT + OUT_BOUND_SECONDS
    for zone in zone_trial.ZONES:
        assert trial.arrived(zone, begin, IN) == 0
    later = [call for call in trial.calls if call.sent >= begin]
    assert later
    assert {call.ran for call in later} == {verdict.Verdict.NOT_RUN}


async def _two_out(trial: zone_trial.Trial) -> None:
    await trial.wait_until(OUT)
    await asyncio.gather(
        trial.declare("zone-b", True, "zone-a-1"),
        trial.declare("zone-c", True, "zone-a-0"),
    )
    await trial.wait_until(IN)


def test_two_zones_out_at_once() -> None:
    trial = zone_trial.run(PLAN, _two_out)
    begin = OUT + OUT_BOUND_SECONDS
    assert trial.arrived("zone-b", begin, IN) == 0
    assert trial.arrived("zone-c", begin, IN) == 0
    later = [call for call in trial.calls if call.sent >= begin]
    assert all(call.answered for call in later)


async def _cross(trial: zone_trial.Trial) -> None:
    """Two operators declare out and in at once; versions order them."""
    await trial.wait_until(OUT)
    versions = await asyncio.gather(
        trial.declare("zone-c", True, "zone-a-0"),
        trial.declare("zone-c", False, "zone-b-0"),
    )
    is_out = versions[0] > versions[1]
    await trial.wait_until(OUT + OUT_BOUND_SECONDS)
    views = {
        "zone-c" in node.core.router.zones_out_of_service
        for node in trial.world.nodes.values()
    }
    assert views == {is_out}
    await trial.wait_until(IN)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_out_and_in_crossing(seed: int) -> None:
    plan = zone_trial.TrialConfig(seed=seed, calls_per_second=20.0)
    zone_trial.run(plan, _cross)


async def _overload(trial: zone_trial.Trial) -> None:
    """Two zones leave; the third bears 400 of 600 calls a second."""
    await trial.wait_until(OUT)
    await trial.declare("zone-b", True)
    await trial.declare("zone-c", True)
    await trial.wait_until(12.0)


def test_what_other_zones_cannot_bear_is_refused_early() -> None:
    plan = zone_trial.TrialConfig(
        calls_per_second=600.0, slots=8, limit=8, targets_per_zone=1
    )
    trial = zone_trial.run(plan, _overload)
    later = [call for call in trial.calls if call.sent >= OUT + 3.0]
    refused = [
        call
        for call in later
        if not call.answered and call.ran is verdict.Verdict.NOT_RUN
    ]
    assert refused
    answered = sum(call.answered for call in later)
    lost = len(later) - answered - len(refused)
    assert lost == 0
    borne = plan.slots / plan.delay.total_seconds()
    assert answered >= 0.7 * borne * 4.0
