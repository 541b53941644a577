"""A node's own view of a restore: by its reads, or told by another node."""

from collections import abc
import datetime

from balsamramp_core import configuration
from balsamramp_core import intents
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core.resources import service
from balsamramp_core.resources import zone
from balsamramp_node.configuration import restored_intents
from balsamramp_node.configuration import store
from balsamramp_node.process import decision_log
from balsamramp_testing import list_sink
from balsamramp_testing import virtual_time

GENERATION = 1000


def _zone(name: str) -> zone.Zone:
    return zone.Zone(
        name=name,
        out=True,
        since=datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
        author="operators",
        return_seconds=0,
    )


def _service(name: str) -> service.Service:
    return service.Service(name=name)


class _Node:
    def __init__(self) -> None:
        self.clock = virtual_time.VirtualClock()
        self.store = store.ConfigurationStore(metrics.Metrics())
        self.sink = list_sink.ListSink()
        self.restored = restored_intents.RestoredIntents(
            self.store,
            lambda first, second: first // GENERATION == second // GENERATION,
            self.clock,
            metrics.Metrics(),
            decision_log.DecisionLog(self.sink, self.clock),
        )

    def take(self, version: int, *items: resource.Resource) -> None:
        """Bring resources into force."""
        merged = configuration.merge(configuration.EMPTY, version, items, ())
        assert self.store.restore(configuration.Snapshot(merged))

    def read(
        self, version: int, number: int, *items: resource.Resource
    ) -> set[str]:
        """Read the store, and bring into force what that leads to."""
        merged = self.restored.merge(
            intents.Intents(
                revision=version,
                resources=items,
                number=number,
                held_revision=version + 1,
                settled_revision=version + 2,
            )
        )
        self.take(merged.revision, *merged.resources)
        self.restored.record_number(merged.number)
        return {item.name for item in merged.resources}


def _run(main: abc.Callable[[_Node], None]) -> None:
    async def start() -> None:
        main(_Node())

    virtual_time.run(start())


def test_node_that_was_told_holds_what_it_was_told() -> None:
    """Guards against a next reader that knows no rows of the store."""

    def main(node: _Node) -> None:
        node.take(1, _service("a"), _zone("z"))
        node.restored.record_number(7)
        assert node.read(1001, 6, _service("old")) == {"a", "z"}
        assert node.store.current.version == 1002
        assert node.read(1010, 8, _service("b"), _zone("z")) == {"b", "z"}
        assert node.store.current.version == 1012
        assert node.read(1020, 9, _service("b")) == {"b"}

    _run(main)


def test_restore_that_another_node_told_of_is_followed() -> None:
    def main(node: _Node) -> None:
        node.take(1, _service("a"), _zone("z"))
        node.restored.record_number(7)
        node.store.adopt_version(1002)
        assert node.read(1010, 6, _service("old")) == {"a", "z"}

    _run(main)


def test_change_of_a_node_that_is_behind_is_not_followed() -> None:
    def main(node: _Node) -> None:
        node.take(1, _service("a"))
        node.restored.record_number(7)
        assert node.restored.may_follow(5, 7)
        assert not node.restored.may_follow(5, 6)
        assert not node.restored.may_follow(1001, 7)

    _run(main)


def test_read_of_an_earlier_generation_begins_nothing() -> None:
    def main(node: _Node) -> None:
        node.take(1001, _service("a"))
        latest = intents.Intents(revision=5, resources=(_service("old"),))
        assert node.restored.merge(latest) is latest

    _run(main)


def test_held_rows_are_logged_once() -> None:
    def main(node: _Node) -> None:
        node.take(1, _service("a"), _zone("z"))
        node.restored.record_number(7)
        for version in (1001, 1010, 1020):
            node.read(version, 6, _service("old"))
        node.read(1030, 8, _service("a"), _zone("z"))
        lines = [
            line["behind"]
            for line in node.sink.lines
            if line["event"] == "restored_intents"
        ]
        assert lines == [["configuration", "zone/z"], []]

    _run(main)
