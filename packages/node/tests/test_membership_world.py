"""Simulated fleets whose nodes die, restart or are wrongly suspected.

Guards against live nodes declared dead, dead nodes that stay listed, and
member lists that do not converge. The negative tests remove one mechanism
and expect the scenario to fail.
"""

from collections import abc
import datetime

import attrs
import pytest

from balsamramp_core import settings
from balsamramp_node.membership import failure_detector
from balsamramp_node.membership import member_list
from balsamramp_node.membership import membership
from balsamramp_testing import simulation
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

ZONES = ("zone-a", "zone-b", "zone-c")
SIZE = 24
POLL_INTERVAL = datetime.timedelta(milliseconds=100)
DEATH_LIMIT = datetime.timedelta(seconds=15)


async def _wait_until(
    sim: simulation.Simulation,
    condition: abc.Callable[[], bool],
    limit: datetime.timedelta = DEATH_LIMIT,
) -> None:
    started_at = sim.clock.monotonic()
    while not condition():
        assert sim.clock.monotonic() - started_at <= limit
        await sim.clock.sleep(POLL_INTERVAL)


async def _start_nodes() -> simulation.Simulation:
    sim = simulation.Simulation(seed=3)
    for number in range(SIZE):
        await sim.start_node(f"n{number}", ZONES[number % 3])
    await sim.clock.sleep(DEATH_LIMIT)
    if not _in_sync(sim, SIZE):
        raise RuntimeError(
            "the member lists did not converge within the limit"
        )
    return sim


def _in_sync(sim: simulation.Simulation, size: int) -> bool:
    """Return whether all nodes list the same ``size`` live members."""
    digests = set()
    for node in sim.nodes.values():
        members = node.core.membership.members()
        alive = [
            member
            for member in members
            if member.state is messages.MemberState.ALIVE
        ]
        if len(alive) != size:
            return False
        digests.add(str(sorted(node.core.member_list.digests().items())))
    return len(digests) == 1


async def _many_nodes_die_and_return() -> None:
    sim = await _start_nodes()
    killed = [f"n{number}" for number in range(0, SIZE, 6)]
    for name in killed:
        await sim.kill_node(name)
    await _wait_until(sim, lambda: _in_sync(sim, SIZE - len(killed)))
    for name in killed:
        await sim.start_node(name, "zone-a")
    await _wait_until(sim, lambda: _in_sync(sim, SIZE))
    await sim.stop()


async def _suspicion_is_refuted() -> None:
    sim = await _start_nodes()
    suspecting = sim.nodes["n0"].core.membership
    suspected_member = sim.nodes["n3"].core.member_list.get("n3")
    assert suspected_member is not None
    suspect = attrs.evolve(
        suspected_member, state=messages.MemberState.SUSPECT
    )
    suspecting._merge_member(suspect)
    dead_states = []

    def refuted() -> bool:
        states = []
        for node in sim.nodes.values():
            member = node.core.member_list.get("n3")
            states.append(member.state)
        if messages.MemberState.DEAD in states:
            dead_states.append(states)
        return set(states) == {messages.MemberState.ALIVE}

    await _wait_until(sim, refuted)
    assert not dead_states
    later = sim.nodes["n0"].core.member_list.get("n3")
    assert later is not None and later.sequence > suspected_member.sequence
    await sim.stop()


async def _one_broken_link_is_not_a_failure() -> None:
    sim = await _start_nodes()
    sim.network.partition("n0", "n3")
    for _ in range(200):
        await sim.clock.sleep(POLL_INTERVAL)
        for node in sim.nodes.values():
            for name in ("n0", "n3"):
                member = node.core.member_list.get(name)
                assert member is not None
                assert member.state is messages.MemberState.ALIVE
    await sim.stop()


