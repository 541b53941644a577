"""Target picker that cycles through the candidates."""

from collections import abc
import datetime
import random

from balsamramp_node.outbound import picker

__all__ = ["RoundRobin"]


class RoundRobin(picker.TargetPicker):
    """Picks the targets in turn, regardless of their load."""

    name = "round-robin"
    doc = "each matching target in turn"

    def __init__(self, zone: str, rng: random.Random) -> None:
        super().__init__(zone, rng)
        self._next = 0

    def pick(
        self,
        candidates: abc.Sequence[picker.Candidate],
        now: datetime.timedelta,
        pick_info: picker.PickInfo = picker.DEFAULT_PICK_INFO,
    ) -> picker.Candidate:
        self._next += 1
        return candidates[self._next % len(candidates)]
