"""Services of a node that accepts, orders and stores operators' intents."""

import datetime
import random

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_node.configuration import accepted_log
from balsamramp_node.configuration import change_committer
from balsamramp_node.configuration import configuration_reader
from balsamramp_node.configuration import platform_log_reader
from balsamramp_node.configuration import read_age
from balsamramp_node.configuration import reader_lease
from balsamramp_node.configuration import readiness
from balsamramp_node.configuration import snapshots
from balsamramp_node.inbound import concurrency_limits
from balsamramp_node.inbound import target_limiter
from balsamramp_node.inbound import targets
from balsamramp_node.inbound.limiters import concurrency_limiter
from balsamramp_node.membership import object_store_discovery
from balsamramp_node.membership import peer_discovery
from balsamramp_node.outbound import call_proxy
from balsamramp_node.process import node_dependencies
from balsamramp_node.process import node_services
from balsamramp_node.process import operator_service
from balsamramp_node.process import shutdown_schedule

__all__ = ["StandaloneServices", "Identity"]

Identity = node_services.Identity


class StandaloneServices(node_services.NodeServices):
    """Stores a log of accepted changes in the platform's storage.

    Callers name the service of a call. Targets are protected by a
    concurrency limit of the configured kind.
    """

    def __init__(
        self,
        identity: node_services.Identity,
        checked: settings.Settings,
        dependencies: node_dependencies.StandaloneDependencies,
        now: clock.Clock,
        counters: metrics.Metrics,
        rng: random.Random,
        shutdown: shutdown_schedule.ShutdownSchedule | None = None,
    ) -> None:
        self._objects = dependencies.objects
        super().__init__(
            identity,
            checked,
            dependencies,
            now,
            counters,
            rng,
            shutdown=shutdown,
        )
        self.operator_service = operator_service.OperatorService(
            self.service_manager,
            self.identity.node,
            self.change_committer,
        )

    def _make_readiness(self) -> readiness.Readiness:
        return readiness.Readiness(self.store)

    def _make_configuration_reader(
        self,
    ) -> tuple[configuration_reader.ConfigurationReader, read_age.ReadAge]:
        member = self._own_member
        self.reader_lease = reader_lease.ReaderLease(
            member.node,
            member.zone,
            member.incarnation,
            self.member_list,
            self.readiness,
            self._dependencies.table,
            self._clock,
            self._metrics,
            self._random,
        )
        self.service_manager.add(self.reader_lease)
        self._log = accepted_log.AcceptedLog(
            self._dependencies.table, self._objects
        )
        self._log_reader = platform_log_reader.PlatformLogReader(
            self._log,
            self.store,
            self.reader_lease,
            self.readiness,
            self._clock,
            self._metrics,
            self._settings.duration("platform", "poll_interval"),
            self._random,
        )
        return self._log_reader, self.reader_lease

    def _make_peer_discovery(self) -> peer_discovery.PeerDiscovery:
        self.object_store_discovery = (
            object_store_discovery.ObjectStoreDiscovery(
                self._own_member.zone,
                self._objects,
                self.member_list,
                self.reader_lease,
                self._clock,
                self._random,
            )
        )
        self.service_manager.add(self.object_store_discovery)
        return self.object_store_discovery

    def _make_limiter(
        self, announcement: targets.Announcement
    ) -> target_limiter.TargetLimiter:
        limit_type = concurrency_limits.find_limit(
            self._settings.text("targets", "admission")
        )
        limit = limit_type(
            self._settings.integer("targets", "initial_limit"),
            self._settings.duration("targets", "warm_up"),
        )
        return concurrency_limiter.ConcurrencyLimiter(
            announcement, limit, self._clock
        )

    def _get_target_lease(self) -> datetime.timedelta:
        return self._settings.duration("targets", "lease")

    def _add_call_proxy(self) -> None:
        self.call_proxy = call_proxy.CallProxy(
            self.identity.node,
            self.router,
            self._make_picker(),
            self.inbound_handler,
            self._dependencies.calls,
            self.key_store,
            self._clock,
            self._metrics,
            f"{self.identity.node}.{self.identity.incarnation:x}-",
            self.shutdown,
        )
        self.service_manager.add(self.call_proxy)

    def _add_intent_storage(self) -> None:
        self.change_committer = change_committer.ChangeCommitter(
            self._log,
            self._log_reader,
            self.store,
            self.distribution,
            self._clock,
            self._metrics,
            self._random,
        )
        self.snapshots = snapshots.Snapshots(
            self._log,
            self.store,
            self._log_reader,
            self.reader_lease,
            self._clock,
            self._metrics,
            self._settings.integer("snapshots", "versions"),
            self._random,
        )
        self.service_manager.add(self.change_committer)
        self.service_manager.add(self.snapshots)
