"""Services of a sidecar, whose platform stores operators' intents."""

import datetime
import random

from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core import settings
from balsamramp_core.resources import caller_limits
from balsamramp_node.configuration import configuration_reader
from balsamramp_node.configuration import intent_store_reader
from balsamramp_node.configuration import read_age
from balsamramp_node.configuration import readiness
from balsamramp_node.configuration import restored_intents
from balsamramp_node.configuration import zone_feed
from balsamramp_node.inbound import call_interceptor
from balsamramp_node.inbound import call_organisation
from balsamramp_node.inbound import queue_disciplines
from balsamramp_node.inbound import target_limiter
from balsamramp_node.inbound import targets
from balsamramp_node.inbound.limiters import slot_limiter
from balsamramp_node.membership import peer_discovery
from balsamramp_node.membership import table_discovery
from balsamramp_node.outbound import call_dispatcher
from balsamramp_node.outbound import entry_proxy
from balsamramp_node.outbound import key_check
from balsamramp_node.outbound import retry_budget
from balsamramp_node.process import decision_log
from balsamramp_node.process import node_dependencies
from balsamramp_node.process import node_services
from balsamramp_node.process import shutdown_schedule
from balsamramp_node.rollouts import outcome_reporter
from balsamramp_node.usage import usage_reporting
from balsamramp_wire import messages

__all__ = ["SidecarServices"]

# Heartbeats that may be missing before the lease of a target expires. They are
# late by seconds at times; failing calls reveal a stopped target earlier.
LEASE_HEARTBEATS = 4
LIMITS_KEY = resource.ResourceKey(
    caller_limits.CallerLimits.kind, caller_limits.NAME
)


