"""Whole nodes on fakes: a call, an unknown name, a zone taken out."""

import datetime

from balsamramp_core import verdict
from balsamramp_testing import simulation
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

ZONE_OUT = {
    "kind": "zone",
    "name": "zone-b",
    "out": True,
    "since": "2026-01-01T00:00:00Z",
}


async def _zone_is_left() -> None:
    world = simulation.Simulation(seed=1)
    extra = "[targets]\nlease = 60000"
    await world.start_node("n1", "zone-a", extra)
    await world.start_node("n2", "zone-b", extra)
    world.announce("n1", "caja-1", "caja")
    world.announce("n2", "caja-2", "caja")
    await world.apply(
        "n1",
        {"kind": "service", "name": "caja"},
        {"kind": "route", "name": "caja-all", "service": "caja"},
    )
    await world.clock.sleep(datetime.timedelta(seconds=3))
    assert await _answerers(world) == {b"caja-1", b"caja-2"}
    await world.apply("n1", ZONE_OUT)
    await world.clock.sleep(datetime.timedelta(seconds=3))
    assert await _answerers(world) == {b"caja-1"}
    reply = await world.call("n2", "cja")
    assert isinstance(reply, messages.CallFailure)
    assert reply.failure.verdict is verdict.Verdict.NOT_RUN
    assert "nearest known names: caja" in reply.failure.message
    await world.stop()


async def _answerers(world: simulation.Simulation) -> set[bytes]:
    found = set()
    for number in range(40):
        node = ("n1", "n2")[number % 2]
        reply = await world.call(node, "caja")
        assert isinstance(reply, messages.CallAnswer), reply
        found.add(reply.body)
    return found


def test_zone_taken_out_gets_no_call() -> None:
    virtual_time.run(_zone_is_left())
