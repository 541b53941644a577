"""Guards the store against falling versions and partly applied changes.

A log of changes reaches three stores by messages that are reordered,
duplicated, lost and delayed, with restarts and stale snapshots. The state
in force must always be a whole accepted state without dangling
references. The negative tests remove one check and expect a failure.
"""

import datetime
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
from returns import result

from balsamramp_core import configuration
from balsamramp_core import configuration_codec
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core.resources import alias
from balsamramp_core.resources import service
from balsamramp_node.configuration import store

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
NAMES = ("caja", "catalogo", "reservas")
STORES = (0, 1, 2)


def _service(name: str) -> service.Service:
    return service.Service(name=name)


def _alias(name: str) -> alias.Alias:
    return alias.Alias(name=f"alias-{name}", service=name)


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """One author and three stores connected by an unreliable network."""

    def __init__(self) -> None:
        super().__init__()
        self.states = [configuration.EMPTY]
        self.messages: list[bytes] = []
        self.snapshots: list[bytes] = []
        self.stores = [store.ConfigurationStore(metrics.Metrics())] * 3
        for index in STORES:
            self.restart(index)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def put_pair(self, name: str) -> None:
        """Accept a service together with an alias for it."""
        self._accept((_service(name), _alias(name)), ())

    @stateful.rule(
        name=strategies.sampled_from(NAMES), both=strategies.booleans()
    )
    def delete(self, name: str, both: bool) -> None:
        """Accept a delete, with or without the alias, if it is valid."""
        keys = [resource.ResourceKey("service", name)]
        if both:
            keys.append(resource.ResourceKey("alias", f"alias-{name}"))
        self._accept((), tuple(keys))

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def forge_invalid_change(self, name: str) -> None:
        """Send a change with a valid resource and a dangling reference."""
        base = self.states[-1]
        orphan = alias.Alias(name="orphan", service=f"no-{name}")
        change = configuration.make_change(
            base,
            base.version + 1,
            "forged",
            "test",
            NOW,
            (_service(name), orphan),
        )
        self.messages.append(configuration_codec.change_to_bytes(change))

    @stateful.rule(
        index=strategies.sampled_from(STORES), data=strategies.data()
    )
    def deliver(self, index: int, data: strategies.DataObject) -> None:
        """Deliver any earlier message, possibly late or repeated."""
        if not self.messages:
            return
        message = data.draw(strategies.sampled_from(self.messages))
        change = configuration_codec.change_from_bytes(message).unwrap()
        self._assert_version_never_falls(
            index, lambda: self.stores[index].apply_change(change)
        )

    @stateful.rule(index=strategies.sampled_from(STORES))
    def deliver_all(self, index: int) -> None:
        """Deliver every message in order."""
        for message in list(self.messages):
            change = configuration_codec.change_from_bytes(message).unwrap()
            self._assert_version_never_falls(
                index, lambda c=change: self.stores[index].apply_change(c)
            )

    @stateful.rule(
        index=strategies.sampled_from(STORES), data=strategies.data()
    )
    def read_stale_snapshot(
        self, index: int, data: strategies.DataObject
    ) -> None:
        """Restore any earlier snapshot; most are stale."""
        if not self.snapshots:
            return
        encoded = data.draw(strategies.sampled_from(self.snapshots))
        snapshot = configuration_codec.snapshot_from_bytes(encoded).unwrap()
        self._assert_version_never_falls(
            index, lambda: self.stores[index].restore(snapshot)
        )

    @stateful.rule(index=strategies.sampled_from(STORES))
    def snapshot(self, index: int) -> None:
        """Save the state in force of a store as a snapshot."""
        self.snapshots.append(
            configuration_codec.snapshot_to_bytes(
                self.stores[index].snapshot()
            )
        )

    @stateful.rule(index=strategies.sampled_from(STORES))
    def restart(self, index: int) -> None:
        """Restart a node with an empty store."""
        self.stores[index] = store.ConfigurationStore(metrics.Metrics())

    @stateful.invariant()
    def state_in_force_is_accepted(self) -> None:
        """The state in force is one of the accepted states as a whole."""
        for node_store in self.stores:
            current = node_store.current
            accepted = {state.version: state for state in self.states}
            assert current.version in accepted
            expected = accepted[current.version].resources
            assert dict(current.resources) == dict(expected)
            for item in current.resources.values():
                for needed in item.dependencies():
                    assert needed in current.resources

    def _accept(
        self,
        puts: tuple[resource.Resource, ...],
        deletes: tuple[resource.ResourceKey, ...],
    ) -> None:
        base = self.states[-1]
        change = configuration.make_change(
            base,
            base.version + 1,
            f"change-{base.version + 1}",
            "test",
            NOW,
            puts,
            deletes,
        )
        applied = configuration.apply_change(base, change)
        if isinstance(applied, result.Failure):
            return
        self.states.append(applied.unwrap())
        self.messages.append(configuration_codec.change_to_bytes(change))

    def _assert_version_never_falls(self, index: int, step) -> None:
        before = self.stores[index].current.version
        step()
        assert self.stores[index].current.version >= before


SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=30,
    report_multiple_bugs=False,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def _restore_unconditionally(self, snapshot: configuration.Snapshot) -> bool:
    self._replace(snapshot.configuration, ())
    return True


def _apply_partially(self, change: configuration.Change) -> None:
    applied = configuration.apply_change(self._current, change)
    if isinstance(applied, result.Success):
        self._replace(applied.unwrap(), ())
        return
    version = self._current.version
    partial = change.puts[:1]
    self._replace(configuration.merge(self._current, version, partial, ()), ())


REMOVED_CHECKS = {
    "changes applied as a whole": (
        store.ConfigurationStore,
        "apply_change",
        _apply_partially,
    ),
    "older snapshots rejected": (
        store.ConfigurationStore,
        "restore",
        _restore_unconditionally,
    ),
    "order and base checked": (
        configuration,
        "_check_base",
        lambda base, change: None,
    ),
    "references checked": (
        configuration,
        "problems",
        lambda merged, change: [],
    ),
}


def test_versions_never_fall_and_apply_whole() -> None:
    stateful.run_state_machine_as_test(ConfigurationMachine, settings=SETTINGS)


@pytest.mark.parametrize("name", sorted(REMOVED_CHECKS))
def test_machine_fails_without(name: str) -> None:
    owner, attribute, replacement = REMOVED_CHECKS[name]
    with (
        mock.patch.object(owner, attribute, replacement),
        pytest.raises(AssertionError),
    ):
        stateful.run_state_machine_as_test(
            ConfigurationMachine, settings=SETTINGS
        )
