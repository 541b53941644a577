"""Faults: the kinds of fault, each as timed statements of a scenario."""

import datetime

import attrs

__all__ = ["FAULTS", "Fault"]


def _at(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


@attrs.frozen
class Fault:
    """Statements that bring a fault about, by the time after its start."""

    name: str
    statements: tuple[tuple[datetime.timedelta, str], ...]


def _fault(name: str, *statements: tuple[float, str]) -> Fault:
    timed = tuple((_at(seconds), text) for seconds, text in statements)
    return Fault(name, timed)


MORE_LOAD = (0.0, "load catalogo 100/s for 10s from zone-a idempotent /pagos")

FAULTS: dict[str, Fault] = {
    item.name: item
    for item in (
        _fault("none"),
        _fault("node-killed", (0.0, "kill node a1"), (2.0, "start node a1")),
        _fault(
            "node-and-target-killed",
            (0.0, "kill node b1"),
            (0.0, "kill target caja-3"),
            (2.0, "start node b1"),
            (2.0, "start target caja-3"),
        ),
        _fault(
            "herd-killed",
            (0.0, "kill node a1"),
            (0.0, "kill node a2"),
            (0.0, "kill node a3"),
            (0.0, "kill target caja-1"),
            (0.0, "kill target caja-2"),
            (0.0, "kill target catalogo-1"),
            (2.0, "start node a1"),
            (2.0, "start node a2"),
            (2.0, "start node a3"),
            (2.0, "start target caja-1"),
            (2.0, "start target caja-2"),
            (2.0, "start target catalogo-1"),
        ),
        _fault("node-frozen", (0.0, "freeze node b1"), (2.5, "thaw node b1")),
        _fault(
            "target-killed",
            (0.0, "kill target caja-1"),
            (1.5, "start target caja-1"),
        ),
        _fault(
            "target-cold-again",
            (0.0, "change caja-3 slots 1"),
            (2.0, "change caja-3 slots 20"),
        ),
        _fault(
            "answers-late",
            (0.0, "change caja-1 slow 3s"),
            (1.5, "change caja-1 slow 0s"),
        ),
        _fault("platform-down", (0.0, "platform down"), (4.0, "platform up")),
        _fault(
            "platform-slow",
            (0.0, "platform slow 800ms"),
            (4.0, "platform slow 0s"),
        ),
        _fault("platform-answer-lost", (0.0, "platform loses answer")),
        _fault("platform-write-lost", (0.0, "platform loses write")),
        _fault(
            "updates-crossed",
            (0.0, "meanwhile label caja-1 note=left through a1"),
            (0.0, "meanwhile label caja-1 note=right through b1"),
            (0.0, "meanwhile zone zone-c out through c1"),
            (0.0, "meanwhile zone zone-c in through c2"),
        ),
        _fault(
            "zones-cut",
            (0.0, "cut zone-a from zone-b"),
            (2.5, "heal zone-a from zone-b"),
        ),
        _fault(
            "zone-alone",
            (0.0, "cut zone-b from zone-a"),
            (0.0, "cut zone-b from zone-c"),
            (0.0, "cut zone-b from platform"),
            (3.0, "heal zone-b from zone-a"),
            (3.0, "heal zone-b from zone-c"),
            (3.0, "heal zone-b from platform"),
        ),
        _fault("connections-silent", (0.0, "silence a1"), (0.0, "silence b1")),
        _fault("messages-lost", (0.0, "lose 20%"), (3.0, "lose 0%")),
        _fault("version-fails", (0.0, "change catalogo-3 fails"), MORE_LOAD),
        _fault(
            "version-fails-later",
            (0.0, "change catalogo-3 fails after 3s"),
            MORE_LOAD,
        ),
        _fault(
            "version-fails-under-load",
            (0.0, "change catalogo-3 fails over 2"),
            MORE_LOAD,
        ),
        _fault(
            "version-fails-on-route",
            (0.0, "change catalogo-3 fails on /pagos"),
            MORE_LOAD,
        ),
        _fault(
            "version-slow", (0.0, "change catalogo-3 slow 500ms"), MORE_LOAD
        ),
    )
}