async def _partitioned_zone_is_not_dead() -> None:
    sim = await _start_nodes()
    sim.network.partition("zone-a", "zone-b")
    sim.network.partition("zone-a", "zone-c")
    partitioned_node = sim.nodes["n0"].core.membership

    def suspected() -> bool:
        states = {
            member.zone: member.state
            for member in partitioned_node.members()
            if member.state is not messages.MemberState.ALIVE
        }
        return set(states) == {"zone-b", "zone-c"}

    await _wait_until(sim, suspected)
    await sim.clock.sleep(datetime.timedelta(seconds=120))
    not_departed = [
        member
        for node in sim.nodes.values()
        for member in node.core.member_list.alive()
    ]
    assert len(not_departed) == SIZE * SIZE
    sim.network.heal("zone-a", "zone-b")
    sim.network.heal("zone-a", "zone-c")
    await _wait_until(sim, lambda: _in_sync(sim, SIZE))
    await sim.stop()


CASES = {
    "partitioned zone is not declared dead": _partitioned_zone_is_not_dead,
    "many nodes die and return": _many_nodes_die_and_return,
    "one broken link is not a failure": _one_broken_link_is_not_a_failure,
    "suspicion is refuted": _suspicion_is_refuted,
}


async def _always_confirm_failure(
    self: failure_detector.FailureDetector, member: messages.Member
) -> bool:
    return True


async def _never_confirm_failure(
    self: failure_detector.FailureDetector, member: messages.Member
) -> bool:
    return False


REMOVED_MECHANISMS = {
    "partitioned zone is not declared dead": (
        failure_detector.FailureDetector,
        "confirm_failure",
        _always_confirm_failure,
    ),
    "many nodes die and return": (
        failure_detector.FailureDetector,
        "confirm_failure",
        _never_confirm_failure,
    ),
    "one broken link is not a failure": (
        failure_detector.FailureDetector,
        "confirm_failure",
        _always_confirm_failure,
    ),
    "suspicion is refuted": (
        membership.Membership,
        "_refute",
        lambda self, claim: None,
    ),
}


@pytest.mark.parametrize("name", sorted(CASES))
def test_scenario(name: str) -> None:
    virtual_time.run(CASES[name]())


@pytest.mark.parametrize("name", sorted(REMOVED_MECHANISMS))
def test_scenario_fails_without(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(*REMOVED_MECHANISMS[name])
    with pytest.raises(AssertionError):
        virtual_time.run(CASES[name]())


def test_node_is_listed_after_its_clock_was_set_back() -> None:
    async def main() -> None:
        sim = await _start_nodes()
        await sim.kill_node("n0")
        await _wait_until(sim, lambda: _in_sync(sim, SIZE - 1))
        await sim.start_node("n0", "zone-a", incarnation=0)
        await _wait_until(sim, lambda: _in_sync(sim, SIZE))
        await sim.stop()

    virtual_time.run(main())


def test_one_difference_sends_one_bucket() -> None:
    """Lists of 1200 nodes that differ in one send only its bucket."""
    left, right = member_list.MemberList(), member_list.MemberList()
    address = membership.settings.Address("127.0.0.1", 1)
    for number in range(1200):
        member = messages.Member(
            node=f"n{number}",
            zone="zone-a",
            region="region-1",
            stream=address,
            control=membership.settings.Address("127.0.0.1", number),
            admin=address,
            incarnation=1,
            sequence=1,
            state=messages.MemberState.ALIVE,
        )
        left.put(member)
        right.put(member)
    assert left.digests() == right.digests()
    right.put(attrs.evolve(right.get("n77"), sequence=2))
    differing = left.differing_members("zone-a", right.buckets("zone-a"))
    assert "n77" in {member.node for member in differing}
    assert len(differing) < 1200 / member_list.BUCKETS * 3
    left.put(right.get("n77"))
    assert left.buckets("zone-a") == right.buckets("zone-a")
    right.remove("n77")
    assert left.digests() != right.digests()


@pytest.mark.parametrize("state", list(messages.MemberState))
def test_node_has_restarted_only_if_a_later_start_is_known(
    state: messages.MemberState,
) -> None:
    members = member_list.MemberList()
    address = settings.Address("10.0.0.1", 1)
    member = messages.Member(
        node="n",
        zone="z",
        region="r",
        stream=address,
        control=address,
        admin=address,
        incarnation=1,
        sequence=1,
        state=messages.MemberState.ALIVE,
    )
    assert not members.has_restarted(member)
    members.put(attrs.evolve(member, state=state, sequence=2))
    assert not members.has_restarted(member)
    members.put(attrs.evolve(member, incarnation=2))
    assert members.has_restarted(member)
