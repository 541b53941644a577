"""When a version counts as the only one of its service with targets.

A node that does not know all targets yet must not give a new version the
calls of the old one.
"""

import datetime
import typing

import attrs
import pytest

from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_node.configuration import store
from balsamramp_node.membership import member_list
from balsamramp_node.membership import peer_discovery
from balsamramp_node.rollouts import version_presence
from balsamramp_testing import rollout_fixtures
from balsamramp_wire import messages

NONE: frozenset[str] = frozenset()
STEP = datetime.timedelta(milliseconds=250)
ABSENCE_SECONDS = version_presence.ABSENCE_TIME.total_seconds()
JOIN_SECONDS = version_presence.JOIN_TIME.total_seconds()
STATES = messages.MemberState


class _Discovery(peer_discovery.PeerDiscovery):
    """Nodes that a test registers, by zone."""

    def __init__(self) -> None:
        self.registered: dict[str, settings.Address] = {}

    @property
    def zones(self) -> frozenset[str]:
        return frozenset(name[0] for name in self.registered)

    async def read(self) -> list[settings.Address]:
        return [*self.registered.values()]


@attrs.define
class _Members:
    """The part of the membership that the presence of versions needs."""

    discovery: _Discovery
    generation: int = 0

    @property
    def discovered(self) -> list[settings.Address]:
        return [*self.discovery.registered.values()]


class _Node:
    """What one node knows; nodes of a zone have its letter first."""

    def __init__(self, *registered: str) -> None:
        self.clock = rollout_fixtures.ManualClock()
        self.listed = member_list.MemberList()
        self._discovery = _Discovery()
        self._members = _Members(self._discovery)
        self.presence = version_presence.MemberVersions(
            typing.cast(typing.Any, self._members),
            self.listed,
            self._discovery,
            store.ConfigurationStore(metrics.Metrics()),
            self.clock,
        )
        for name in registered:
            self._discovery.registered[name] = _address(name)

    def hear(
        self,
        name: str,
        version: str = "",
        state: messages.MemberState = STATES.ALIVE,
    ) -> None:
        """Take note of a node, with a target of ``version`` if given."""
        targets: tuple[messages.TargetRecord, ...] = ()
        if version:
            targets = (
                messages.TargetRecord(
                    target=f"i-{name}",
                    service="caja",
                    labels={"version": version},
                    state=messages.TargetState.READY,
                ),
            )
        self._members.generation += 1
        self.listed.put(
            messages.Member(
                node=name,
                zone=name[0],
                region="r",
                stream=_address(name),
                control=_address(name),
                admin=_address(name),
                incarnation=1,
                sequence=self._members.generation,
                state=state,
                targets=targets,
            )
        )

    def wait(self, seconds: float) -> None:
        """Let time pass, with a look at the targets at each tick."""
        end = self.clock.passed + datetime.timedelta(seconds=seconds)
        while self.clock.passed < end:
            self.clock.passed += STEP
            self.presence.refresh()

    def is_alone(self, ignored: frozenset[str] = NONE) -> bool:
        return self.presence.is_alone("caja", "v2", ignored)


def _address(name: str) -> settings.Address:
    return settings.Address(name, 1)


def test_only_version_is_found_out_in_time_after_a_start_of_all() -> None:
    node = _Node("a1", "b1")
    node.hear("a1", "v2")
    node.hear("b1")
    node.wait(ABSENCE_SECONDS - 1)
    assert not node.is_alone()
    node.wait(1.5)
    assert node.is_alone()


@pytest.mark.parametrize("seconds", [0.0, 2.0, ABSENCE_SECONDS - 0.5])
def test_old_target_that_announces_itself_late_counts(seconds: float) -> None:
    """Guards against a bad version that gets all calls at a start."""
    node = _Node("a1", "b1")
    node.hear("a1", "v2")
    node.hear("b1")
    node.wait(seconds)
    node.hear("b1", "v1")
    node.wait(60)
    assert not node.is_alone()


def test_zone_that_is_not_heard_of_may_have_the_old_version() -> None:
    """Guards against a cut zone that sees the new version only."""
    node = _Node("a1", "a2", "b1")
    node.hear("a1", "v2")
    node.hear("a2")
    node.wait(300)
    assert not node.is_alone()
    node.hear("b1", "v1")
    node.wait(60)
    assert not node.is_alone()


def test_registered_node_that_never_joins_does_not_count_for_ever() -> None:
    node = _Node("a1", "a2", "b1")
    node.hear("a1", "v2")
    node.hear("b1")
    node.wait(JOIN_SECONDS + ABSENCE_SECONDS - 1)
    assert not node.is_alone()
    node.wait(1.5)
    assert node.is_alone()


def test_targets_of_a_node_that_is_gone_without_a_word_count() -> None:
    """Guards against a partition that is taken for the end of a version."""
    node = _Node("a1", "b1")
    node.hear("a1", "v2")
    node.hear("b1", "v1")
    node.wait(60)
    node.hear("b1", "v1", STATES.DEAD)
    node.wait(60)
    assert not node.is_alone()
    node.hear("b1", "v1", STATES.LEFT)
    node.wait(ABSENCE_SECONDS + 1)
    assert node.is_alone()


def test_node_that_restarts_keeps_its_version_present() -> None:
    """Guards against the moment in which a started node has no targets."""
    node = _Node("a1", "b1")
    node.hear("a1", "v2")
    node.hear("b1", "v1")
    node.wait(60)
    node.hear("b1")
    node.wait(ABSENCE_SECONDS - 1)
    assert not node.is_alone()
    node.hear("b1", "v1")
    node.wait(60)
    assert not node.is_alone()


def test_versions_that_may_run_no_calls_do_not_count() -> None:
    node = _Node("a1", "b1")
    node.hear("a1", "v2")
    node.hear("b1", "v1")
    node.wait(60)
    assert not node.is_alone()
    assert node.is_alone(frozenset(["v1"]))


def test_version_without_targets_is_not_alone() -> None:
    node = _Node("a1", "b1")
    node.hear("a1")
    node.hear("b1")
    node.wait(60)
    assert not node.is_alone()


def test_nothing_is_alone_where_nodes_are_not_registered() -> None:
    node = _Node()
    node.hear("a1", "v2")
    node.wait(300)
    assert not node.is_alone()