class SidecarServices(node_services.NodeServices):
    """Follows the platform's intents; routes by host and path of an entry.

    Targets announce their number of slots, and their inbound handlers queue
    the calls beyond it.
    """

    # Responses are kept for calls that are sent again after a lost connection;
    # memory is the scarcest resource of a small VM.
    response_cache_max_bytes = 2 * 1024 * 1024
    receives_keys = False
    # The store gets half of the time within which a change has to be in
    # force; after that the node fetches the change from a peer.
    fetch_delay = datetime.timedelta(seconds=1)

    def __init__(
        self,
        identity: node_services.Identity,
        checked: settings.Settings,
        dependencies: node_dependencies.SidecarDependencies,
        now: clock.Clock,
        counters: metrics.Metrics,
        rng: random.Random,
        decisions: decision_log.DecisionLog,
        shutdown: shutdown_schedule.ShutdownSchedule,
    ) -> None:
        self._sidecar_dependencies = dependencies
        super().__init__(
            identity,
            checked,
            dependencies,
            now,
            counters,
            rng,
            decisions,
            shutdown,
        )
        self.outcome_reporter = outcome_reporter.OutcomeReporter(
            dependencies.outcome_publisher,
            self.rollout_controller,
            self.rollout_gossip,
            now,
            decisions,
            rng,
        )
        self.service_manager.add(self.outcome_reporter)
        self._zone_was_out_of_service = False
        self.store.listen(self._on_zone_state)

    def caller_limits(self) -> caller_limits.CallerLimits:
        """Return the limits for callers of the current configuration."""
        limits = self.store.current.resources.get(LIMITS_KEY)
        if isinstance(limits, caller_limits.CallerLimits):
            return limits
        return caller_limits.CallerLimits(name=caller_limits.NAME)

    def _make_readiness(self) -> readiness.Readiness:
        return readiness.Readiness(self.store, trust_any_zone=True)

    def _make_configuration_reader(
        self,
    ) -> tuple[configuration_reader.ConfigurationReader, read_age.ReadAge]:
        last_read_age = read_age.ReadAge(self._clock)
        restored = restored_intents.RestoredIntents(
            self.store,
            self._sidecar_dependencies.is_of_one_generation,
            self._clock,
            self._metrics,
            self.decisions,
        )
        self.zone_feed = zone_feed.ZoneFeed(
            self._own_member,
            self.member_list,
            self._dependencies.control,
            self.store,
            last_read_age,
            self._clock,
            self._metrics,
            self.decisions,
            restored,
            self._sidecar_dependencies.intents.clock,
        )
        self.service_manager.add(self.zone_feed)
        reader = intent_store_reader.IntentStoreReader(
            self._sidecar_dependencies.intents,
            self.store,
            self.readiness,
            last_read_age,
            self._clock,
            self._metrics,
            self.decisions,
            self._random,
            self.zone_feed,
            restored,
        )
        return reader, last_read_age

    def _make_peer_discovery(self) -> peer_discovery.PeerDiscovery:
        discovery = table_discovery.TableDiscovery(
            self._own_member,
            self._sidecar_dependencies.table,
            self.member_list,
            self._clock,
            self._random,
        )
        self.service_manager.add(discovery)
        return discovery

    def _make_call_interceptor(self) -> call_interceptor.CallInterceptor:
        interceptor = super()._make_call_interceptor()
        terms = self._sidecar_dependencies.usage
        if terms is None:
            return interceptor
        reporting = usage_reporting.UsageReporting(
            terms,
            self._own_member,
            self.member_list,
            self._sidecar_dependencies.table,
            self._dependencies.control,
            self._clock,
            self._metrics,
            self.decisions,
            self._random,
        )
        for service in reporting.services:
            self.service_manager.add(service)
        return reporting.intercept(interceptor)

    def _make_limiter(
        self, announcement: targets.Announcement
    ) -> target_limiter.TargetLimiter:
        discipline_type = queue_disciplines.find_queue_discipline(
            self._settings.text("targets", "order")
        )
        return slot_limiter.SlotLimiter(
            announcement,
            discipline_type(),
            self._get_warm_up_rate,
            self._clock,
            self.targets.process_started_ms,
            call_organisation.CallOrganisation(
                self._sidecar_dependencies.organisation_header
            ),
        )

    def _get_target_lease(self) -> datetime.timedelta:
        return self._settings.duration("targets", "beat") * LEASE_HEARTBEATS

    def _make_own_member(self) -> messages.Member:
        address = self._listen_address("stream_port")
        advertised = self._settings.items("listen", "stream_advertised")
        if advertised:
            address = settings.parse_address(advertised[0])
        return messages.Member(
            node=self.identity.node,
            zone=self.identity.zone,
            region=self.identity.region,
            stream=address,
            control=address,
            admin=address,
            incarnation=self.identity.incarnation,
            sequence=0,
            state=messages.MemberState.ALIVE,
            link_rate=self._settings.number("listen", "link_rate"),
        )

    def _on_zone_state(self, current: configuration.Configuration) -> None:
        """Treat targets as cold when their zone is back in service."""
        was_out_of_service, self._zone_was_out_of_service = (
            self._zone_was_out_of_service,
            self._is_zone_out_of_service(),
        )
        if was_out_of_service and not self._zone_was_out_of_service:
            self.inbound_handler.assume_cold()

    def _get_warm_up_rate(self, service: str) -> float:
        limits = self.router.service(service)
        return limits.warm_up_rate if limits is not None else 0.0

    def _expects_peers(self) -> bool:
        return True

    def _add_call_proxy(self) -> None:
        budget = retry_budget.RetryBudget(
            self._settings.number("calls", "retry_ratio"),
            self._settings.duration("calls", "retry_window"),
            self._settings.number("calls", "retry_slack"),
        )
        self.entry_proxy = entry_proxy.EntryProxy(
            self.router,
            self._make_picker(),
            call_dispatcher.CallDispatcher(
                self.identity.node,
                self.inbound_handler,
                self._dependencies.calls,
                self._dependencies.control,
                self._clock,
            ),
            budget,
            lambda: len(self.membership.members()),
            self.member_list.has_restarted,
            self._clock,
            self._metrics,
            self.decisions,
            self._random,
            self.shutdown,
            self.zone_feed,
            key_check.KeyCheck(
                self.store, self._sidecar_dependencies.organisation_header
            ),
        )
        self.service_manager.add(self.entry_proxy)
