"""Rollout split: how the calls of a service divide among versions."""

from collections import abc

import attrs
import xxhash

from balsamramp_core.resources import rollout
from balsamramp_node.rollouts import rollout_state
from balsamramp_wire import rollout_messages

__all__ = ["TrafficSplit", "excluded_versions"]

HASH_SPACE = 1 << 64
PHASE = rollout_state.RolloutPhase


@attrs.frozen
class TrafficSplit:
    """How the calls of one service are divided among versions.

    ``intent`` is the rollout that rules, if any, and ``share`` the part
    of the calls for its new version. ``keeps_old`` tells that the old
    version stays ready; no call may run at a version in ``excluded_versions``.
    """

    intent: rollout.Rollout | None
    intent_id: str
    epoch: int
    share: float
    excluded_versions: frozenset[str]
    keeps_old: bool = True

    def allows(self, version: str, call_id: str, retried: bool) -> bool:
        """Tell whether the call may go to ``version``.

        While the old version is kept, a retried call goes there.
        """
        if version in self.excluded_versions:
            return False
        intent = self.intent
        if intent is None or not intent.names(version):
            return True
        position = xxhash.xxh64_intdigest(call_id.encode()) / HASH_SPACE
        to_new = position < self.share
        if retried and self.keeps_old:
            to_new = False
        return to_new is (version == intent.new)


def excluded_versions(
    states: abc.Iterable[rollout_messages.RolloutState],
    ruling: rollout_messages.RolloutState | None,
) -> frozenset[str]:
    """Return the versions that may run no call.

    A version is excluded while the intent that named it last has not
    granted it a step or was taken back. What the ruling intent names goes
    before what others do.
    """
    latest: dict[str, rollout_messages.RolloutState] = {}
    for state in sorted(states, key=lambda item: (item.start, item.rollout)):
        latest[state.old] = state
        latest[state.new] = state
    if ruling is not None:
        latest[ruling.old] = ruling
        latest[ruling.new] = ruling
    found = []
    for version, state in latest.items():
        if version != state.new:
            continue
        phase = rollout_state.phase(state)
        if phase in (PHASE.WAITING, *rollout_state.ROLLED_BACK_PHASES):
            found.append(version)
    return frozenset(found)
