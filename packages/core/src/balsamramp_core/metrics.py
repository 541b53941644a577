"""Metrics of one process, exported in the Prometheus text format."""

from collections import abc
import math
import typing

from aioprometheus import collectors
from aioprometheus import histogram
from aioprometheus import renderer

__all__ = ["Metrics"]

PREFIX = "balsamramp_"
# From the latency that a node adds to a call up to the longest wait of a
# caller.
BUCKETS_SECONDS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)


# Name of a counter or histogram, followed by its labels.
_CounterKey = tuple[typing.Any, ...]


class Metrics:
    """Counters, gauges and histograms, created on first use.

    Example::

        metrics.count("calls_total", verdict="ran")
        metrics.set("configuration_version", 17)
    """

    def __init__(self) -> None:
        self._registry = collectors.Registry()
        self._counters: dict[str, collectors.Counter] = {}
        self._pending_counts: dict[_CounterKey, int] = {}
        self._gauges: dict[str, collectors.Gauge] = {}
        self._measured: dict[str, abc.Callable[[], float]] = {}
        self._histograms: dict[str, collectors.Histogram] = {}
        self._series: dict[_CounterKey, histogram.Histogram] = {}

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Add ``by`` to the counter ``name`` with these labels."""
        # Updating a counter of the library takes longer than all other
        # bookkeeping of a call, so counts are summed up here and passed on
        # when the metrics are read.
        key = (name, *labels.items())
        self._pending_counts[key] = self._pending_counts.get(key, 0) + by

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set the gauge ``name`` with these labels to ``value``."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = collectors.Gauge(
                PREFIX + name, name.replace("_", " "), registry=self._registry
            )
            self._gauges[name] = gauge
        gauge.set(labels, value)

    def measure(self, name: str, read: abc.Callable[[], float]) -> None:
        """Set the gauge ``name`` to what ``read`` returns at each export."""
        self._measured[name] = read

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Add ``value``, in seconds, to the histogram ``name``."""
        key = (name, *labels.items())
        series = self._series.get(key)
        if series is None:
            series = self._make_series(name, labels)
            self._series[key] = series
        series.observe(value)

    def _make_series(
        self, name: str, labels: dict[str, str]
    ) -> histogram.Histogram:
        """Register the series of the histogram ``name`` with ``labels``.

        Looking a series up by its labels takes the library longer than adding
        a value to it.
        """
        bounds = (*BUCKETS_SECONDS, math.inf)
        collector = self._histograms.get(name)
        if collector is None:
            collector = collectors.Histogram(
                PREFIX + name,
                name.replace("_", " "),
                registry=self._registry,
                buckets=bounds,
            )
            self._histograms[name] = collector
        series = histogram.Histogram(*bounds)
        collector.set_value(labels, series)
        return series

    def value(self, name: str, **labels: str) -> float:
        """Return the value of a counter or gauge, 0 if it was never set."""
        self._collect()
        item = self._counters.get(name) or self._gauges.get(name)
        if item is None:
            return 0.0
        try:
            return float(typing.cast(float, item.get(labels)))
        except KeyError:
            return 0.0

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the exposition text and its HTTP headers."""
        self._collect()
        content, headers = renderer.render(self._registry, [])
        return content, dict(headers)

    def _collect(self) -> None:
        """Pass pending counts and measured gauges on to the library."""
        for name, read in self._measured.items():
            self.set(name, read())
        for (name, *labels), by in self._pending_counts.items():
            counter = self._counters.get(name)
            if counter is None:
                counter = collectors.Counter(
                    PREFIX + name,
                    name.replace("_", " "),
                    registry=self._registry,
                )
                self._counters[name] = counter
            counter.add(dict(labels), by)
        self._pending_counts.clear()
