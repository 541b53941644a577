"""Cases: faults alone, twice in a row and in pairs, as scenarios."""

import datetime
import itertools
import random

import attrs

from balsamramp_testing.prove import faults

__all__ = ["Case", "all_cases", "chosen_cases"]

SEEDS = (1, 2, 3)
FIRST_AT = datetime.timedelta(seconds=4)
PAIR_GAP = datetime.timedelta(milliseconds=600)
TWICE_GAP = datetime.timedelta(seconds=4, milliseconds=500)
CHOSEN_TWICE = 4
CHOSEN_PAIRS = 8
CHOICE_SEED = 2026

PLACES = """\
region sur-uy
node a1 in zone-a
node a2 in zone-a
node a3 in zone-a
node b1 in zone-b
node b2 in zone-b
node b3 in zone-b
node c1 in zone-c
node c2 in zone-c
target caja-1 of caja on a1 delay 100ms
target caja-2 of caja on a2 delay 100ms
target caja-3 of caja on b1 delay 100ms
target caja-4 of caja on b2 delay 100ms
target caja-5 of caja on c1 delay 100ms cold 4 for 3s
target catalogo-1 of catalogo on a3
target catalogo-2 of catalogo on b3
target catalogo-3 of catalogo on c2 version v2
service caja
service catalogo
route caja-all to caja
route catalogo-all to catalogo
route catalogo-pagos to catalogo path /pagos
"""
EVENTS: tuple[tuple[float, str], ...] = (
    (2.0, "load caja 15/s for 11s from zone-a booking"),
    (2.0, "load caja 12/s for 11s from zone-b keyed"),
    (2.0, "load caja 10/s for 11s from zone-c idempotent"),
    (2.0, "load catalogo 20/s for 11s from zone-a idempotent"),
    (2.0, "load catalogo 8/s for 11s from zone-b idempotent /pagos"),
    (2.0, "every 700ms until 12s label caja-1 note=change"),
    (3.0, "rollout noche of catalogo from v1 to v2 by 8s"),
    (5.0, "meanwhile zone zone-b out"),
    (5.5, "kill target caja-5"),
    (6.0, "start target caja-5"),
    (8.0, "leave target caja-2"),
    (9.5, "meanwhile zone zone-b in"),
    (10.0, "meanwhile stop node c1"),
)


@attrs.frozen
class Case:
    """One scenario: its faults with their times, and a seed."""

    name: str
    faults: tuple[tuple[datetime.timedelta, str], ...]
    seed: int

    @property
    def text(self) -> str:
        """Return the scenario."""
        events = [
            (datetime.timedelta(seconds=seconds), text)
            for seconds, text in EVENTS
        ]
        for began, name in self.faults:
            for after, text in faults.FAULTS[name].statements:
                events.append((began + after, text))
        events.sort(key=lambda event: event[0])
        lines = [
            f"at {round(at.total_seconds() * 1000)}ms {text}"
            for at, text in events
        ]
        return PLACES + "\n".join(lines) + "\n"


def _alone(name: str, seed: int) -> Case:
    return Case(f"{name}-{seed}", ((FIRST_AT, name),), seed)


def _twice(name: str, seed: int) -> Case:
    timed = ((FIRST_AT, name), (FIRST_AT + TWICE_GAP, name))
    return Case(f"{name}-twice-{seed}", timed, seed)


def _pair(left: str, right: str, seed: int) -> Case:
    timed = ((FIRST_AT, left), (FIRST_AT + PAIR_GAP, right))
    return Case(f"{left}-and-{right}-{seed}", timed, seed)


def all_cases() -> list[Case]:
    """Return each fault alone, twice and with each other, by each seed."""
    names = list(faults.FAULTS)
    real = names[1:]
    found = [_alone(name, seed) for name in names for seed in SEEDS]
    found += [_twice(name, seed) for name in real for seed in SEEDS]
    for left, right in itertools.combinations(real, 2):
        found += [_pair(left, right, seed) for seed in SEEDS]
    return found


def chosen_cases() -> list[Case]:
    """Return a fixed choice that takes about a minute.

    Each fault is in it alone with each seed, and some twice and in
    pairs; the choice is drawn with a fixed seed.
    """
    choice = random.Random(CHOICE_SEED)
    names = list(faults.FAULTS)
    found = [_alone(name, seed) for name in names for seed in SEEDS]
    rest = all_cases()[len(found) :]
    twice = [case for case in rest if "-twice-" in case.name]
    pairs = [case for case in rest if "-and-" in case.name]
    pairs = [case for case in pairs if "-twice-" not in case.name]
    found += choice.sample(twice, CHOSEN_TWICE)
    return found + choice.sample(pairs, CHOSEN_PAIRS)
