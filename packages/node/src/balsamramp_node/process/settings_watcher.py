"""Settings watch: notices that the settings file has changed."""

from collections import abc
import datetime
import pathlib

from absl import logging
from returns import result

from balsamramp_core import clock
from balsamramp_core import settings

__all__ = ["SettingsWatcher"]

# The file may change without a signal; a change is in force within this.
INTERVAL = datetime.timedelta(seconds=1)


class SettingsWatcher:
    """Reads the file again when it changed, and hands on what is valid."""

    def __init__(
        self,
        path: pathlib.Path,
        options: abc.Sequence[settings.Option],
        changed: abc.Callable[[settings.Settings], None],
        time: clock.Clock,
    ) -> None:
        self._path = path
        self._options = options
        self._changed = changed
        self._clock = time
        self._text = self._read()

    async def run(self) -> None:
        """Look again and again."""
        while True:
            await self._clock.sleep(INTERVAL)
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Take over the settings if the file changed."""
        text = self._read()
        if text is None or text == self._text:
            return
        self._text = text
        checked = settings.parse(text, str(self._path), self._options)
        if isinstance(checked, result.Failure):
            logging.error("settings stay as they were: %s", checked.failure())
            return
        self._changed(checked.unwrap())

    def _read(self) -> str | None:
        try:
            return self._path.read_text(encoding="utf-8")
        except OSError as error:
            logging.warning("cannot read %s: %s", self._path, error)
            return None
