"""Reads the settings file at the start, also while it is being written."""

from collections import abc
import datetime
import pathlib

import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import settings

__all__ = ["Reading", "SettingsReader"]

RETRY_INTERVAL = datetime.timedelta(milliseconds=100)
# Text that was changed since may be a part of what is being written.
SETTLED_AGE = datetime.timedelta(milliseconds=100)
# Longest wait for valid settings that do not change any more.
WAIT_MAX = datetime.timedelta(seconds=5)


@attrs.frozen
class Reading:
    """Valid settings and the text that they were parsed from."""

    text: str
    settings: settings.Settings


class SettingsReader:
    """Reads the file until its settings are valid and it does not change.

    ``on_invalid`` is called with each error that differs from the last one,
    as soon as it is found.
    """

    def __init__(
        self,
        path: pathlib.Path,
        options: abc.Sequence[settings.Option],
        time: clock.Clock,
        on_invalid: abc.Callable[[settings.SettingsError], None],
    ) -> None:
        self._path = path
        self._options = options
        self._clock = time
        self._on_invalid = on_invalid

    async def read(self) -> result.Result[Reading, settings.SettingsError]:
        """Return the settings, or their error after ``WAIT_MAX``."""
        until = self._clock.monotonic() + WAIT_MAX
        reading = self._read()
        reported: settings.SettingsError | None = None
        if self._is_settled(reading):
            return reading
        while True:
            if isinstance(reading, result.Failure):
                error = reading.failure()
                if error != reported:
                    self._on_invalid(error)
                    reported = error
            await self._clock.sleep(RETRY_INTERVAL)
            previous, reading = reading, self._read()
            if isinstance(reading, result.Success) and reading == previous:
                return reading
            if self._clock.monotonic() >= until:
                return reading

    def _read(self) -> result.Result[Reading, settings.SettingsError]:
        return settings.read_text(self._path).bind(
            lambda text: settings.parse(
                text, str(self._path), self._options
            ).map(lambda checked: Reading(text, checked))
        )

    def _is_settled(
        self, reading: result.Result[Reading, settings.SettingsError]
    ) -> bool:
        if isinstance(reading, result.Failure):
            return False
        try:
            changed_at = self._path.stat().st_mtime
        except OSError:
            return False
        age = self._clock.now().timestamp() - changed_at
        return age >= SETTLED_AGE.total_seconds()
