"""Hosted core: a node whose host orders and keeps operators' intents."""

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
from balsamramp_node.inbound import queue_disciplines
from balsamramp_node.inbound import target_limiter
from balsamramp_node.inbound import targets
from balsamramp_node.inbound.limiters import slot_limiter
from balsamramp_node.membership import peer_discovery
from balsamramp_node.membership import table_discovery
from balsamramp_node.outbound import call_dispatcher
from balsamramp_node.outbound import entry_proxy
from balsamramp_node.outbound import retry_budget
from balsamramp_node.process import decision_log
from balsamramp_node.process import node_dependencies
from balsamramp_node.process import node_services
from balsamramp_node.rollouts import outcome_reporter
from balsamramp_wire import messages

__all__ = ["SidecarServices"]

# Announcements that may fail before a target counts as gone. They come late
# by seconds at times; a target that ends is noticed by its calls.
LEASE_BEATS = 4
LIMITS_KEY = resource.ResourceKey(
    caller_limits.CallerLimits.kind, caller_limits.NAME
)


class SidecarServices(node_services.NodeServices):
    """Follows the host's intents; callers reach entries by host and path.

    Targets say how many calls they run, and their doors queue the rest.
    """

    # Answers are asked for again within a second if their connection was
    # lost, and memory is what a small VM has least of.
    response_cache_max_bytes = 2 * 1024 * 1024
    # Half of the time within which a change is in force, for the store to
    # answer; then a peer is asked.
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
    ) -> None:
        self._hosted = dependencies
        super().__init__(
            identity, checked, dependencies, now, counters, rng, decisions
        )
        self.reporter = outcome_reporter.OutcomeReporter(
            dependencies.outcome_publisher,
            self.rollouts,
            self.rollout_spread,
            now,
            decisions,
            rng,
        )
        self.service_manager.add(self.reporter)
        self._was_out = False
        self.store.listen(self._watch_zone)

    def caller_limits(self) -> caller_limits.CallerLimits:
        """Return the limits on callers that are in force."""
        found = self.store.current.resources.get(LIMITS_KEY)
        if isinstance(found, caller_limits.CallerLimits):
            return found
        return caller_limits.CallerLimits(name=caller_limits.NAME)

    def _make_readiness(self) -> readiness.Readiness:
        return readiness.Readiness(self.store, trust_any_zone=True)

    def _make_source(
        self,
    ) -> tuple[configuration_reader.ConfigurationReader, read_age.ReadAge]:
        age = read_age.ReadAge(self._clock)
        made = intent_store_reader.IntentStoreReader(
            self._hosted.intents,
            self.store,
            self.readiness,
            age,
            self._clock,
            self._metrics,
            self.decisions,
            self._random,
        )
        return made, age

    def _make_peer_discovery(self) -> peer_discovery.PeerDiscovery:
        made = table_discovery.TableDiscovery(
            self._own,
            self._hosted.table,
            self.member_list,
            self._clock,
            self._random,
        )
        self.service_manager.add(made)
        return made

    def _make_limiter(
        self, announcement: targets.Announcement
    ) -> target_limiter.TargetLimiter:
        order_type = queue_disciplines.find_queue_discipline(
            self._settings.text("targets", "order")
        )
        return slot_limiter.SlotLimiter(
            announcement, order_type(), self._warm_up_rate, self._clock
        )

    def _target_lease(self) -> datetime.timedelta:
        return self._settings.duration("targets", "beat") * LEASE_BEATS

    def _own_record(self) -> messages.Member:
        address = self._listen("stream_port")
        advertised = self._settings.text("listen", "stream_advertised")
        if advertised:
            address = settings.parse_address(advertised)
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
        )

    def _watch_zone(self, current: configuration.Configuration) -> None:
        """Treat targets as cold when their zone comes back."""
        was_out, self._was_out = self._was_out, self._is_zone_out()
        if was_out and not self._was_out:
            self.inbound_handler.assume_cold()

    def _warm_up_rate(self, service: str) -> float:
        found = self.router.service(service)
        return found.warm_up_rate if found is not None else 0.0

    def _has_peers(self) -> bool:
        return True

    def _add_callers(self) -> None:
        budget = retry_budget.RetryBudget(
            self._settings.number("calls", "retry_ratio"),
            self._settings.duration("calls", "retry_window"),
            self._settings.number("calls", "retry_slack"),
        )
        self.calls = entry_proxy.EntryProxy(
            self.router,
            self._picker(),
            call_dispatcher.CallDispatcher(
                self.identity.node,
                self.inbound_handler,
                self._dependencies.calls,
            ),
            budget,
            lambda: len(self.membership.members()),
            self._clock,
            self._metrics,
            self.decisions,
            self._random,
        )
        self.service_manager.add(self.calls)
