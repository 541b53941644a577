"""Remembers targets that have stated that they leave."""

import collections

from balsamramp_wire import messages

__all__ = ["LeavingTargets"]

# The oldest are forgotten. A target that leaves is gone within seconds.
TARGETS_MAX = 1000


class LeavingTargets:
    """The starts of targets that get no more calls of this node.

    The node of a target refuses such calls, but forgets why when it
    restarts.
    """

    def __init__(self) -> None:
        self._instances: collections.OrderedDict[str, str]
        self._instances = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._instances)

    def add(self, record: messages.TargetRecord) -> None:
        """Remember that this start of a target leaves."""
        if not record.instance:
            return
        self._instances[record.target] = record.instance
        self._instances.move_to_end(record.target)
        while len(self._instances) > TARGETS_MAX:
            self._instances.popitem(last=False)

    def has_left(self, record: messages.TargetRecord) -> bool:
        """Return whether this start of a target leaves."""
        instance = self._instances.get(record.target)
        return instance is not None and instance == record.instance
