"""Announcements that arrive late or out of order have no effect.

Announcements, drains and withdrawals of a target may overtake each other. An
outdated announcement must not undo a drain or a withdrawal, replace a later
start, or claim an address that another target has taken over.
"""

import asyncio
import datetime
import typing
from unittest import mock

import attrs
import pytest
from returns import result

from balsamramp_core import metrics
from balsamramp_node.inbound import targets
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

LEASE = datetime.timedelta(seconds=6)
READY = messages.TargetState.READY
DRAINING = messages.TargetState.DRAINING
STARTING = messages.TargetState.STARTING


class _Membership:
    def __init__(self) -> None:
        self.published: tuple[messages.TargetRecord, ...] = ()

    def set_targets(self, found: tuple[messages.TargetRecord, ...]) -> None:
        self.published = found


@attrs.define
class _Vm:
    clock: virtual_time.VirtualClock = attrs.field(
        factory=virtual_time.VirtualClock
    )
    members: _Membership = attrs.field(factory=_Membership)
    local: targets.LocalTargets = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.local = targets.LocalTargets(
            typing.cast(typing.Any, self.members),
            self.clock,
            metrics.Metrics(),
            LEASE,
        )

    def announce(self, **fields: typing.Any) -> bool:
        default = targets.Announcement(
            target="i-1",
            service="caja",
            url="http://vm:80",
            instance="1000",
            started_ms=1000,
            sequence=1,
            slots=4,
        )
        announced = attrs.evolve(default, **fields)
        outcome = self.local.announce(announced)
        return isinstance(outcome, result.Success)

    def state(self, target: str = "i-1") -> messages.TargetState | None:
        found = self.local.find(target)
        return None if found is None else found.state


def _run(main: typing.Callable[[_Vm], None]) -> None:
    async def start() -> None:
        main(_Vm())

    virtual_time.run(start())


def test_target_that_starts_while_all_drain_gets_no_calls() -> None:
    def main(vm: _Vm) -> None:
        assert vm.announce()
        vm.local.drain_all()
        assert vm.announce(instance="2000", started_ms=2000)
        assert vm.state() is DRAINING
        assert vm.announce(target="i-2", url="http://vm:81")
        assert vm.state("i-2") is DRAINING
        published = [record.state for record in vm.members.published]
        assert published == [DRAINING, DRAINING]

    _run(main)


def test_late_announcement_does_not_undo_drain() -> None:
    def main(vm: _Vm) -> None:
        assert vm.announce(sequence=5)
        vm.local.drain("i-1")
        assert not vm.announce(sequence=4)
        assert vm.state() is DRAINING
        assert vm.announce(sequence=6)
        assert vm.state() is DRAINING

    _run(main)


def test_announcement_of_earlier_start_is_rejected() -> None:
    def main(vm: _Vm) -> None:
        assert vm.announce(instance="2000", started_ms=2000, sequence=1)
        assert not vm.announce(sequence=90)
        found = vm.local.find("i-1")
        assert found is not None
        assert found.announcement.started_ms == 2000

    _run(main)


def test_later_target_at_same_address_replaces_earlier_one() -> None:
    def main(vm: _Vm) -> None:
        assert vm.announce()
        assert vm.announce(target="i-2", instance="2000", started_ms=2000)
        assert vm.state() is None
        assert vm.state("i-2") is READY
        assert not vm.announce(sequence=9)
        assert vm.state("i-2") is READY

    _run(main)


def test_late_announcement_does_not_restore_withdrawn_target() -> None:
    def main(vm: _Vm) -> None:
        assert vm.announce()
        assert vm.local.withdraw("i-1")
        assert not vm.announce(sequence=9)
        assert vm.state() is None

    _run(main)


def test_target_withdrawn_while_unknown_is_rejected() -> None:
    """A node that has just started may receive a withdrawal first."""

    def main(vm: _Vm) -> None:
        started = int(vm.clock.now().timestamp() * 1000) - 5000
        assert not vm.local.withdraw("i-1")
        assert not vm.announce(started_ms=started, instance=str(started))
        assert vm.state() is None
        restarted = int(vm.clock.now().timestamp() * 1000) + 1
        assert vm.announce(started_ms=restarted, instance=str(restarted))
        assert vm.state() is READY

    _run(main)


