"""Loops that must last go on after an unexpected error.

A task that ended kept its exception for itself: nothing was logged, and what
the loop did was not done any more until the process was started again.
"""

import asyncio
from collections import abc
import datetime
import random
import typing
from unittest import mock

import pytest

from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_node.inbound import idempotency_store
from balsamramp_node.inbound import targets
from balsamramp_node.membership import zone_reports
from balsamramp_node.process import decision_log
from balsamramp_node.process import event_loop_monitor
from balsamramp_node.process import traffic_monitor
from balsamramp_node.rollouts import outcome_reporter
from balsamramp_node.rollouts import rollout_gossip
from balsamramp_node.rollouts import rollout_persistence
from balsamramp_testing import member_fixture
from balsamramp_testing import virtual_time

SECONDS = 30
MEMBER = member_fixture.make_member("n")
LEASE = datetime.timedelta(seconds=6)

Case = tuple[service_manager.Service, mock.Mock]


class _FailsOnce(mock.Mock):
    """Raises an error that nobody expects at its first call."""

    def __call__(self, *values: typing.Any, **named: typing.Any) -> typing.Any:
        value = super().__call__(*values, **named)
        if self.call_count == 1:
            raise ValueError("unexpected")
        return value


def _event_loop_monitor() -> Case:
    counters = mock.Mock()
    counters.observe = _FailsOnce()
    monitor = event_loop_monitor.EventLoopMonitor(
        virtual_time.VirtualClock(), counters, mock.Mock()
    )
    return monitor, counters.observe


def _traffic_monitor() -> Case:
    time = virtual_time.VirtualClock()
    unsent = _FailsOnce(return_value=0)
    decisions = decision_log.DecisionLog(decision_log.NullSink(), time)
    monitor = traffic_monitor.TrafficMonitor(
        unsent, time, metrics.Metrics(), decisions
    )
    return monitor, unsent


def _expiry_of_targets() -> Case:
    members = mock.Mock()
    time = virtual_time.VirtualClock()
    local = targets.LocalTargets(members, time, metrics.Metrics(), LEASE)
    for number in range(2):
        local.announce(
            targets.Announcement(
                target=f"i-{number}",
                service="caja",
                url=f"http://vm:8{number}",
                instance="1000",
                started_ms=1000,
                sequence=1,
                slots=4,
            )
        )
    members.set_targets = _FailsOnce()
    return local, members.set_targets


def _key_owners() -> Case:
    members = mock.Mock()
    members.members = _FailsOnce(return_value=[])
    key_store = idempotency_store.IdempotencyStore(
        "n",
        members,
        mock.Mock(),
        virtual_time.VirtualClock(),
        metrics.Metrics(),
        LEASE,
        True,
    )
    return key_store, members.members


def _zone_reports() -> Case:
    members = mock.Mock()
    members.alive_in = _FailsOnce(return_value=[MEMBER])
    configurations = mock.Mock(refused=None)
    configurations.current.version = 1
    reports = zone_reports.ZoneReports(
        MEMBER,
        members,
        mock.Mock(),
        configurations,
        virtual_time.VirtualClock(),
        random.Random(1),
    )
    return reports, members.alive_in


def _rollout_gossip() -> Case:
    members = mock.Mock(own=MEMBER)
    members.members = _FailsOnce(return_value=[])
    gossip = rollout_gossip.RolloutGossip(
        mock.MagicMock(),
        mock.MagicMock(),
        members,
        mock.Mock(),
        virtual_time.VirtualClock(),
        metrics.Metrics(),
        random.Random(1),
        has_seeds=True,
    )
    return gossip, members.members


def _rollout_persistence() -> Case:
    rollouts = mock.Mock()
    rollouts.states = _FailsOnce(return_value=[])
    persistence = rollout_persistence.RolloutPersistence(
        mock.Mock(),
        rollouts,
        mock.Mock(),
        virtual_time.VirtualClock(),
        metrics.Metrics(),
        random.Random(1),
    )
    return persistence, rollouts.states


def _outcome_reporter() -> Case:
    rollouts = mock.Mock()
    rollouts.states = _FailsOnce(return_value=[])
    reporter = outcome_reporter.OutcomeReporter(
        mock.Mock(),
        rollouts,
        mock.Mock(),
        virtual_time.VirtualClock(),
        mock.Mock(),
        random.Random(1),
    )
    return reporter, rollouts.states


@pytest.mark.parametrize(
    "make",
    [
        _event_loop_monitor,
        _traffic_monitor,
        _expiry_of_targets,
        _key_owners,
        _zone_reports,
        _rollout_gossip,
        _rollout_persistence,
        _outcome_reporter,
    ],
)
def test_loop_goes_on_after_an_unexpected_error(
    make: abc.Callable[[], Case], caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        service, dependency = make()
        await service.start()
        await asyncio.sleep(SECONDS)
        calls = dependency.call_count
        await service.stop()
        assert calls > 1
        assert "unexpected" in caplog.text

    virtual_time.run(main())


def test_node_becomes_ready_after_an_unexpected_error() -> None:
    """Guards against a node that is up and never serves a call."""

    async def main() -> None:
        gossip, _ = _rollout_gossip()
        await gossip.start()
        await asyncio.sleep(SECONDS)
        ready = typing.cast(rollout_gossip.RolloutGossip, gossip).is_ready()
        await gossip.stop()
        assert ready

    virtual_time.run(main())
