"""Metrics: the counters and gauges of one process, by name."""

import typing

from aioprometheus import collectors
from aioprometheus import renderer

__all__ = ["Metrics"]

PREFIX = "balsamramp_"


class Metrics:
    """Counters and gauges, made at first use and exported together.

    Example::

        metrics.count("calls_total", verdict="ran")
        metrics.set("configuration_version", 17)
    """

    def __init__(self) -> None:
        self._registry = collectors.Registry()
        self._counters: dict[str, collectors.Counter] = {}
        self._gauges: dict[str, collectors.Gauge] = {}

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Add ``by`` to the counter ``name`` with these labels."""
        counter = self._counters.get(name)
        if counter is None:
            counter = collectors.Counter(
                PREFIX + name, name.replace("_", " "), registry=self._registry
            )
            self._counters[name] = counter
        counter.add(labels, by)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set the gauge ``name`` with these labels to ``value``."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = collectors.Gauge(
                PREFIX + name, name.replace("_", " "), registry=self._registry
            )
            self._gauges[name] = gauge
        gauge.set(labels, value)

    def value(self, name: str, **labels: str) -> float:
        """Return the current value, or 0 if it was never touched."""
        item = self._counters.get(name) or self._gauges.get(name)
        if item is None:
            return 0.0
        try:
            return float(typing.cast(float, item.get(labels)))
        except KeyError:
            return 0.0

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the exposition text and the HTTP headers that go with it."""
        content, headers = renderer.render(self._registry, [])
        return content, dict(headers)
