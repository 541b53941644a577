"""Settings that are read while they are written."""

import asyncio
import datetime
import os
import pathlib

from returns import result

from balsamramp_core import settings
from balsamramp_node.process import settings_reader
from balsamramp_testing import virtual_time

OPTIONS = (
    settings.Option(section="node", name="id", kind="name", doc="Name"),
    settings.Option(
        section="node", name="port", kind="int", doc="Port", default="1"
    ),
)
WHOLE = "[node]\nid = one\nport = 1234\n"
SECOND = datetime.timedelta(seconds=1)


class _Trial:
    """Reads a file in virtual time, in which its text changes."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self.errors: list[str] = []
        self.elapsed = datetime.timedelta()

    def read(
        self, *texts: str
    ) -> result.Result[settings_reader.Reading, settings.SettingsError]:
        """Read while each of the texts follows the one before by 50 ms."""

        async def main() -> result.Result[
            settings_reader.Reading, settings.SettingsError
        ]:
            clock = virtual_time.VirtualClock()

            async def write() -> None:
                for text in texts:
                    self._path.write_text(text)
                    now = clock.now().timestamp()
                    os.utime(self._path, (now, now))
                    await clock.sleep(SECOND * 0.05)

            writing = asyncio.create_task(write())
            await asyncio.sleep(0)
            reader = settings_reader.SettingsReader(
                self._path,
                OPTIONS,
                clock,
                lambda error: self.errors.append(str(error)),
            )
            begun_at = clock.monotonic()
            reading = await reader.read()
            self.elapsed = clock.monotonic() - begun_at
            await writing
            return reading

        return virtual_time.run(main())


def test_settings_cut_in_a_number_are_read_again(
    tmp_path: pathlib.Path,
) -> None:
    trial = _Trial(tmp_path / "node.ini")
    reading = trial.read("[node]\nid = one\nport = 12", WHOLE)
    assert reading.unwrap().settings.integer("node", "port") == 1234
    assert trial.elapsed < SECOND
    assert trial.errors == []


def test_settings_that_stay_are_read_once(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "node.ini"
    path.write_text(WHOLE)
    os.utime(path, (0, 0))
    trial = _Trial(path)
    assert trial.read().unwrap().text == WHOLE
    assert trial.elapsed == datetime.timedelta()


def test_settings_that_stay_invalid_are_reported_once(
    tmp_path: pathlib.Path,
) -> None:
    trial = _Trial(tmp_path / "node.ini")
    reading = trial.read("[node]\nid = ?\n")
    assert isinstance(reading, result.Failure)
    assert trial.errors == [str(reading.failure())]
    assert trial.elapsed >= settings_reader.WAIT_MAX