def test_suspended_target_is_ready_after_next_announcement() -> None:
    def main(vm: _Vm) -> None:
        assert vm.announce()
        vm.local.suspend("i-1")
        assert vm.state() is STARTING
        assert vm.announce(sequence=2)
        assert vm.state() is READY

    _run(main)


async def _run_pending_tasks() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    ("health", "after_one", "after_two"),
    [
        (targets.Health.SERVING, READY, READY),
        (targets.Health.LEAVING, DRAINING, DRAINING),
        (targets.Health.UNHEALTHY, STARTING, STARTING),
        (targets.Health.UNKNOWN, STARTING, STARTING),
    ],
)
def test_target_older_than_its_node_is_probed_first(
    health: targets.Health,
    after_one: messages.TargetState,
    after_two: messages.TargetState,
) -> None:
    """The target may have told the previous process that it leaves."""

    async def main() -> None:
        vm = _Vm()

        async def probe_health(
            announcement: targets.Announcement,
        ) -> targets.Health:
            return health

        vm.local.probe_health = probe_health
        assert vm.announce()
        assert vm.state() is STARTING
        await _run_pending_tasks()
        assert vm.state() is after_one
        assert not vm.announce(sequence=0)
        assert vm.state() is after_one
        assert vm.announce(sequence=2)
        assert vm.state() is after_two

    virtual_time.run(main())


@attrs.define
class _Probe:
    """Health checks that give ``health``, and how many there were."""

    health: targets.Health
    count: int = 0

    async def check(
        self, announcement: targets.Announcement
    ) -> targets.Health:
        self.count += 1
        return self.health


async def _announce_for(
    vm: _Vm, duration: datetime.timedelta, sequence: int
) -> int:
    """Announce i-1 each second, and return the next sequence number."""
    end = vm.clock.monotonic() + duration
    while vm.clock.monotonic() < end:
        await vm.clock.sleep(datetime.timedelta(seconds=1))
        assert vm.announce(sequence=sequence)
        sequence += 1
    return sequence


def test_target_that_fails_its_first_probe_is_ready_once_it_serves() -> None:
    """Guards against a target that is drained for good by a failed probe."""

    async def main() -> None:
        vm = _Vm()
        probe = _Probe(targets.Health.UNHEALTHY)
        vm.local.probe_health = probe.check
        assert vm.announce()
        sequence = await _announce_for(vm, datetime.timedelta(seconds=5), 2)
        assert vm.state() is STARTING
        probe.health = targets.Health.SERVING
        await vm.clock.sleep(targets.PROBE_INTERVAL_MAX)
        assert vm.state() is READY
        assert vm.members.published[0].state is READY
        checks = probe.count
        await _announce_for(vm, datetime.timedelta(seconds=20), sequence)
        assert probe.count == checks

    virtual_time.run(main())


@pytest.mark.parametrize(
    "health", [targets.Health.UNHEALTHY, targets.Health.UNKNOWN]
)
def test_target_that_goes_on_to_announce_itself_is_used_without_a_check(
    health: targets.Health,
) -> None:
    """Guards against a false health check that shuts a target out."""

    async def main() -> None:
        vm = _Vm()
        probe = _Probe(health)
        vm.local.probe_health = probe.check
        assert vm.announce()
        delay_max = targets.ANNOUNCEMENT_DELAY_MAX
        sequence = await _announce_for(vm, delay_max, 2)
        assert vm.state() is STARTING
        await _announce_for(vm, datetime.timedelta(seconds=2), sequence)
        assert vm.state() is READY

    virtual_time.run(main())


def test_late_announcements_do_not_restore_a_target_that_has_left() -> None:
    """Guards against two late announcements after a restart of the node."""

    async def main() -> None:
        vm = _Vm()
        probe = _Probe(targets.Health.UNKNOWN)
        vm.local.probe_health = probe.check
        for sequence in (1, 2, 3):
            assert vm.announce(sequence=sequence)
            await _run_pending_tasks()
            assert vm.state() is STARTING
        probe.health = targets.Health.UNHEALTHY
        await vm.clock.sleep(LEASE / 2)
        assert vm.state() is STARTING
        await vm.clock.sleep(LEASE)
        assert vm.state() is None

    virtual_time.run(main())


