"""Core: the services of a node that need no port of their own."""

import random

import attrs

from balsamramp_core import clock
from balsamramp_core import kernel
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_node.calls import calls
from balsamramp_node.calls import pickers
from balsamramp_node.calls import router
from balsamramp_node.configuration import acceptance
from balsamramp_node.configuration import accepted_log
from balsamramp_node.configuration import distribution
from balsamramp_node.configuration import reader_lease
from balsamramp_node.configuration import readiness
from balsamramp_node.configuration import serve_budget
from balsamramp_node.configuration import snapshots
from balsamramp_node.configuration import source
from balsamramp_node.configuration import store
from balsamramp_node.door import admission
from balsamramp_node.door import admissions
from balsamramp_node.door import door
from balsamramp_node.door import key_ledger
from balsamramp_node.door import targets
from balsamramp_node.membership import member_list
from balsamramp_node.membership import membership
from balsamramp_node.membership import roster
from balsamramp_node.membership import zone_contacts
from balsamramp_node.membership import zone_reports
from balsamramp_node.outcomes import outcome_watch
from balsamramp_node.outcomes import policies
from balsamramp_node.outcomes import rollout_record
from balsamramp_node.outcomes import rollout_recorder
from balsamramp_node.outcomes import rollout_spread
from balsamramp_node.outcomes import rollouts
from balsamramp_node.outcomes import zone_states
from balsamramp_node.process import operations
from balsamramp_node.process import parts
from balsamramp_wire import messages

__all__ = ["Core", "Identity"]


@attrs.frozen
class Identity:
    """Which node this is, and which of its starts."""

    node: str
    zone: str
    region: str
    incarnation: int


