"""The phases of a shutdown are in order and end before the grace."""

import datetime

import pytest

from balsamramp_node.process import shutdown_schedule
from balsamramp_testing import virtual_time

SECOND = datetime.timedelta(seconds=1)


async def _check_phases(grace: datetime.timedelta) -> None:
    clock = virtual_time.VirtualClock()
    schedule = shutdown_schedule.ShutdownSchedule(clock, grace)
    assert not schedule.begun
    await clock.sleep(SECOND)
    schedule.begin()
    signalled_at = clock.monotonic()
    await clock.sleep(grace / 4)
    schedule.begin()
    assert schedule.begun
    ends = [
        signalled_at,
        schedule.notice_end,
        schedule.forward_end,
        schedule.calls_end,
        schedule.answers_end,
        schedule.close_end,
        schedule.stop_end,
        schedule.exit_at,
        signalled_at + grace,
    ]
    assert ends == sorted(set(ends))
    assert schedule.calls_end >= signalled_at + grace * 5 / 6
    await schedule.wait_until(schedule.calls_end)
    assert clock.monotonic() == schedule.calls_end
    assert schedule.seconds_until(schedule.forward_end) == 0
    assert schedule.seconds_until(signalled_at + grace) > 0


@pytest.mark.parametrize("seconds", [1, 3, 6, 600])
def test_phases_are_counted_from_the_first_signal(seconds: int) -> None:
    virtual_time.run(_check_phases(seconds * SECOND))


@pytest.mark.parametrize("seconds", [6, 10, 600])
def test_no_request_is_forwarded_late_in_a_long_grace(seconds: int) -> None:
    """Guards against requests that are passed on and cut off at the end."""

    async def main() -> None:
        clock = virtual_time.VirtualClock()
        schedule = shutdown_schedule.ShutdownSchedule(clock, seconds * SECOND)
        schedule.begin()
        assert schedule.forward_end <= clock.monotonic() + 3 * SECOND

    virtual_time.run(main())
