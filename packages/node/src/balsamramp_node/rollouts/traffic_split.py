"""Divides the calls of a service between versions."""

from collections import abc

import attrs
import xxhash

from balsamramp_core.resources import rollout
from balsamramp_node.rollouts import rollout_state
from balsamramp_wire import rollout_messages

__all__ = ["TrafficSplit", "excluded_versions"]

HASH_SPACE = 1 << 64
PHASE = rollout_state.RolloutPhase
UNPROVED_PHASES = (PHASE.WAITING, PHASE.EXPIRED)


@attrs.frozen
class TrafficSplit:
    """Division of the calls of one service between versions.

    ``intent`` is the current rollout, if any, and ``share`` the fraction
    of the calls for its new version. ``is_old_ready`` is true while the
    old version stays ready. Versions in ``excluded_versions`` may not run
    any call. ``is_new_alone`` is true if no other version that may run calls
    has targets: then there is nothing to divide.
    """

    intent: rollout.Rollout | None
    intent_id: str
    epoch: int
    share: float
    excluded_versions: frozenset[str]
    is_old_ready: bool = True
    is_new_alone: bool = False

    def allows(self, version: str, call_id: str, retried: bool) -> bool:
        """Return whether the call may go to ``version``.

        A retried call goes to the old version while that is ready.
        """
        if version in self.excluded_versions:
            return False
        intent = self.intent
        if intent is None or not intent.names(version):
            return True
        if self.is_new_alone:
            return True
        position = xxhash.xxh64_intdigest(call_id.encode()) / HASH_SPACE
        to_new = position < self.share
        if retried and self.is_old_ready:
            to_new = False
        return to_new is (version == intent.new)


def excluded_versions(
    states: abc.Iterable[rollout_messages.RolloutState],
    current: rollout_messages.RolloutState | None,
    is_new_alone: bool = False,
) -> frozenset[str]:
    """Return the versions that may not run any call.

    A version is excluded while the intent that named it last has not
    granted it a step or is rolled back. The versions that the ``current``
    state names are judged by that state alone. Its new version is not
    excluded for lack of time or evidence if it ``is_new_alone``: that would
    protect no caller and leave each without a target. One that was found to
    be worse, or was aborted, stays excluded.
    """
    latest: dict[str, rollout_messages.RolloutState] = {}
    for state in sorted(states, key=lambda item: (item.start, item.rollout)):
        latest[state.old] = state
        latest[state.new] = state
    if current is not None:
        latest[current.old] = current
        latest[current.new] = current
    to_exclude = []
    for version, state in latest.items():
        if version != state.new:
            continue
        phase = rollout_state.phase(state)
        if is_new_alone and state is current and phase in UNPROVED_PHASES:
            continue
        if phase in (PHASE.WAITING, *rollout_state.ROLLED_BACK_PHASES):
            to_exclude.append(version)
    return frozenset(to_exclude)
