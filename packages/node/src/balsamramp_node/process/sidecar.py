"""A node that runs as a sidecar on the VM of one target."""

import asyncio
from collections import abc
import datetime
import functools
import gc
import random
import time
import typing

from absl import logging
import msgspec

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core.resources import caller_limits
from balsamramp_node.inbound import body_room
from balsamramp_node.inbound import call_organisation
from balsamramp_node.inbound import control_server
from balsamramp_node.inbound import pooled_target_client
from balsamramp_node.inbound import reply_scheduler
from balsamramp_node.inbound import stream_server
from balsamramp_node.inbound import targets as local_targets
from balsamramp_node.outbound import entry_ingress
from balsamramp_node.outbound import peer_stream
from balsamramp_node.outbound import retry_after_jitter
from balsamramp_node.outbound import stream_client
from balsamramp_node.outbound import stream_control_transport
from balsamramp_node.process import asgi_handler
from balsamramp_node.process import body_budget
from balsamramp_node.process import caller_connection_log
from balsamramp_node.process import caller_server
from balsamramp_node.process import connection_limit
from balsamramp_node.process import decision_log
from balsamramp_node.process import event_loop_monitor
from balsamramp_node.process import listening_ports
from balsamramp_node.process import node_dependencies
from balsamramp_node.process import node_services
from balsamramp_node.process import platform_adapter
from balsamramp_node.process import process_limits
from balsamramp_node.process import shutdown_log
from balsamramp_node.process import shutdown_schedule
from balsamramp_node.process import sidecar_services
from balsamramp_node.process import traffic_monitor
from balsamramp_node.usage import usage_reporting
from balsamramp_node.usage import usage_windows
from balsamramp_wire import messages

__all__ = ["Sidecar"]

GC_THRESHOLDS = (20_000, 20, 50)
# Time for the open requests of the side servers when they stop.
SIDE_TIMEOUT = datetime.timedelta(seconds=0.7)
SIDE_LIMITS = caller_limits.CallerLimits(
    name="side", body_max_bytes=1024 * 1024
)
# Connections between nodes are idle for tenths of a second, and a VM under CPU
# pressure responds with a delay of that order; shorter timeouts would treat
# both as unresponsive.
KEEPALIVE = peer_stream.KeepaliveConfig(
    check_interval=datetime.timedelta(milliseconds=100),
    ping_after=datetime.timedelta(milliseconds=200),
    suspect_after=datetime.timedelta(milliseconds=250),
    close_after=datetime.timedelta(milliseconds=500),
    connect_timeout=datetime.timedelta(milliseconds=250),
)
BYTES_PER_MEGABIT = 125_000
BYTES_PER_MEGABYTE = 1_000_000
# Nodes that share an address may share this port for as long as they run.
METRICS_RETRY = listening_ports.RetryIntervals(
    attempt=datetime.timedelta(seconds=1), log=datetime.timedelta(minutes=10)
)
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503

Send = abc.Callable[[abc.Mapping[str, typing.Any]], abc.Awaitable[None]]


