"""Sequential test of whether the new version is worse than the old one.

Each stratum (one availability zone, one time window) is a two-by-two
table of calls and bad calls of both versions. For fixed rates ``a`` of
the old and ``b`` of the new version, the likelihood under (a, b) divided
by the likelihood under their pooled rate has an expectation of at most 1
if both versions have the same rate, whatever that rate is. Products over
strata and means over rates and over the window of the change preserve
this bound, so the probability that the mean ever reaches ``1 / alpha`` is
at most ``alpha``, no matter how often the test is evaluated (Ville's
inequality).
"""

from collections import abc
import functools
import math
import operator

import attrs

__all__ = ["Stratum", "likelihood_ratio", "window_logs"]

# Grid of alternative rates of bad calls, in which the new version is at least
# ``RATIO_MIN`` times worse.
OLD_RATES = (0.002, 0.02, 0.1, 0.3)
NEW_RATES = (0.02, 0.08, 0.25, 0.6, 0.95)
RATIO_MIN = 2.0
# Log ratios are capped so that the sum of their exponentials stays finite;
# terms below the minimum are negligible and are skipped.
EXPONENT_MAX = 600.0
EXPONENT_MIN = -30.0
CACHE_ENTRIES = 65536

WindowLogs = tuple[float, ...] | None

RATES = tuple(
    (old, new)
    for old in OLD_RATES
    for new in NEW_RATES
    if new >= RATIO_MIN * old
)


@attrs.frozen
class Stratum:
    """Calls and bad calls of both versions in one zone and window."""

    old_calls: int
    old_bad: int
    new_calls: int
    new_bad: int


@functools.lru_cache(CACHE_ENTRIES)
def _log_ratios(stratum: Stratum) -> tuple[float, ...]:
    calls = stratum.old_calls + stratum.new_calls
    bad = stratum.old_bad + stratum.new_bad
    log_ratios = []
    for old, new in RATES:
        weighted = stratum.old_calls * old + stratum.new_calls * new
        pooled = weighted / calls
        alternative = _log_likelihood(
            stratum.old_calls, stratum.old_bad, old
        ) + _log_likelihood(stratum.new_calls, stratum.new_bad, new)
        log_ratios.append(alternative - _log_likelihood(calls, bad, pooled))
    return tuple(log_ratios)


def _log_likelihood(calls: int, bad: int, rate: float) -> float:
    return bad * math.log(rate) + (calls - bad) * math.log1p(-rate)


def window_logs(strata: abc.Iterable[Stratum]) -> WindowLogs:
    """Return the log ratios of one window, one for each pair of rates.

    Return None if no stratum has calls of both versions.
    """
    sums: list[float] | None = None
    for stratum in strata:
        if not stratum.old_calls or not stratum.new_calls:
            continue
        logs = _log_ratios(stratum)
        if sums is None:
            sums = list(logs)
            continue
        for index, value in enumerate(logs):
            sums[index] += value
    return None if sums is None else tuple(sums)


def likelihood_ratio(windows: abc.Sequence[WindowLogs], starts: int) -> float:
    """Return the likelihood ratio of "new is worse" to "equal".

    ``windows`` holds the log ratios of each window in order of time. The
    alternatives are that the new version is bad from the first window on,
    with a weight of one half, or becomes bad at the start of any one
    window, each with a weight of ``1 / starts`` of the other half.
    """
    sums = (0.0,) * len(RATES)
    from_any_window = 0.0
    from_window = 0.0
    for logs in reversed(windows):
        if logs is None:
            continue
        sums = tuple(map(operator.add, sums, logs))
        from_window = 0.0
        for value in sums:
            if value > EXPONENT_MIN:
                from_window += math.exp(min(value, EXPONENT_MAX))
        from_any_window += from_window
    return (from_window + from_any_window / starts) / (2 * len(RATES))
