"""Carries out the rollouts that the configuration declares."""

from collections import abc
import datetime
import functools
import math
import operator
import typing

from absl import logging
import attrs

from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core import service_manager
from balsamramp_core.resources import rollout
from balsamramp_core.resources import rollout_order
from balsamramp_node.configuration import store
from balsamramp_node.rollouts import evidence_recorder
from balsamramp_node.rollouts import rollout_evidence
from balsamramp_node.rollouts import rollout_policy
from balsamramp_node.rollouts import rollout_report
from balsamramp_node.rollouts import rollout_state
from balsamramp_node.rollouts import traffic_split
from balsamramp_node.rollouts import version_presence
from balsamramp_wire import rollout_messages

__all__ = ["RolloutController"]

PHASE = rollout_state.RolloutPhase
ROLLED_BACK_PHASES = rollout_state.ROLLED_BACK_PHASES
TERMINAL_PHASES = (*ROLLED_BACK_PHASES, PHASE.FINISHED)
KINDS = (rollout.Rollout.kind, rollout_order.RolloutOrder.kind)
# Fraction of an order's duration for which the old version stays ready after
# the last step.
KEEP_OLD_FRACTION = 0.1
# Rollouts planned for less send evidence and decide at every tick.
SHORT_ROLLOUT_MAX = datetime.timedelta(minutes=1)

State = rollout_messages.RolloutState
Listener = abc.Callable[[State], None]


