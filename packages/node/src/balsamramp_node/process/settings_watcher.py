"""Reloads the settings file when it changes."""

from collections import abc
import datetime
import pathlib

from absl import logging
from returns import result

from balsamramp_core import clock
from balsamramp_core import settings

__all__ = ["SettingsWatcher"]

# Upper bound for the time until a change without a signal is in force.
POLL_INTERVAL = datetime.timedelta(seconds=1)


class SettingsWatcher:
    """Polls the settings file and passes valid changes to ``on_change``.

    ``text`` is the text of the file whose settings are in force, which may
    have changed since it was read.
    """

    def __init__(
        self,
        path: pathlib.Path,
        text: str,
        options: abc.Sequence[settings.Option],
        on_change: abc.Callable[[settings.Settings], None],
        time: clock.Clock,
    ) -> None:
        self._path = path
        self._options = options
        self._on_change = on_change
        self._clock = time
        self._text = text

    async def run(self) -> None:
        """Poll the file periodically."""
        while True:
            await self._clock.sleep(POLL_INTERVAL)
            try:
                self.reload_if_changed()
            except Exception:
                logging.exception(
                    "reading the settings failed by an unexpected error;"
                    " reading them again at their next change"
                )

    def reload_if_changed(self) -> None:
        """Read the file and report its settings if the text has changed."""
        text = self._read()
        if text is None or text == self._text:
            return
        self._text = text
        checked = settings.parse(text, str(self._path), self._options)
        if isinstance(checked, result.Failure):
            logging.error(
                "invalid settings; keeping the previous ones: %s",
                checked.failure(),
            )
            return
        self._on_change(checked.unwrap())

    def _read(self) -> str | None:
        text = settings.read_text(self._path)
        if isinstance(text, result.Failure):
            logging.warning("keeping the current settings: %s", text.failure())
        return text.value_or(None)