class Core:
    """Makes the services from settings and parts and registers them.

    The services are attributes, so that the ports of the process, or a
    test, can use them directly.
    """

    def __init__(
        self,
        identity: Identity,
        checked: settings.Settings,
        outside: parts.Parts,
        now: clock.Clock,
        counters: metrics.Metrics,
        choice: random.Random,
    ) -> None:
        self.identity = identity
        self.kernel = kernel.Kernel()
        self._settings = checked
        self._outside = outside
        self._clock = now
        self._metrics = counters
        self._random = choice
        for service in outside.services:
            self.kernel.add(service)
        self._add_configuration()
        self._add_membership()
        self._add_rollouts()
        self._add_routing()
        self._add_calls()
        self.operations = operations.Operations(
            self.kernel,
            identity.node,
            self.acceptor,
        )

    def _add_configuration(self) -> None:
        own = self._own_record()
        outside = self._outside
        self.store = store.ConfigurationStore(self._metrics)
        self.readiness = readiness.Readiness(self.store)
        self.member_list = member_list.MemberList()
        self.reader_lease = reader_lease.ReaderLease(
            own.node,
            own.zone,
            own.incarnation,
            self.member_list,
            self.readiness,
            outside.table,
            self._clock,
            self._metrics,
            self._random,
        )
        log = accepted_log.AcceptedLog(outside.table, outside.objects)
        self.source = source.ConfigurationSource(
            log,
            self.store,
            self.reader_lease,
            self.readiness,
            self._clock,
            self._metrics,
            self._settings.duration("platform", "poll_interval"),
            self._random,
        )
        self._budget = serve_budget.ServeBudget(self._clock)
        self.distribution = distribution.Distribution(
            own,
            self.member_list,
            outside.control,
            self.store,
            self.source,
            self._budget,
            self._clock,
            self._metrics,
            self._random,
        )
        self.acceptor = acceptance.Acceptor(
            log,
            self.source,
            self.store,
            self.distribution,
            self._clock,
            self._metrics,
            self._random,
        )
        self.snapshots = snapshots.Snapshots(
            log,
            self.store,
            self.source,
            self.reader_lease,
            self._clock,
            self._metrics,
            self._settings.integer("snapshots", "versions"),
            self._random,
        )
        for service in (
            self.store,
            self.readiness,
            self.reader_lease,
            self.source,
            self.distribution,
            self.acceptor,
            self.snapshots,
        ):
            self.kernel.add(service)

    def _add_membership(self) -> None:
        own = self._own_record()
        outside = self._outside
        seeds = self._settings.items("membership", "seeds")
        interval = self._settings.duration("membership", "interval")
        self.roster = roster.Roster(
            own.zone,
            outside.objects,
            self.member_list,
            self.reader_lease,
            self._clock,
            self._random,
        )
        self.zone_reports = zone_reports.ZoneReports(
            own,
            self.member_list,
            outside.control,
            self.store,
            self._clock,
            self._random,
        )
        self.zone_contacts = zone_contacts.ZoneContacts(
            own.zone, self.member_list, self._clock, interval
        )
        self.membership = membership.Membership(
            own,
            [settings.parse_address(item) for item in seeds],
            self.member_list,
            outside.control,
            self.store,
            self.distribution,
            self.readiness,
            self.reader_lease,
            self.roster,
            self.zone_reports,
            self.zone_contacts,
            self._budget,
            self._clock,
            self._metrics,
            interval,
            self._random,
        )
        for service in (self.roster, self.zone_reports, self.membership):
            self.kernel.add(service)

    def _own_record(self) -> messages.Member:
        return messages.Member(
            node=self.identity.node,
            zone=self.identity.zone,
            region=self.identity.region,
            stream=self._listen("stream_port"),
            control=self._listen("control_port"),
            admin=self._listen("admin_port"),
            incarnation=self.identity.incarnation,
            sequence=0,
            state=messages.MemberState.ALIVE,
        )

    def _listen(self, option: str) -> settings.Address:
        host = self._settings.text("listen", "host")
        return settings.Address(host, self._settings.integer("listen", option))

    def _add_rollouts(self) -> None:
        recorder = rollout_recorder.Recorder(
            self.identity.node, self.identity.incarnation, self.identity.zone
        )
        policy_type = policies.find_policy(
            self._settings.text("rollouts", "policy")
        )
        self.rollouts = rollouts.Rollouts(
            self.store, policy_type(), self._clock, self._metrics, recorder
        )
        self.rollout_spread = rollout_spread.RolloutSpread(
            self.rollouts,
            recorder,
            self.membership,
            self._outside.control,
            self._clock,
            self._metrics,
            self._random,
            bool(self._settings.items("membership", "seeds")),
        )
        self.rollout_record = rollout_record.RolloutRecord(
            self._outside.table,
            self.rollouts,
            self.rollout_spread,
            self._clock,
            self._metrics,
            self._random,
        )
        self.kernel.add(self.rollouts)
        self.kernel.add(self.rollout_spread)
        self.kernel.add(self.rollout_record)

    def _add_routing(self) -> None:
        self.router = router.Router(
            self.store,
            self.membership,
            self.rollouts,
            zone_states.ZoneStates(self._clock),
            self._metrics,
        )
        self.targets = targets.LocalTargets(
            self.membership,
            self._clock,
            self._metrics,
            self._settings.duration("targets", "lease"),
        )
        self.kernel.add(self.router)
        self.kernel.add(self.targets)

    def _add_calls(self) -> None:
        self.keys = key_ledger.KeyLedger(
            self.identity.node,
            self.membership,
            self._outside.control,
            self._clock,
            self._metrics,
            self._settings.duration("calls", "key_retention"),
        )
        self.door = door.Door(
            self.identity.incarnation,
            self.targets,
            self._make_limit,
            self._clock,
            self._metrics,
            self._outside.targets,
            self._is_zone_out,
            self.keys,
            outcome_watch.OutcomeWatch(
                self.router,
                self.rollouts,
                self.rollout_spread.is_ready,
                self._clock,
            ),
        )
        picker_type = pickers.find_picker(
            self._settings.text("calls", "picker")
        )
        self.calls = calls.Calls(
            self.identity.node,
            self.router,
            picker_type(self.identity.zone, self._random),
            self.door,
            self._outside.calls,
            self.keys,
            self._clock,
            self._metrics,
            f"{self.identity.node}.{self.identity.incarnation:x}-",
        )
        self.kernel.add(self.keys)
        self.kernel.add(self.door)
        self.kernel.add(self.calls)

    def _is_zone_out(self) -> bool:
        return self.identity.zone in self.router.zones_out

    def _make_limit(self) -> admission.AdmissionLimit:
        limit_type = admissions.find_limit(
            self._settings.text("targets", "admission")
        )
        return limit_type(
            self._settings.integer("targets", "initial_limit"),
            self._settings.duration("targets", "warm_up"),
        )
