"""Base class for the services of a node."""

import abc
import datetime
import random

import attrs

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_node.configuration import configuration_reader
from balsamramp_node.configuration import distribution
from balsamramp_node.configuration import read_age
from balsamramp_node.configuration import readiness
from balsamramp_node.configuration import store
from balsamramp_node.configuration import transfer_rate_limiter
from balsamramp_node.inbound import call_interceptor
from balsamramp_node.inbound import idempotency_store
from balsamramp_node.inbound import inbound_handler
from balsamramp_node.inbound import link_admission
from balsamramp_node.inbound import response_cache
from balsamramp_node.inbound import target_limiter
from balsamramp_node.inbound import targets
from balsamramp_node.membership import member_list
from balsamramp_node.membership import membership
from balsamramp_node.membership import peer_discovery
from balsamramp_node.membership import zone_reachability
from balsamramp_node.membership import zone_reports
from balsamramp_node.outbound import picker
from balsamramp_node.outbound import pickers
from balsamramp_node.outbound import router
from balsamramp_node.process import decision_log
from balsamramp_node.process import node_dependencies
from balsamramp_node.process import shutdown_schedule
from balsamramp_node.rollouts import evidence_recorder
from balsamramp_node.rollouts import policies
from balsamramp_node.rollouts import rollout_controller
from balsamramp_node.rollouts import rollout_gossip
from balsamramp_node.rollouts import rollout_interceptor
from balsamramp_node.rollouts import rollout_persistence
from balsamramp_node.rollouts import version_presence
from balsamramp_node.rollouts import zone_states
from balsamramp_wire import messages

__all__ = ["NodeServices", "Identity"]


@attrs.frozen
class Identity:
    """Identifies a node and, by ``incarnation``, one of its starts."""

    node: str
    zone: str
    region: str
    incarnation: int


