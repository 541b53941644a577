"""Core: a node that accepts, orders and keeps operators' intents."""

import datetime
import random

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_node.calls import calls
from balsamramp_node.configuration import acceptance
from balsamramp_node.configuration import accepted_log
from balsamramp_node.configuration import intent_reader
from balsamramp_node.configuration import read_age
from balsamramp_node.configuration import reader_lease
from balsamramp_node.configuration import readiness
from balsamramp_node.configuration import snapshots
from balsamramp_node.configuration import source
from balsamramp_node.door import admissions
from balsamramp_node.door import gate
from balsamramp_node.door import targets
from balsamramp_node.door.gates import by_limit
from balsamramp_node.membership import address_book
from balsamramp_node.membership import roster
from balsamramp_node.process import base_core
from balsamramp_node.process import operations
from balsamramp_node.process import parts

__all__ = ["Core", "Identity"]

Identity = base_core.Identity


class Core(base_core.BaseCore):
    """Keeps a log of accepted changes on the platform.

    Callers name the service that they want; targets are guarded by a
    limit that is learnt.
    """

    def __init__(
        self,
        identity: base_core.Identity,
        checked: settings.Settings,
        outside: parts.Parts,
        now: clock.Clock,
        counters: metrics.Metrics,
        choice: random.Random,
    ) -> None:
        self._objects = outside.objects
        super().__init__(identity, checked, outside, now, counters, choice)
        self.operations = operations.Operations(
            self.kernel,
            self.identity.node,
            self.acceptor,
        )

    def _make_readiness(self) -> readiness.Readiness:
        return readiness.Readiness(self.store)

    def _make_source(
        self,
    ) -> tuple[intent_reader.IntentReader, read_age.ReadAge]:
        own = self._own
        self.reader_lease = reader_lease.ReaderLease(
            own.node,
            own.zone,
            own.incarnation,
            self.member_list,
            self.readiness,
            self._outside.table,
            self._clock,
            self._metrics,
            self._random,
        )
        self.kernel.add(self.reader_lease)
        self._log = accepted_log.AcceptedLog(
            self._outside.table, self._objects
        )
        self._log_source = source.ConfigurationSource(
            self._log,
            self.store,
            self.reader_lease,
            self.readiness,
            self._clock,
            self._metrics,
            self._settings.duration("platform", "poll_interval"),
            self._random,
        )
        return self._log_source, self.reader_lease

    def _make_address_book(self) -> address_book.AddressBook:
        self.roster = roster.Roster(
            self._own.zone,
            self._objects,
            self.member_list,
            self.reader_lease,
            self._clock,
            self._random,
        )
        self.kernel.add(self.roster)
        return self.roster

    def _make_gate(self, announcement: targets.Announcement) -> gate.Gate:
        limit_type = admissions.find_limit(
            self._settings.text("targets", "admission")
        )
        limit = limit_type(
            self._settings.integer("targets", "initial_limit"),
            self._settings.duration("targets", "warm_up"),
        )
        return by_limit.LimitGate(announcement, limit, self._clock)

    def _target_lease(self) -> datetime.timedelta:
        return self._settings.duration("targets", "lease")

    def _add_callers(self) -> None:
        self.calls = calls.Calls(
            self.identity.node,
            self.router,
            self._picker(),
            self.door,
            self._outside.calls,
            self.keys,
            self._clock,
            self._metrics,
            f"{self.identity.node}.{self.identity.incarnation:x}-",
        )
        self.kernel.add(self.calls)

    def _add_intent_keeping(self) -> None:
        self.acceptor = acceptance.Acceptor(
            self._log,
            self._log_source,
            self.store,
            self.distribution,
            self._clock,
            self._metrics,
            self._random,
        )
        self.snapshots = snapshots.Snapshots(
            self._log,
            self.store,
            self._log_source,
            self.reader_lease,
            self._clock,
            self._metrics,
            self._settings.integer("snapshots", "versions"),
            self._random,
        )
        self.kernel.add(self.acceptor)
        self.kernel.add(self.snapshots)
