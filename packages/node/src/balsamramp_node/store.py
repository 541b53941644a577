"""Store: the configuration in force on this node."""

from collections import abc
import typing

from absl import logging
from returns import result

from balsamramp_core import configuration
from balsamramp_core import kernel
from balsamramp_core import metrics

__all__ = ["ConfigurationStore", "Listener"]

HISTORY_MAX_CHANGES = 1024

Listener = abc.Callable[[configuration.Configuration], None]


class ConfigurationStore(kernel.Service):
    """Holds one configuration and only ever replaces it by a later one.

    A change or snapshot is checked entirely before the one assignment
    that brings it into force.
    """

    name = "configuration"

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self._current = configuration.EMPTY
        self._history: dict[int, configuration.Change] = {}
        self._listeners: list[Listener] = []
        self._refused: str = ""

    @property
    def current(self) -> configuration.Configuration:
        """Return the configuration in force."""
        return self._current

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with each configuration that comes into force."""
        self._listeners.append(listener)

    def offer(
        self, change: configuration.Change
    ) -> result.Result[configuration.Configuration, configuration.Refusal]:
        """Bring ``change`` into force if it follows what is in force."""
        applied = configuration.apply_change(self._current, change)
        if isinstance(applied, result.Failure):
            self._refuse(applied.failure())
            return applied
        self._history[change.version] = change
        self._history.pop(change.version - HISTORY_MAX_CHANGES, None)
        self._replace(applied.unwrap())
        return applied

    def restore(self, snapshot: configuration.Configuration) -> bool:
        """Bring a later snapshot into force; tell whether it was later."""
        if snapshot.version <= self._current.version:
            return False
        self._history.clear()
        self._replace(snapshot)
        return True

    def changes_after(self, version: int) -> list[configuration.Change] | None:
        """Return the changes after ``version``, or None if some are gone."""
        changes = []
        for number in range(version + 1, self._current.version + 1):
            change = self._history.get(number)
            if change is None:
                return None
            changes.append(change)
        return changes

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            "version": self._current.version,
            "digest": f"{self._current.digest:032x}",
            "resources": len(self._current.resources),
            "last_refusal": self._refused,
        }

    def _replace(self, later: configuration.Configuration) -> None:
        self._current = later
        self._metrics.set("configuration_version", later.version)
        for listener in self._listeners:
            listener(later)

    def _refuse(self, refusal: configuration.Refusal) -> None:
        self._metrics.count("changes_refused_total", kind=refusal.kind.value)
        if refusal.kind is configuration.RefusalKind.OLD:
            return
        self._refused = refusal.message
        logging.warning("configuration refused: %s", refusal.message)