class NodeServices(abc.ABC):
    """Creates the services of a node and adds them to its service manager.

    The services are attributes, so that the servers of the process and
    tests can use them directly. A subclass defines the source of the
    operators' intents, the peer discovery at startup, and the proxy for
    the callers of this node.
    """

    response_cache_max_bytes = response_cache.RESPONSE_CACHE_MAX_BYTES
    # Whether calls carry idempotency keys.
    receives_keys = True
    fetch_delay: datetime.timedelta | None = None

    def __init__(
        self,
        identity: Identity,
        checked: settings.Settings,
        dependencies: node_dependencies.NodeDependencies,
        now: clock.Clock,
        counters: metrics.Metrics,
        rng: random.Random,
        decisions: decision_log.DecisionLog | None = None,
        shutdown: shutdown_schedule.ShutdownSchedule | None = None,
    ) -> None:
        self.identity = identity
        self.decisions = decisions or decision_log.DecisionLog(
            decision_log.NullSink(), now
        )
        self.shutdown = shutdown or shutdown_schedule.ShutdownSchedule(now)
        self.service_manager = service_manager.ServiceManager()
        self._settings = checked
        self._dependencies = dependencies
        self._clock = now
        self._metrics = counters
        self._random = rng
        self._own_member = self._make_own_member()
        for service in dependencies.services:
            self.service_manager.add(service)
        self._add_configuration()
        self._add_membership()
        self._add_rollouts()
        self._add_routing()
        self._add_calls()

    @abc.abstractmethod
    def _make_readiness(self) -> readiness.Readiness:
        """Return the check that decides when the node may serve calls."""

    @abc.abstractmethod
    def _make_configuration_reader(
        self,
    ) -> tuple[configuration_reader.ConfigurationReader, read_age.ReadAge]:
        """Return the reader of intents and the age of its last read."""

    @abc.abstractmethod
    def _make_peer_discovery(self) -> peer_discovery.PeerDiscovery:
        """Return the discovery of other nodes at startup."""

    @abc.abstractmethod
    def _make_limiter(
        self, announcement: targets.Announcement
    ) -> target_limiter.TargetLimiter:
        """Return the limiter of a newly announced target."""

    def _add_configuration(self) -> None:
        dependencies = self._dependencies
        self.store = store.ConfigurationStore(self._metrics)
        self.readiness = self._make_readiness()
        self.member_list = member_list.MemberList()
        self.source, self._read_age = self._make_configuration_reader()
        self._transfer_limiter = transfer_rate_limiter.TransferRateLimiter(
            self._clock
        )
        self.distribution = distribution.Distribution(
            self._own_member,
            self.member_list,
            dependencies.control,
            self.store,
            self.source,
            self._transfer_limiter,
            self._clock,
            self._metrics,
            self._random,
            self.fetch_delay,
        )
        for service in (
            self.store,
            self.readiness,
            self.source,
            self.distribution,
        ):
            self.service_manager.add(service)
        self._add_intent_storage()

    def _add_intent_storage(self) -> None:
        """Add the services that store intents, if the node stores any."""
        return None

    def _add_membership(self) -> None:
        own_member = self._own_member
        dependencies = self._dependencies
        seeds = self._settings.items("membership", "seeds")
        interval = self._settings.duration("membership", "interval")
        self.peer_discovery = self._make_peer_discovery()
        self.zone_reports = zone_reports.ZoneReports(
            own_member,
            self.member_list,
            dependencies.control,
            self.store,
            self._clock,
            self._random,
        )
        self.zone_reachability = zone_reachability.ZoneReachability(
            own_member.zone, self.member_list, self._clock, interval
        )
        self.membership = membership.Membership(
            own_member,
            [settings.parse_address(item) for item in seeds],
            self.member_list,
            dependencies.control,
            self.store,
            self.distribution,
            self.readiness,
            self._read_age,
            self.peer_discovery,
            self.zone_reports,
            self.zone_reachability,
            self._transfer_limiter,
            self._clock,
            self._metrics,
            interval,
            self._random,
        )
        self.service_manager.add(self.zone_reports)
        self.service_manager.add(self.membership)

    def _make_own_member(self) -> messages.Member:
        return messages.Member(
            node=self.identity.node,
            zone=self.identity.zone,
            region=self.identity.region,
            stream=self._listen_address("stream_port"),
            control=self._listen_address("control_port"),
            admin=self._listen_address("admin_port"),
            incarnation=self.identity.incarnation,
            sequence=0,
            state=messages.MemberState.ALIVE,
        )

    def _listen_address(self, option: str) -> settings.Address:
        host = self._settings.text("listen", "host")
        return settings.Address(host, self._settings.integer("listen", option))

    def _add_rollouts(self) -> None:
        recorder = evidence_recorder.EvidenceRecorder(
            self.identity.node, self.identity.incarnation, self.identity.zone
        )
        policy_type = policies.find_policy(
            self._settings.text("rollouts", "policy")
        )
        self.rollout_controller = rollout_controller.RolloutController(
            self.store,
            policy_type(),
            self._clock,
            self._metrics,
            recorder,
            version_presence.MemberVersions(
                self.membership,
                self.member_list,
                self.peer_discovery,
                self.store,
                self._clock,
            ),
        )
        self.rollout_gossip = rollout_gossip.RolloutGossip(
            self.rollout_controller,
            recorder,
            self.membership,
            self._dependencies.control,
            self._clock,
            self._metrics,
            self._random,
            self._expects_peers(),
        )
        self.rollout_persistence = rollout_persistence.RolloutPersistence(
            self._dependencies.table,
            self.rollout_controller,
            self.rollout_gossip,
            self._clock,
            self._metrics,
            self._random,
        )
        self.service_manager.add(self.rollout_controller)
        self.service_manager.add(self.rollout_gossip)
        self.service_manager.add(self.rollout_persistence)

    def _add_routing(self) -> None:
        self.router = router.Router(
            self.store,
            self.membership,
            self.rollout_controller,
            zone_states.ZoneStates(self._clock),
            self._metrics,
        )
        self.targets = targets.LocalTargets(
            self.membership,
            self._clock,
            self._metrics,
            self._get_target_lease(),
        )
        self.service_manager.add(self.router)
        self.service_manager.add(self.targets)

    def _add_calls(self) -> None:
        self.key_store = idempotency_store.IdempotencyStore(
            self.identity.node,
            self.membership,
            self._dependencies.control,
            self._clock,
            self._metrics,
            self._settings.duration("calls", "key_retention"),
            self.receives_keys,
        )
        self.inbound_handler = inbound_handler.InboundHandler(
            self.identity.incarnation,
            self.targets,
            self._make_limiter,
            self._clock,
            self._metrics,
            self._dependencies.targets,
            self._is_zone_out_of_service,
            self.key_store,
            self._make_call_interceptor(),
            self.decisions,
            self.response_cache_max_bytes,
            self.shutdown,
            link_admission.LinkAdmission(self._dependencies.replies),
        )
        self.service_manager.add(self.key_store)
        self.service_manager.add(self.inbound_handler)
        self._add_call_proxy()

    def _make_call_interceptor(self) -> call_interceptor.CallInterceptor:
        """Return what refuses and counts the calls to targets of this VM."""
        return rollout_interceptor.RolloutInterceptor(
            self.router,
            self.rollout_controller,
            self.rollout_gossip.is_ready,
            self._clock,
        )

    def _is_zone_out_of_service(self) -> bool:
        return self.identity.zone in self.router.zones_out_of_service

    @abc.abstractmethod
    def _get_target_lease(self) -> datetime.timedelta:
        """Return how long an announcement of a target is valid."""

    def _expects_peers(self) -> bool:
        """Return whether other nodes are expected at startup."""
        return bool(self._settings.items("membership", "seeds"))

    @abc.abstractmethod
    def _add_call_proxy(self) -> None:
        """Add the service that handles the calls of callers."""

    def _make_picker(self) -> picker.TargetPicker:
        picker_type = pickers.find_picker(
            self._settings.text("calls", "picker")
        )
        return picker_type(self.identity.zone, self._random)
