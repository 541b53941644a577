"""Target picker with the power of two random choices."""

from collections import abc
import datetime

from balsamramp_node.outbound import picker

__all__ = ["LeastOfTwo"]


class LeastOfTwo(picker.TargetPicker):
    """Picks the one with fewer calls in flight of two random targets."""

    name = "least-of-two"
    doc = "fewer calls in flight of two random matching targets"

    def pick(
        self,
        candidates: abc.Sequence[picker.Candidate],
        now: datetime.timedelta,
        pick_info: picker.PickInfo = picker.DEFAULT_PICK_INFO,
    ) -> picker.Candidate:
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._random.sample(candidates, 2)
        if second.stats.in_flight < first.stats.in_flight:
            return second
        return first
