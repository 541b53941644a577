"""The router lists the targets of a call at a cost that does not grow."""

import collections
import random
import typing

import pytest

from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core.resources import labels
from balsamramp_core.resources import zone
from balsamramp_node.configuration import store
from balsamramp_node.outbound import router
from balsamramp_testing import member_fixture
from balsamramp_wire import messages

ZONES = ("a", "b", "c", "d", "e")


class _Members:
    generation = 1

    def __init__(self, count: int) -> None:
        self._members = [_member(number) for number in range(count)]

    def members(self) -> list[messages.Member]:
        return self._members


class _Rollouts:
    """Allows version 1 only, and counts how often it is asked."""

    def __init__(self) -> None:
        self.asked = 0

    def is_version_allowed(self, *call: object) -> bool:
        self.asked += 1
        return call[1] == "1"


class _Zones:
    def __init__(self) -> None:
        self.out: frozenset[str] = frozenset()
        self.asked: collections.Counter[str] = collections.Counter()

    def admits(self, name: str, call_id: str) -> bool:
        self.asked[name] += 1
        return name != "e"

    def put(self, name: str, item: zone.Zone | None) -> None:
        self.out = frozenset([name] if item is not None else [])


def _member(number: int) -> messages.Member:
    record = messages.TargetRecord(
        target=f"t{number}",
        service="s",
        labels={"version": "2" if number % 7 == 0 else "1"},
        state=messages.TargetState.READY,
    )
    return member_fixture.make_member(
        f"n{number}", zone=ZONES[number % len(ZONES)], targets=(record,)
    )


class _Fixture:
    def __init__(self, count: int) -> None:
        self.rollouts = _Rollouts()
        self.zones = _Zones()
        counters = metrics.Metrics()
        self.router = router.Router(
            store.ConfigurationStore(counters),
            typing.cast(typing.Any, _Members(count)),
            typing.cast(typing.Any, self.rollouts),
            typing.cast(typing.Any, self.zones),
            counters,
        )

    def targets(self) -> list[str]:
        found = self.router.service_candidates("s", {}, "call")
        return sorted(item.record.target for item in found)


def test_targets_are_those_of_allowed_versions_and_zones() -> None:
    fixture = _Fixture(35)
    expected = [
        f"t{number}"
        for number in range(35)
        if number % 7 and number % len(ZONES) != ZONES.index("e")
    ]
    assert fixture.targets() == sorted(expected)


def test_operators_labels_override_those_of_targets() -> None:
    fixture = _Fixture(35)
    assert "t7" not in fixture.targets()
    overrides = labels.Labels(name="t7", labels={"version": "1"})
    current = store.configuration.merge(
        store.configuration.EMPTY, 1, (overrides,), ()
    )
    key = resource.ResourceKey(labels.Labels.kind, "t7")
    fixture.router._apply_changes(current, [key])
    assert "t7" in fixture.targets()


@pytest.mark.parametrize("count", [35, 350])
def test_checks_do_not_grow_with_the_number_of_targets(count: int) -> None:
    """Guards against a check of each target of a large fleet for each call."""
    fixture = _Fixture(count)
    fixture.targets()
    assert fixture.rollouts.asked == 2 * len(ZONES)
    assert max(fixture.zones.asked.values()) == 1


def test_order_of_members_does_not_matter() -> None:
    fixture = _Fixture(35)
    before = fixture.targets()
    members = fixture.router._members.members()
    random.Random(1).shuffle(members)
    fixture.router._generation = -1
    assert fixture.targets() == before
