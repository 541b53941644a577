"""Settings that change at any time, also while the process starts."""

import asyncio
import pathlib
from unittest import mock

import pytest

from balsamramp_core import clock
from balsamramp_core import settings
from balsamramp_node.process import settings_watcher
from balsamramp_testing import virtual_time

OPTIONS = (
    settings.Option(
        section="node", name="service", kind="name", doc="Service"
    ),
)


def test_settings_changed_between_reading_and_watching_come_into_force(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "node.ini"
    path.write_text("[node]\nservice = before\n")
    text = settings.read_text(path).unwrap()
    path.write_text("[node]\nservice = after\n")
    services: list[str] = []
    watcher = settings_watcher.SettingsWatcher(
        path,
        text,
        OPTIONS,
        lambda checked: services.append(checked.text("node", "service")),
        clock.SystemClock(),
    )
    watcher.reload_if_changed()
    assert services == ["after"]


def test_settings_are_read_again_after_an_unexpected_error(
    tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against changes that never come into force any more."""

    async def main() -> None:
        path = tmp_path / "node.ini"
        path.write_text("[node]\nservice = one\n")
        on_change = mock.Mock(side_effect=[ValueError("unexpected"), None])
        time = virtual_time.VirtualClock()
        watcher = settings_watcher.SettingsWatcher(
            path, "", OPTIONS, on_change, time
        )
        task = asyncio.create_task(watcher.run())
        await time.sleep(2 * settings_watcher.POLL_INTERVAL)
        path.write_text("[node]\nservice = two\n")
        await time.sleep(2 * settings_watcher.POLL_INTERVAL)
        task.cancel()
        assert on_change.call_count == 2
        assert "unexpected" in caplog.text

    virtual_time.run(main())
