"""The parts of a node that count and report usage."""

import datetime
import random

import attrs

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import storage
from balsamramp_node.inbound import call_interceptor
from balsamramp_node.inbound import call_organisation
from balsamramp_node.membership import member_list
from balsamramp_node.process import decision_log
from balsamramp_node.usage import counting_interceptor
from balsamramp_node.usage import fleet_time
from balsamramp_node.usage import reporter_lease
from balsamramp_node.usage import usage_collector
from balsamramp_node.usage import usage_counter
from balsamramp_node.usage import usage_exchange
from balsamramp_node.usage import usage_publisher
from balsamramp_node.usage import usage_reporter
from balsamramp_node.usage import usage_roles
from balsamramp_node.usage import usage_windows
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["ReportingTerms", "UsageReporting"]


@attrs.frozen(kw_only=True)
class ReportingTerms:
    """How usage is reported, and to what.

    ``lease_duration`` is the time within which two holders must not
    alternate.
    """

    publisher: usage_publisher.UsagePublisher
    organisations: call_organisation.CallOrganisation
    windows: usage_windows.UsageWindows
    lease_duration: datetime.timedelta


class UsageReporting:
    """Creates the parts; ``services`` are for the service manager."""

    def __init__(
        self,
        terms: ReportingTerms,
        own: messages.Member,
        members: member_list.MemberList,
        table: storage.Table,
        control: control_transport.ControlTransport,
        time: clock.Clock,
        counters: metrics.Metrics,
        decisions: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        self._terms = terms
        self._clock = time
        fleet = fleet_time.FleetTime(time)
        roles = usage_roles.UsageRoles(own, members)
        self.counter = usage_counter.UsageCounter(
            terms.windows, fleet, counters
        )
        collector = usage_collector.UsageCollector(
            own.zone, members, terms.windows, fleet
        )
        self.exchange = usage_exchange.UsageExchange(
            own,
            self.counter,
            collector,
            roles,
            fleet,
            control,
            time,
            counters,
            rng,
        )
        lease = reporter_lease.ReporterLease(
            own.node,
            own.incarnation,
            table,
            terms.lease_duration,
            lambda node: members.get(node) is not None,
            time,
            counters,
            decisions,
        )
        self.reporter = usage_reporter.UsageReporter(
            lease,
            own.node,
            table,
            collector,
            roles,
            terms.windows,
            terms.publisher,
            fleet,
            control,
            time,
            counters,
            decisions,
            rng,
        )

    @property
    def services(self) -> tuple[service_manager.Service, ...]:
        """Return the services, to be added before the inbound handler.

        They stop after it then, so that the last calls are counted.
        """
        return (self.exchange, self.reporter)

    def intercept(
        self, inner: call_interceptor.CallInterceptor
    ) -> call_interceptor.CallInterceptor:
        """Return an interceptor that counts calls and leads to ``inner``."""
        return counting_interceptor.CountingInterceptor(
            inner, self._terms.organisations, self.counter, self._clock
        )
