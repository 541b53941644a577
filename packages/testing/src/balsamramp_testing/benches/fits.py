"""Fits: a straight line through measured points."""

from collections import abc
import math

import attrs

__all__ = ["Line", "POINTS_MIN", "fit"]

POINTS_MIN = 3


@attrs.frozen
class Line:
    """y = start + slope * x; ``error`` is the root mean square residual."""

    start: float
    slope: float
    error: float

    def at(self, x: float) -> float:
        """Return the line's value at ``x``."""
        return self.start + self.slope * x


def fit(points: abc.Sequence[tuple[float, float]]) -> Line:
    """Return the line of least squares through ``points``."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    together = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = together / spread
    start = mean_y - slope * mean_x
    squares = sum((y - start - slope * x) ** 2 for x, y in points)
    return Line(start, slope, math.sqrt(squares / count))
