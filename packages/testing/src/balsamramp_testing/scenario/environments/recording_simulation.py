"""World: nodes in memory whose calls pass over streams of bytes."""

import datetime

from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import configuration_codec
from balsamramp_core import resources
from balsamramp_core import storage
from balsamramp_node.configuration import accepted_log
from balsamramp_node.process import standalone_services
from balsamramp_testing import memory_platform
from balsamramp_testing import simulation
from balsamramp_testing.scenario import record

__all__ = ["RecordingSimulation"]


class RecordingTable(memory_platform.MemoryTable):
    """A table that records the changes it takes in."""

    def __init__(
        self,
        faults: memory_platform.Faults,
        time: clock.Clock,
        seen: record.History,
    ) -> None:
        super().__init__(faults, time)
        self._seen = seen
        self.began = datetime.timedelta()

    def _apply(self, transaction: storage.Transaction) -> None:
        super()._apply(transaction)
        for write in transaction.writes:
            if not write.key.startswith(accepted_log.LOG_PREFIX):
                continue
            if write.value is not None:
                self._note(write.value)

    def _note(self, value: bytes) -> None:
        now = self._clock.monotonic() - self.began
        for change in configuration_codec.changes_from_bytes(value).unwrap():
            puts = tuple(resources.encode(item) for item in change.puts)
            deletes = tuple((key.kind, key.name) for key in change.deletes)
            self._seen.accepted.append(
                record.Accepted(
                    version=change.version, at=now, puts=puts, deletes=deletes
                )
            )


class RecordingSimulation(simulation.Simulation):
    """Nodes in memory that record what comes into force on them."""

    def __init__(self, seed: int, seen: record.History) -> None:
        super().__init__(seed)
        self._seen = seen
        self.recording = RecordingTable(self.faults, self.clock, seen)
        self.table = self.recording

    def prepare(self, node: simulation.SimulatedNode) -> None:
        identity = node.core.identity
        node.core.store.listen(lambda later: self._note_swap(identity, later))

    def _note_swap(
        self,
        identity: standalone_services.Identity,
        later: configuration.Configuration,
    ) -> None:
        found = {}
        dangling = []
        for key, item in later.resources.items():
            found[key.kind, key.name] = resources.encode(item)
            for needed in item.dependencies():
                if needed not in later.resources:
                    dangling.append(f"{key} needs {needed}")
        self._seen.swaps.append(
            record.AppliedVersion(
                node=identity.node,
                incarnation=identity.incarnation,
                at=self.clock.monotonic() - self.recording.began,
                version=later.version,
                resources=found,
                dangling=tuple(dangling),
            )
        )