class RolloutController(service_manager.Service):
    """Stores the rollout states and divides calls among the versions.

    Decisions are made in ``decide``. ``RolloutGossip`` calls it on the
    coordinators, which collect the evidence, and propagates states between
    nodes.
    """

    name = "rollouts"
    requires = ("configuration",)

    def __init__(
        self,
        configurations: store.ConfigurationStore,
        policy: rollout_policy.RolloutPolicy,
        time: clock.Clock,
        counters: metrics.Metrics,
        recorder: evidence_recorder.EvidenceRecorder,
        presence: version_presence.VersionPresence,
    ) -> None:
        self._policy = policy
        self._presence = presence
        self._clock = time
        self._metrics = counters
        self._recorder = recorder
        self._started_at = time.now()
        self._intents: dict[str, rollout.Rollout] = {}
        self._ids: dict[str, str] = {}
        self._states: dict[str, State] = {}
        self._evidence: dict[str, rollout_evidence.Evidence] = {}
        self._splits: dict[str, traffic_split.TrafficSplit] = {}
        self._by_service: dict[str, set[str]] = {}
        self._hashes: dict[str, int] = {}
        self._buckets = [0] * rollout_state.BUCKETS
        self._listeners: list[Listener] = []
        self._has_read_configuration = False
        configurations.listen_changes(self._read_intents)

    @property
    def digest(self) -> int:
        """Return a digest of all states, equal on nodes in sync."""
        return functools.reduce(operator.xor, self._buckets)

    @property
    def buckets(self) -> tuple[int, ...]:
        """Return the digest of each bucket of states, for a partial sync."""
        return tuple(self._buckets)

    @property
    def intents(self) -> abc.Mapping[str, rollout.Rollout]:
        """Return the intents in the configuration, keyed by intent id."""
        return self._intents

    def listen(self, listener: Listener) -> None:
        """Register ``listener``, which is called with each changed state."""
        self._listeners.append(listener)

    def states(self) -> list[State]:
        """Return the states of all rollouts."""
        return [*self._states.values()]

    def states_in(self, buckets: abc.Container[int]) -> list[State]:
        """Return the states in ``buckets``."""
        return [
            state
            for intent_id, state in self._states.items()
            if rollout_state.bucket_of(intent_id) in buckets
        ]

    def state(self, intent_id: str) -> State | None:
        """Return the state of an intent, or None if there is none."""
        return self._states.get(intent_id)

    def is_version_allowed(
        self,
        service: str,
        version: str,
        call_id: str,
        retried: bool = False,
    ) -> bool:
        """Return whether the call may go to ``version`` of ``service``.

        A call belongs to the new version if the hash of its id is below
        the share. A call that is ``retried`` goes to the old version as
        long as that stays ready.
        """
        split = self._splits.get(service)
        return split is None or split.allows(version, call_id, retried)

    def is_version_excluded(self, service: str, version: str) -> bool:
        """Return whether ``version`` of ``service`` may not run any call."""
        split = self._splits.get(service)
        return split is not None and version in split.excluded_versions

    def has_active_rollout(self, service: str) -> bool:
        """Return whether calls of ``service`` count as rollout evidence."""
        split = self._splits.get(service)
        return split is not None and split.intent is not None

    def record(self, service: str, call: evidence_recorder.CallSample) -> None:
        """Count a call to a target of this VM as evidence of its version."""
        split = self._splits.get(service)
        if split is None or split.intent is None:
            return
        intent = split.intent
        if not intent.names(call.version):
            return
        now = self._clock.now()
        self._recorder.record(intent, split.intent_id, split.epoch, call, now)

    def merge(self, states: abc.Iterable[State]) -> None:
        """Merge rollout states of another node into the local ones.

        A state whose intent is not in the configuration is stored only if
        it is rolled back, since its version stays excluded.
        """
        for state in states:
            local_state = self._states.get(state.intent)
            if local_state is None:
                if rollout_state.phase(state) not in ROLLED_BACK_PHASES:
                    continue
                self._store_state(state)
                continue
            merged = rollout_state.merge_states(local_state, state)
            if merged != local_state:
                self._store_state(merged)

    def merge_evidence(
        self, rows: abc.Iterable[rollout_messages.EvidenceRow]
    ) -> int:
        """Merge evidence rows; return how many of them were new."""
        merged_count = 0
        for row in rows:
            if row.intent not in self._intents:
                continue
            evidence = self._evidence.get(row.intent)
            if evidence is None:
                evidence = rollout_evidence.Evidence()
                self._evidence[row.intent] = evidence
            merged_count += int(evidence.merge(row))
        return merged_count

    def evidence(self, intent_id: str) -> rollout_evidence.Evidence:
        """Return the evidence stored on this node for an intent."""
        return self._evidence.get(intent_id) or rollout_evidence.Evidence()

    def end_unknown_history(self, service: str) -> None:
        """End rollouts of ``service`` past their deadline without history.

        Only those end for which a node has looked for a row in vain. They
        expire, unless no other version is left that calls could go back to.
        """
        now = self._clock.now()
        for intent_id in list(self._by_service.get(service, ())):
            intent = self._intents.get(intent_id)
            state = self._states[intent_id]
            if intent is None or now < intent.deadline:
                continue
            if rollout_state.is_history_known(state):
                continue
            if not rollout_state.is_history_absent(state):
                continue
            if rollout_state.phase(state) in TERMINAL_PHASES:
                continue
            if self._is_alone(intent):
                self._store_state(self._finish_alone(state, now))
                continue
            expired = rollout_state.enter_phase(
                state,
                PHASE.EXPIRED,
                now,
                rollout_state.Cause.LATE.value,
                "the history from before the restart of all nodes is lost",
            )
            if expired != state:
                self._store_state(expired)

    def decide(self, is_coordinator: abc.Callable[[str], bool]) -> None:
        """Apply the policy to the services that this node coordinates."""
        now = self._clock.now()
        self._presence.refresh()
        self._prune_evidence(now)
        self._update_outdated_splits(now)
        for intent_id, intent in list(self._intents.items()):
            state = self._states[intent_id]
            if rollout_state.phase(state) in TERMINAL_PHASES:
                continue
            if not rollout_state.is_history_known(state):
                continue
            if not is_coordinator(intent.service):
                continue
            next_state = self._next_state(intent_id, intent, state, now)
            if next_state != state:
                self._store_state(next_state)

    def mark_reported(
        self, intent_id: str, reported_state: str, generation: int = 0
    ) -> None:
        """Record that ``reported_state`` was published to operators."""
        state = self._states.get(intent_id)
        if state is None:
            return
        now = self._clock.now()
        self._store_state(
            rollout_state.mark_reported(state, reported_state, now, generation)
        )

    def mark_stored(
        self, intent_id: str, phases: frozenset[str], generation: int = 0
    ) -> None:
        """Record that the table has ``phases`` of an intent."""
        state = self._states.get(intent_id)
        if state is None:
            return
        now = self._clock.now()
        marked = rollout_state.mark_stored(state, phases, now, generation)
        if marked != state:
            self._store_state(marked)

    def mark_history_absent(self, service: str) -> None:
        """Record that the table has no row of intents of unknown history.

        Call it after all stored outcomes of ``service`` were merged.
        """
        now = self._clock.now()
        for intent_id in list(self._by_service.get(service, ())):
            state = self._states[intent_id]
            if rollout_state.is_history_known(state):
                continue
            marked = rollout_state.mark_history_absent(state, now)
            if marked != state:
                self._store_state(marked)

    def has_short_rollouts(self) -> bool:
        """Return whether an unfinished rollout is planned for under 1 min."""
        for intent_id, intent in self._intents.items():
            if rollout_state.phase(self._states[intent_id]) in TERMINAL_PHASES:
                continue
            if intent.deadline - intent.start < SHORT_ROLLOUT_MAX:
                return True
        return False

    def report(self) -> list[rollout_report.RolloutReport]:
        """Return a report on each rollout, sorted by service and start."""
        now = self._clock.now()
        reports = []
        for intent_id, state in self._states.items():
            intent = self._intents.get(intent_id)
            evidence = self.evidence(intent_id)
            reports.append(
                rollout_report.build_report(
                    self._policy, intent, state, evidence, now
                )
            )
        return sorted(reports, key=lambda item: (item.service, item.start))

    def dump(self) -> abc.Mapping[str, typing.Any]:
        """Return the reports, keyed by rollout name.

        Earlier rollouts of the same name are keyed by their intent id.
        """
        reports_by_name = {}
        current = set(self._ids.values())
        for report in self.report():
            is_current = report.intent in current
            name = report.rollout if is_current else report.intent
            reports_by_name[name] = rollout_report.report_to_dict(report)
        return reports_by_name

    def _next_state(
        self,
        intent_id: str,
        intent: rollout.Rollout,
        state: State,
        now: datetime.datetime,
    ) -> State:
        current_id = self._current_intent_id(intent.service, now)
        if current_id in (None, intent_id) or intent.start > now:
            decided = self._policy.decide(
                intent, state, self.evidence(intent_id), now
            )
            is_expired = rollout_state.phase(decided) is PHASE.EXPIRED
            if is_expired and self._is_alone(intent):
                return self._finish_alone(state, now)
            return decided
        if rollout_state.phase(state) in (PHASE.COMPLETED, PHASE.REVALIDATING):
            return rollout_state.enter_phase(state, PHASE.FINISHED, now)
        assert current_id is not None
        return rollout_state.enter_phase(
            state,
            PHASE.ROLLED_BACK,
            now,
            rollout_state.Cause.SUPERSEDED.value,
            f"superseded by rollout {self._intents[current_id].name}",
        )

    def _is_alone(self, intent: rollout.Rollout) -> bool:
        """Return whether no version is left that ``intent`` replaces.

        Other versions that are rolled back may not run calls either.
        """
        ignored = traffic_split.excluded_versions(
            self._service_states(intent.service),
            self._states[rollout_state.intent_id(intent)],
        )
        return self._presence.is_alone(intent.service, intent.new, ignored)

    def _finish_alone(self, state: State, now: datetime.datetime) -> State:
        """Return ``state`` finished, as the version has all calls already."""
        text = "no other version has targets"
        state = rollout_state.advance_to_step(
            state, self._policy.last_step, now
        )
        for entered in (PHASE.COMPLETED, PHASE.FINISHED):
            state = rollout_state.enter_phase(state, entered, now, text=text)
        return state

    def _service_states(self, service: str) -> list[State]:
        return [
            self._states[item] for item in self._by_service.get(service, ())
        ]

    def _store_state(self, state: State) -> None:
        previous = self._states.get(state.intent)
        intent = self._intents.get(state.intent)
        if intent is not None and intent.revision:
            self._intents[state.intent] = _with_start(intent, state.start)
        self._update_digest(state.intent, rollout_state.hash_of(state))
        self._states[state.intent] = state
        self._by_service.setdefault(state.service, set()).add(state.intent)
        previous_phase = (
            rollout_state.phase(previous) if previous else PHASE.WAITING
        )
        entered = rollout_state.phase(state)
        if entered is not previous_phase:
            logging.info("rollout %s enters %s", state.rollout, entered.value)
            self._metrics.count("rollout_phases_total", phase=entered.value)
        self._update_split(state.service)
        for listener in self._listeners:
            listener(state)

    def _update_digest(self, intent_id: str, state_hash: int) -> None:
        bucket = rollout_state.bucket_of(intent_id)
        self._buckets[bucket] ^= self._hashes.pop(intent_id, 0) ^ state_hash
        if state_hash:
            self._hashes[intent_id] = state_hash

    def _read_intents(
        self,
        current: configuration.Configuration,
        changed: abc.Iterable[resource.ResourceKey],
    ) -> None:
        keys = [key for key in changed if key.kind in KINDS]
        for key in keys:
            item = current.resources.get(key)
            previous_id = self._ids.pop(str(key), None)
            if previous_id is not None:
                self._supersede(self._intents.pop(previous_id), item)
            if isinstance(item, rollout.Rollout):
                self._add_intent(item, item.start >= self._started_at)
            elif isinstance(item, rollout_order.RolloutOrder):
                self._add_intent(
                    self._resolve(item), self._has_read_configuration
                )
        self._has_read_configuration = True
        if not keys:
            return
        self._drop_deleted_intents()
        for service in list(self._by_service):
            self._update_split(service)

    def _resolve(self, order: rollout_order.RolloutOrder) -> rollout.Rollout:
        """Return the rollout of ``order``, starting when it was received."""
        now = self._clock.now()
        intent = rollout.Rollout(
            name=order.name,
            service=order.service,
            old=rollout.ANY_OLD_VERSION,
            new=order.new,
            start=now,
            deadline=now + order.duration,
            keep_old_seconds=math.ceil(
                KEEP_OLD_FRACTION * order.duration_seconds
            ),
            revision=order.revision,
            earlier_revisions=order.earlier_revisions,
        )
        for intent_id in (
            rollout_state.intent_id(intent),
            *rollout_state.earlier_intent_ids(intent),
        ):
            stored = self._states.get(intent_id)
            if stored is not None:
                return _with_start(intent, stored.start)
        return intent

    def _supersede(
        self, intent: rollout.Rollout, later: resource.Resource | None
    ) -> None:
        """Roll back an unfinished order that names another version now.

        What is known of the version holds on, and calls go back to the other
        versions, unless there are none. A node that does not know all targets
        yet leaves that to others.
        """
        if not isinstance(later, rollout_order.RolloutOrder):
            return
        if not intent.revision or later.new == intent.new:
            return
        state = self._states[rollout_state.intent_id(intent)]
        unfinished = (PHASE.WAITING, PHASE.PROGRESSING)
        if rollout_state.phase(state) not in unfinished:
            return
        if not self._presence.is_complete or self._is_alone(intent):
            return
        self._store_state(
            rollout_state.enter_phase(
                state,
                PHASE.ROLLED_BACK,
                self._clock.now(),
                rollout_state.Cause.SUPERSEDED.value,
                f"superseded by an order for {later.new}",
            )
        )

    def _add_intent(
        self, intent: rollout.Rollout, knows_history: bool
    ) -> None:
        intent_id = rollout_state.intent_id(intent)
        kind = KINDS[1] if intent.revision else KINDS[0]
        self._ids[str(resource.ResourceKey(kind, intent.name))] = intent_id
        self._intents[intent_id] = intent
        state = self._states.get(intent_id)
        if state is None:
            state = rollout_state.initial_state(intent)
            if knows_history and not intent.earlier_revisions:
                state = rollout_state.mark_history_known(state, intent.start)
        state = self._continue_earlier(intent, state)
        now = self._clock.now()
        updated = rollout_policy.apply_operator_abort(intent, state, now)
        if updated != self._states.get(intent_id):
            self._store_state(updated)

    def _continue_earlier(
        self, intent: rollout.Rollout, state: State
    ) -> State:
        """Return ``state`` with what the order reached before a restore."""
        for earlier_id in rollout_state.earlier_intent_ids(intent):
            earlier = self._states.get(earlier_id)
            if earlier is None or earlier_id in self._intents:
                continue
            state = rollout_state.continue_state(state, earlier)
            evidence = self._evidence.pop(earlier_id, None)
            if evidence is not None:
                self._evidence.setdefault(state.intent, evidence)
            self._forget(earlier)
        return state

    def _forget(self, state: State) -> None:
        del self._states[state.intent]
        self._by_service[state.service].discard(state.intent)
        self._update_digest(state.intent, 0)

    def _drop_deleted_intents(self) -> None:
        for intent_id, state in list(self._states.items()):
            if intent_id in self._intents:
                continue
            self._evidence.pop(intent_id, None)
            is_rolled_back = rollout_state.phase(state) in ROLLED_BACK_PHASES
            if is_rolled_back and not self._is_named_by_later_intent(state):
                continue
            self._forget(state)

    def _is_named_by_later_intent(self, state: State) -> bool:
        for intent in self._intents.values():
            if intent.service != state.service:
                continue
            is_named = state.new in (intent.old, intent.new)
            if is_named and intent.start > state.start:
                return True
        return False

    def _current_intent_id(
        self, service: str, now: datetime.datetime
    ) -> str | None:
        """Return the started intent of ``service`` that started last."""
        latest_id: str | None = None
        latest: tuple[datetime.datetime, str] | None = None
        for intent_id in self._by_service.get(service, ()):
            intent = self._intents.get(intent_id)
            if intent is None or intent.start > now:
                continue
            order = (intent.start, intent.name)
            if latest is None or order > latest:
                latest_id, latest = intent_id, order
        return latest_id

    def _update_outdated_splits(self, now: datetime.datetime) -> None:
        for service, split in list(self._splits.items()):
            current_id = self._current_intent_id(service, now)
            if (current_id or "") != split.intent_id:
                self._update_split(service)
            elif split.intent is not None:
                is_alone = self._is_new_alone(split.intent)
                if is_alone is not split.is_new_alone:
                    self._update_split(service)

    def _is_new_alone(self, intent: rollout.Rollout) -> bool:
        """Return whether calls are not divided, for want of other versions."""
        state = self._states[rollout_state.intent_id(intent)]
        phase = rollout_state.phase(state)
        if phase in (PHASE.ROLLED_BACK, PHASE.FINISHED):
            return False
        return self._is_alone(intent)

    def _update_split(self, service: str) -> None:
        states = self._service_states(service)
        current_id = self._current_intent_id(service, self._clock.now())
        if not states:
            self._splits.pop(service, None)
            return
        if current_id is None:
            split = traffic_split.TrafficSplit(
                None, "", 0, 0.0, traffic_split.excluded_versions(states, None)
            )
            self._splits[service] = split
            return
        state = self._states[current_id]
        intent = self._intents[current_id]
        is_alone = self._is_new_alone(intent)
        before = self._splits.get(service)
        if is_alone and not (before and before.is_new_alone):
            logging.info(
                "rollout %s: version %s of %s gets all calls, as no other"
                " version has targets",
                intent.name,
                intent.new,
                service,
            )
        self._splits[service] = traffic_split.TrafficSplit(
            intent,
            current_id,
            rollout_state.epoch(state),
            self._policy.share(state),
            traffic_split.excluded_versions(states, state, is_alone),
            rollout_state.phase(state) is not PHASE.FINISHED,
            is_alone,
        )

    def _prune_evidence(self, now: datetime.datetime) -> None:
        oldest: dict[str, int] = {}
        for intent_id, intent in self._intents.items():
            state = self._states[intent_id]
            if rollout_state.phase(state) in TERMINAL_PHASES:
                self._evidence.pop(intent_id, None)
                continue
            retained = rollout_evidence.RETAINED_WINDOWS
            first_window = rollout_evidence.window_of(intent, now) - retained
            oldest[intent_id] = first_window
            evidence = self._evidence.get(intent_id)
            if evidence is None:
                continue
            mark = state.marks.get(PHASE.COMPLETED.value)
            baseline_windows = range(0)
            if mark is not None:
                end = rollout_evidence.window_of(intent, mark.at)
                baseline_windows = range(end - retained, end + 1)
            evidence.prune(first_window, baseline_windows)
        self._recorder.prune(oldest)


def _with_start(
    intent: rollout.Rollout, start: datetime.datetime
) -> rollout.Rollout:
    """Return ``intent`` moved to ``start``, with the same duration."""
    planned = intent.deadline - intent.start
    return attrs.evolve(intent, start=start, deadline=start + planned)