def test_target_that_says_that_it_drains_is_not_probed_further() -> None:
    async def main() -> None:
        vm = _Vm()
        probe = _Probe(targets.Health.UNHEALTHY)
        vm.local.probe_health = probe.check
        assert vm.announce()
        await _run_pending_tasks()
        vm.local.drain("i-1")
        probe.health = targets.Health.SERVING
        await _announce_for(vm, datetime.timedelta(seconds=15), 2)
        assert probe.count == 1
        assert vm.state() is DRAINING

    virtual_time.run(main())


def test_target_at_whose_address_another_responds_stays_out() -> None:
    async def main() -> None:
        vm = _Vm()
        probe = _Probe(targets.Health.LEAVING)
        vm.local.probe_health = probe.check
        assert vm.announce()
        await _run_pending_tasks()
        probe.health = targets.Health.SERVING
        await _announce_for(vm, datetime.timedelta(seconds=15), 2)
        assert probe.count == 1
        assert vm.state() is DRAINING

    virtual_time.run(main())


@pytest.mark.parametrize(
    "stray_started_ms",
    [1, 5000],
    ids=["earlier start", "later start"],
)
@pytest.mark.parametrize(
    "health",
    [
        targets.Health.UNKNOWN,
        targets.Health.UNHEALTHY,
        targets.Health.LEAVING,
    ],
)
def test_announcement_of_another_writer_does_not_shut_a_target_out(
    health: targets.Health, stray_started_ms: int
) -> None:
    """Guards against a stray announcement at the address of a target."""

    async def main() -> None:
        vm = _Vm()
        vm.local.probe_health = _Probe(health).check
        now_ms = int(vm.clock.now().timestamp() * 1000)
        own = {"started_ms": now_ms + 1000, "instance": "own"}
        stray = {
            "target": "stray",
            "service": "unknown",
            "started_ms": now_ms + stray_started_ms,
            "instance": "stray",
        }
        assert vm.announce(**own)
        assert vm.announce(**stray)
        for sequence in range(2, 20):
            await vm.clock.sleep(datetime.timedelta(seconds=1))
            vm.announce(sequence=sequence, **stray)
            assert vm.announce(sequence=sequence, **own)
            assert vm.state() is READY

    virtual_time.run(main())


def test_target_gets_its_address_back_from_another_writer() -> None:
    """Guards against a stray announcement that comes before its own."""

    async def main() -> None:
        vm = _Vm()
        vm.local.probe_health = _Probe(targets.Health.SERVING).check
        now_ms = int(vm.clock.now().timestamp() * 1000)
        assert vm.announce(
            target="stray", started_ms=now_ms + 5000, instance="stray"
        )
        assert vm.announce(started_ms=now_ms + 1, instance="own")
        await _run_pending_tasks()
        assert vm.state() is READY
        assert vm.state("stray") is None

    virtual_time.run(main())


def test_target_that_serves_at_an_address_replaces_the_earlier_one() -> None:
    async def main() -> None:
        vm = _Vm()
        probe = _Probe(targets.Health.UNKNOWN)
        vm.local.probe_health = probe.check
        now_ms = int(vm.clock.now().timestamp() * 1000)
        assert vm.announce(started_ms=now_ms + 1)
        later = {"target": "i-2", "started_ms": now_ms + 5000}
        assert vm.announce(**later)
        await _run_pending_tasks()
        assert vm.state("i-2") is STARTING
        probe.health = targets.Health.SERVING
        await vm.clock.sleep(targets.PROBE_INTERVAL_MAX)
        assert vm.state("i-2") is READY
        assert vm.state() is None
        assert not vm.announce(started_ms=now_ms + 1, sequence=9)

    virtual_time.run(main())


def test_target_younger_than_its_node_is_not_probed() -> None:
    async def main() -> None:
        vm = _Vm()

        async def probe_health(
            announcement: targets.Announcement,
        ) -> targets.Health:
            raise AssertionError

        vm.local.probe_health = probe_health
        started = int(vm.clock.now().timestamp() * 1000) + 1
        assert vm.announce(started_ms=started, instance=str(started))
        assert vm.state() is READY

    virtual_time.run(main())