class Sidecar:
    """One node, configured by its settings and a platform adapter.

    Example::

        node = Sidecar(checked, adapter, clock.SystemClock(), decisions)
        await node.start()
        ...
        await node.stop()
    """

    def __init__(
        self,
        checked: settings.Settings,
        adapter: platform_adapter.PlatformAdapter,
        now: clock.Clock,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._settings = checked
        self._clock = now
        self._decisions = decisions
        self._service = checked.text("node", "service")
        self._serving = False
        self._shutdown = shutdown_schedule.ShutdownSchedule(
            now, checked.duration("shutdown", "grace")
        )
        self._metrics = metrics.Metrics()
        adapter.instrument(self._metrics, decisions)
        identity = node_services.Identity(
            checked.text("node", "id"),
            checked.text("node", "zone"),
            checked.text("node", "region"),
            time.time_ns(),
        )
        self._loop_monitor = event_loop_monitor.EventLoopMonitor(
            now, self._metrics, decisions
        )
        hello = messages.Hello(identity.node, identity.incarnation)
        streams = stream_client.StreamClient(
            hello, now, self._metrics, keepalive=KEEPALIVE
        )
        control_handlers = control_server.ControlServer()
        self._limits = process_limits.ProcessLimits.make(
            int(checked.number("node", "memory") * BYTES_PER_MEGABYTE),
            checked.integer("node", "descriptors"),
        )
        self._budget = body_budget.BodyBudget(
            self._limits.message_bytes, self._metrics, now
        )
        target_client = pooled_target_client.PooledTargetClient(
            adapter.dialect,
            checked.integer("calls", "body_max_bytes"),
            now,
            self._metrics,
            self._budget,
        )
        replies = reply_scheduler.ReplyScheduler(
            checked.number("listen", "link_rate") * BYTES_PER_MEGABIT,
            now,
            self._metrics,
            decisions,
        )
        ready_port = self._make_ports(
            "ready-port", {"ready": self._parse_address("ready")}
        )
        self._ports = self._make_ports(
            "ports",
            {
                "callers": self._parse_address("callers"),
                "announcements": self._parse_address("announcements"),
                "stream_port": self._listen_address("stream_port"),
            },
            requires=("ready",),
        )
        dependencies = node_dependencies.SidecarDependencies(
            replies=replies,
            table=adapter.table,
            control=stream_control_transport.StreamControlTransport(
                streams, control_handlers
            ),
            calls=streams,
            targets=target_client,
            intents=adapter.intent_source,
            outcome_publisher=adapter.outcome_publisher,
            is_of_one_generation=adapter.is_of_one_generation,
            organisation_header=adapter.dialect.organisation,
            usage=self._make_reporting_terms(adapter),
            # The ports first: a node that misses one does nothing else.
            services=(
                ready_port,
                self._make_side_server(
                    ready_port,
                    "ready",
                    "ready",
                    self._serve_readiness,
                    ("ready-port",),
                ),
                self._ports,
                self._loop_monitor,
                *adapter.services,
                streams,
                target_client,
            ),
        )
        self._services = sidecar_services.SidecarServices(
            identity,
            checked,
            dependencies,
            now,
            self._metrics,
            random.Random(f"{identity.node} {identity.incarnation}"),
            decisions,
            self._shutdown,
        )
        self._services.store.listen(
            lambda current: adapter.record_revision(current.version)
        )
        self._shutdown_log = shutdown_log.ShutdownLog(now, decisions)
        manager = self._services.service_manager
        manager.on_service_stopping = self._shutdown_log.on_service_stopping
        manager.on_service_stopped = self._shutdown_log.on_service_stopped
        self._target_client = target_client
        self._services.targets.probe_health = self._check_target_health
        self._services.targets.is_expected = self._has_target_of
        target_client.on_connection_refused = self._on_connection_refused
        target_client.on_misdirected = self._services.targets.suspend
        target_client.on_statement = (
            self._services.inbound_handler.record_statement
        )
        manager.add(
            self._make_side_server(
                self._ports,
                "announcements",
                "heartbeats",
                adapter.heartbeat_api(self._services.targets),
                ("source", "targets"),
            )
        )
        manager.add(self._make_metrics_server())
        room = body_room.BodyRoom(
            self._limits.peer_body_bytes, now, self._metrics
        )
        room.serve(dependencies.control)
        peer_server = stream_server.StreamServer(
            hello,
            self._listen_address("stream_port"),
            self._services.inbound_handler,
            now,
            self._metrics,
            control=control_handlers,
            shutdown=self._shutdown,
            replies=replies,
            take_listener=functools.partial(self._ports.take, "stream_port"),
            decisions=decisions,
            room=room,
        )
        self._services.service_manager.add(peer_server)
        self._services.service_manager.add(
            traffic_monitor.TrafficMonitor(
                lambda: streams.unsent_bytes + peer_server.unsent_bytes,
                now,
                self._metrics,
                decisions,
            )
        )
        self._services.service_manager.add(self._make_caller_server(adapter))
        self._budget.count_unsent(
            lambda: (
                replies.queued_bytes
                + streams.unsent_bytes
                + peer_server.unsent_bytes
            )
        )

    @property
    def ready(self) -> bool:
        """Return whether callers may send requests to this node."""
        if not self._serving or self._shutdown.begun:
            return False
        return self._services.store.in_service

    @property
    def obstacle(self) -> str:
        """Return why the node is not ready, or an empty string."""
        if self._shutdown.begun:
            return "the node stops"
        if not self._serving:
            return self._ports.obstacle or "the node starts"
        return self._services.readiness.obstacle

    @property
    def shutdown(self) -> shutdown_schedule.ShutdownSchedule:
        """Return the schedule of the shutdown."""
        return self._shutdown

    async def start(self) -> None:
        """Start all services; raises service_manager.StartError."""
        self._decisions.write(
            "start", incarnation=self._services.identity.incarnation
        )
        await self._services.service_manager.start()
        self._serving = True
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)

    async def stop(self) -> None:
        """Serve late requests, withdraw from the fleet, and stop.

        The schedule of the shutdown bounds the time, whatever the services
        wait for.
        """
        shutdown = self._shutdown
        shutdown.begin()
        self._shutdown_log.write_phase("leaving")
        self._services.inbound_handler.drain()
        ending = asyncio.create_task(self._end_calls_in_time())
        await shutdown.wait_until(shutdown.notice_end)
        leaving = asyncio.create_task(self._leave_fleet())
        self._shutdown_log.write_phase("closing")
        try:
            async with asyncio.timeout(
                shutdown.seconds_until(shutdown.stop_end)
            ):
                await self._services.service_manager.stop()
                await leaving
        except TimeoutError:
            logging.warning("some services did not stop in time; leaving them")
        ending.cancel()
        leaving.cancel()
        self._shutdown_log.write_phase("stopped")

    async def _end_calls_in_time(self) -> None:
        """End the calls that still run when responses must be sent."""
        await self._shutdown.wait_until(self._shutdown.calls_end)
        own = self._services.entry_proxy.end_calls()
        others = self._services.inbound_handler.end_calls()
        if own or others:
            logging.warning(
                "%d requests of callers and %d calls still run at the end of"
                " the shutdown; ending them with a failure",
                own,
                others,
            )

    async def _leave_fleet(self) -> None:
        """Tell the peers and the store, which may take long to respond."""
        results = await asyncio.gather(
            self._services.membership.leave(),
            self._services.peer_discovery.withdraw(),
            return_exceptions=True,
        )
        for error in results:
            if isinstance(error, Exception):
                logging.warning("leaving the fleet failed: %r", error)

    def reload(self, checked: settings.Settings) -> None:
        """Apply the settings that may change while the node runs."""
        before, self._service = self._service, checked.text("node", "service")
        self._decisions.write(
            "reload", service=self._service, service_before=before
        )

    def _make_reporting_terms(
        self, adapter: platform_adapter.PlatformAdapter
    ) -> usage_reporting.ReportingTerms | None:
        publisher = adapter.usage_publisher
        if publisher is None:
            return None
        return usage_reporting.ReportingTerms(
            publisher=publisher,
            organisations=call_organisation.CallOrganisation(
                adapter.dialect.organisation
            ),
            windows=usage_windows.UsageWindows(
                self._settings.duration("usage", "window"),
                self._settings.duration("usage", "lateness"),
            ),
            lease_duration=self._settings.duration("usage", "lease"),
        )

    def _listen_address(self, option: str) -> settings.Address:
        host_ip = self._settings.text("listen", "host")
        return settings.Address(
            host_ip, self._settings.integer("listen", option)
        )

    def _parse_address(self, option: str) -> settings.Address:
        return settings.parse_address(self._settings.text("listen", option))

    def _on_connection_refused(self, target: str) -> None:
        """Suspend a target that refuses connections; it restarts cold."""
        self._decisions.write("target_refuses", target=target)
        self._services.targets.suspend(target)
        self._services.inbound_handler.assume_cold(target)

    def _has_target_of(self, service: str) -> bool:
        return service == self._service

    async def _check_target_health(
        self, announcement: local_targets.Announcement
    ) -> local_targets.Health:
        service_resource = self._services.router.service(announcement.service)
        if service_resource is None or not service_resource.health_path:
            return local_targets.Health.UNKNOWN
        return await self._target_client.check_health(
            announcement, service_resource.health_path
        )

    def _make_caller_server(
        self, adapter: platform_adapter.PlatformAdapter
    ) -> caller_server.CallerServer:
        ingress = entry_ingress.EntryIngress(
            self._services.entry_proxy,
            adapter.dialect,
            lambda: self._service,
            self._shutdown,
            self._clock,
            retry_after_jitter.RetryAfterJitter(random.Random()),
        )
        return caller_server.CallerServer(
            "ingress",
            ingress.handle_request,
            self._services.caller_limits,
            self._parse_address("callers"),
            ("entry-calls", "stream-server"),
            self._shutdown,
            caller_connection_log.CallerConnectionLog(
                self._metrics,
                self._decisions,
                adapter.dialect.request_id,
                lambda: self._loop_monitor.delay_seconds,
            ),
            budget=self._budget,
            limit=connection_limit.ConnectionLimit(
                "ingress", self._limits.caller_connections, self._metrics
            ),
            take_listener=functools.partial(self._ports.take, "callers"),
        )

    def _make_ports(
        self,
        name: str,
        addresses: abc.Mapping[str, settings.Address],
        requires: tuple[str, ...] = (),
        intervals: listening_ports.RetryIntervals | None = None,
    ) -> listening_ports.ListeningPorts:
        return listening_ports.ListeningPorts(
            name,
            addresses,
            self._clock,
            self._metrics,
            self._decisions,
            requires,
            intervals,
        )

    def _make_metrics_server(self) -> listening_ports.BackgroundServer:
        ports = self._make_ports(
            "metrics-port",
            {"metrics_port": self._listen_address("metrics_port")},
            intervals=METRICS_RETRY,
        )
        server = self._make_side_server(
            ports,
            "metrics_port",
            "metrics",
            self._serve_metrics_and_dump,
            ("source", "targets"),
        )
        return listening_ports.BackgroundServer(ports, server)

    def _make_side_server(
        self,
        ports: listening_ports.ListeningPorts,
        port: str,
        name: str,
        application: typing.Any,
        requires: tuple[str, ...],
    ) -> caller_server.CallerServer:
        """Return a server for readiness, heartbeats, or metrics and dump."""
        return caller_server.CallerServer(
            name,
            asgi_handler.AsgiHandler(application).handle_request,
            lambda: SIDE_LIMITS,
            ports.addresses[port],
            requires,
            self._shutdown,
            drain_timeout=SIDE_TIMEOUT,
            budget=self._budget,
            limit=connection_limit.ConnectionLimit(
                name, self._limits.side_connections, self._metrics
            ),
            take_listener=functools.partial(ports.take, port),
        )

    async def _serve_readiness(
        self, scope: typing.Any, receive: typing.Any, send: Send
    ) -> None:
        status = STATUS_OK if self.ready else STATUS_UNAVAILABLE
        await _send_response(send, status, self.obstacle.encode())

    async def _serve_metrics_and_dump(
        self, scope: typing.Any, receive: typing.Any, send: Send
    ) -> None:
        if scope["path"] == "/metrics":
            content, _ = self._metrics.render()
            await _send_response(send, STATUS_OK, content)
            return
        if scope["path"] == "/dump":
            dump = msgspec.json.encode(self._services.service_manager.dump())
            await _send_response(send, STATUS_OK, dump)
            return
        await _send_response(send, STATUS_NOT_FOUND, b"")


async def _send_response(send: Send, status: int, body: bytes) -> None:
    headers = [(b"content-length", str(len(body)).encode())]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})
