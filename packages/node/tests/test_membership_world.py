"""Membership in virtual time: joins, deaths, herds, wrong suspicion."""

from collections import abc
import datetime

import attrs
import pytest

from balsamramp_node.membership import failure_detector
from balsamramp_node.membership import member_list
from balsamramp_node.membership import membership
from balsamramp_testing import simulation
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

ZONES = ("zone-a", "zone-b", "zone-c")
SIZE = 24
TICK = datetime.timedelta(milliseconds=100)
DEATH_LIMIT = datetime.timedelta(seconds=15)


async def _until(
    world: simulation.Simulation,
    condition: abc.Callable[[], bool],
    limit: datetime.timedelta = DEATH_LIMIT,
) -> None:
    started_at = world.clock.monotonic()
    while not condition():
        assert world.clock.monotonic() - started_at <= limit
        await world.clock.sleep(TICK)


async def _start() -> simulation.Simulation:
    world = simulation.Simulation(seed=3)
    for number in range(SIZE):
        await world.start_node(f"n{number}", ZONES[number % 3])
    await world.clock.sleep(DEATH_LIMIT)
    if not _alike(world, SIZE):
        raise RuntimeError("the nodes did not find each other")
    return world


def _alike(world: simulation.Simulation, size: int) -> bool:
    """Tell whether all nodes see the same members, all alive."""
    digests = set()
    for node in world.nodes.values():
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


async def _herd_dies_and_returns() -> None:
    world = await _start()
    herd = [f"n{number}" for number in range(0, SIZE, 6)]
    for name in herd:
        await world.kill_node(name)
    await _until(world, lambda: _alike(world, SIZE - len(herd)))
    for name in herd:
        await world.start_node(name, "zone-a")
    await _until(world, lambda: _alike(world, SIZE))
    await world.stop()


async def _suspicion_is_refuted() -> None:
    world = await _start()
    accuser = world.nodes["n0"].core.membership
    accused = world.nodes["n3"].core.member_list.get("n3")
    assert accused is not None
    suspect = attrs.evolve(accused, state=messages.MemberState.SUSPECT)
    accuser._learn(suspect)
    seen_dead = []

    def refuted() -> bool:
        states = []
        for node in world.nodes.values():
            member = node.core.member_list.get("n3")
            states.append(member.state)
        if messages.MemberState.DEAD in states:
            seen_dead.append(states)
        return set(states) == {messages.MemberState.ALIVE}

    await _until(world, refuted)
    assert not seen_dead
    later = world.nodes["n0"].core.member_list.get("n3")
    assert later is not None and later.sequence > accused.sequence
    await world.stop()


async def _one_bad_link_kills_nobody() -> None:
    world = await _start()
    world.network.partition("n0", "n3")
    for _ in range(200):
        await world.clock.sleep(TICK)
        for node in world.nodes.values():
            for name in ("n0", "n3"):
                member = node.core.member_list.get(name)
                assert member is not None
                assert member.state is messages.MemberState.ALIVE
    await world.stop()


async def _cut_zone_is_not_judged() -> None:
    world = await _start()
    world.network.partition("zone-a", "zone-b")
    world.network.partition("zone-a", "zone-c")
    away = world.nodes["n0"].core.membership

    def suspected() -> bool:
        states = {
            member.zone: member.state
            for member in away.members()
            if member.state is not messages.MemberState.ALIVE
        }
        return set(states) == {"zone-b", "zone-c"}

    await _until(world, suspected)
    await world.clock.sleep(datetime.timedelta(seconds=120))
    dead = [
        member
        for node in world.nodes.values()
        for member in node.core.member_list.alive()
    ]
    assert len(dead) == SIZE * SIZE
    world.network.heal("zone-a", "zone-b")
    world.network.heal("zone-a", "zone-c")
    await _until(world, lambda: _alike(world, SIZE))
    await world.stop()


CASES = {
    "cut zone is not judged": _cut_zone_is_not_judged,
    "herd dies and returns": _herd_dies_and_returns,
    "one bad link kills nobody": _one_bad_link_kills_nobody,
    "suspicion is refuted": _suspicion_is_refuted,
}


async def _always_suspect(
    self: failure_detector.FailureDetector, member: messages.Member
) -> bool:
    return True


async def _never_suspect(
    self: failure_detector.FailureDetector, member: messages.Member
) -> bool:
    return False


WITHOUT = {
    "cut zone is not judged": (
        failure_detector.FailureDetector,
        "confirm_failure",
        _always_suspect,
    ),
    "herd dies and returns": (
        failure_detector.FailureDetector,
        "confirm_failure",
        _never_suspect,
    ),
    "one bad link kills nobody": (
        failure_detector.FailureDetector,
        "confirm_failure",
        _always_suspect,
    ),
    "suspicion is refuted": (
        membership.Membership,
        "_defend",
        lambda self, rumour: None,
    ),
}


@pytest.mark.parametrize("name", sorted(CASES))
def test_membership(name: str) -> None:
    virtual_time.run(CASES[name]())


@pytest.mark.parametrize("name", sorted(WITHOUT))
def test_membership_fails_without(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(*WITHOUT[name])
    with pytest.raises(AssertionError):
        virtual_time.run(CASES[name]())


def test_a_difference_costs_a_bucket() -> None:
    """Two lists that differ in one node of 1200 exchange its bucket."""
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
    found = left.members_that_differ("zone-a", right.buckets("zone-a"))
    assert "n77" in {member.node for member in found}
    assert len(found) < 1200 / member_list.BUCKETS * 3
    left.put(right.get("n77"))
    assert left.buckets("zone-a") == right.buckets("zone-a")
    right.remove("n77")
    assert left.digests() != right.digests()