def test_target_without_start_time_may_withdraw_and_return() -> None:
    def main(vm: _Vm) -> None:
        without_start = {"started_ms": 0, "instance": "", "sequence": 0}
        assert vm.announce(**without_start)
        assert vm.local.withdraw("i-1")
        assert vm.announce(**without_start)

    _run(main)


def test_target_that_leaves_is_not_ready_again_before_its_next_start() -> None:
    def main(vm: _Vm) -> None:
        assert vm.announce()
        found = vm.local.find("i-1")
        assert found is not None
        vm.local.drain_for_good(found.announcement)
        assert vm.announce(sequence=6)
        assert vm.state() is DRAINING
        del vm.local._targets["i-1"]
        assert vm.announce(sequence=7)
        assert vm.state() is DRAINING
        assert vm.announce(instance="2000", started_ms=2000, sequence=1)
        assert vm.state() is READY

    _run(main)


def test_target_is_checked_again_after_an_unexpected_error() -> None:
    """Guards against a target that never serves as its check ended."""

    async def main() -> None:
        vm = _Vm()
        vm.local.probe_health = mock.AsyncMock(
            side_effect=[ValueError("unexpected"), targets.Health.SERVING]
        )
        assert vm.announce()
        await vm.clock.sleep(targets.PROBE_INTERVAL_MAX)
        assert vm.state() is READY

    virtual_time.run(main())


def test_rival_of_a_service_that_is_not_expected_holds_no_target_up() -> None:
    """Guards against strays at the address of a target without checks."""

    async def main() -> None:
        vm = _Vm()
        vm.local.probe_health = _Probe(targets.Health.UNKNOWN).check
        vm.local.is_expected = lambda service: service == "caja"
        now_ms = int(vm.clock.now().timestamp() * 1000)
        stray = {"target": "stray", "service": "legado"}
        assert vm.announce(started_ms=now_ms + 9000, **stray)
        assert vm.state("stray") is STARTING
        assert vm.announce(started_ms=now_ms + 1)
        assert vm.state() is READY

    virtual_time.run(main())


def test_target_of_a_service_that_is_not_expected_is_checked_first() -> None:
    async def main() -> None:
        vm = _Vm()
        probe = _Probe(targets.Health.UNKNOWN)
        vm.local.probe_health = probe.check
        vm.local.is_expected = lambda service: service != "caja"
        now_ms = int(vm.clock.now().timestamp() * 1000)
        assert vm.announce(started_ms=now_ms + 1)
        assert vm.state() is STARTING
        probe.health = targets.Health.SERVING
        await vm.clock.sleep(targets.PROBE_INTERVAL_MAX)
        assert vm.state() is READY

    virtual_time.run(main())


@pytest.mark.parametrize(
    ("stated_ms", "known_ms", "left"),
    [
        # The known start ends, whether it is stated or not.
        (2000, 2000, None),
        (0, 2000, None),
        # An earlier start ends after the next one has announced itself.
        (1000, 2000, READY),
    ],
)
def test_withdrawal_ends_one_start_of_a_target(
    stated_ms: int, known_ms: int, left: messages.TargetState | None
) -> None:
    def main(vm: _Vm) -> None:
        assert vm.announce(started_ms=known_ms, instance=str(known_ms))
        assert vm.local.withdraw("i-1", stated_ms) is (left is None)
        assert vm.state() is left

    _run(main)


def test_next_start_is_accepted_whenever_the_last_one_is_withdrawn() -> None:
    """Guards against a withdrawal that is handled after the next start."""

    def main(vm: _Vm) -> None:
        now_ms = int(vm.clock.now().timestamp() * 1000)
        born = now_ms - 5000
        assert vm.announce(started_ms=born, instance=str(born))
        next_born = now_ms - 100
        assert vm.local.withdraw("i-1")
        assert not vm.announce(started_ms=born, instance=str(born))
        assert vm.announce(started_ms=next_born, instance=str(next_born))
        assert vm.state() is READY

    _run(main)
