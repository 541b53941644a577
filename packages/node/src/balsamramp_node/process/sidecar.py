"""Sidecar: a node on the VM of one target, on a platform of its own."""

from collections import abc
import datetime
import gc
import random
import time
import typing

import msgspec

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_node.inbound import control_server
from balsamramp_node.inbound import pooled_target_client
from balsamramp_node.inbound import stream_server
from balsamramp_node.inbound import targets as local_targets
from balsamramp_node.outbound import entry_ingress
from balsamramp_node.outbound import peer_stream
from balsamramp_node.outbound import retry_after_jitter
from balsamramp_node.outbound import stream_client
from balsamramp_node.outbound import stream_control_transport
from balsamramp_node.process import caller_server
from balsamramp_node.process import decision_log
from balsamramp_node.process import http_server
from balsamramp_node.process import node_dependencies
from balsamramp_node.process import node_services
from balsamramp_node.process import platform_adapter
from balsamramp_node.process import port_dispatcher
from balsamramp_node.process import sidecar_services
from balsamramp_wire import messages

__all__ = ["Sidecar"]

COLLECTOR_THRESHOLDS = (20_000, 20, 50)
# Requests still come until the platform has asked twice, a second apart,
# and got no 200; half a second more for what is on its way.
LINGER = datetime.timedelta(seconds=2.5)
# Kept of the grace for closing what is left.
CLOSING = datetime.timedelta(seconds=0.7)
# A connection between nodes is idle for tenths of a second, and a VM that
# is short of processor time answers as late.
SILENCE = peer_stream.KeepaliveConfig(
    check_interval=datetime.timedelta(milliseconds=100),
    ping_after=datetime.timedelta(milliseconds=200),
    suspect_after=datetime.timedelta(milliseconds=250),
    close_after=datetime.timedelta(milliseconds=500),
    connect_timeout=datetime.timedelta(milliseconds=250),
)
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503

Send = abc.Callable[[abc.Mapping[str, typing.Any]], abc.Awaitable[None]]


class Sidecar:
    """One node, made from its settings and the host's protocols.

    Example::

        node = Sidecar(checked, host, clock.SystemClock(), decisions)
        await node.start()
        ...
        await node.stop()
    """

    def __init__(
        self,
        checked: settings.Settings,
        platform: platform_adapter.PlatformAdapter,
        now: clock.Clock,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._settings = checked
        self._clock = now
        self._decisions = decisions
        self._service = checked.text("node", "service")
        self._stopping = False
        self._metrics = metrics.Metrics()
        identity = node_services.Identity(
            checked.text("node", "id"),
            checked.text("node", "zone"),
            checked.text("node", "region"),
            time.time_ns(),
        )
        hello = messages.Hello(identity.node, identity.incarnation)
        streams = stream_client.StreamClient(
            hello, now, self._metrics, keepalive=SILENCE
        )
        control = control_server.ControlServer()
        targets = pooled_target_client.PooledTargetClient(
            platform.dialect,
            checked.integer("calls", "body_max_bytes"),
            now,
            self._metrics,
        )
        dependencies = node_dependencies.SidecarDependencies(
            table=platform.table,
            control=stream_control_transport.StreamControlTransport(
                streams, control
            ),
            calls=streams,
            targets=targets,
            intents=platform.intent_source,
            outcome_publisher=platform.outcome_publisher,
            services=(*platform.services, streams, targets),
        )
        self._core = sidecar_services.SidecarServices(
            identity,
            checked,
            dependencies,
            now,
            self._metrics,
            random.Random(f"{identity.node} {identity.incarnation}"),
            decisions,
        )
        self._target_client = targets
        self._core.targets.probe_health = self._ask_health
        targets.on_connection_refused = self._on_refused
        targets.on_misdirected = self._core.targets.suspend
        self._core.service_manager.add(
            stream_server.StreamServer(
                hello,
                self._listen("stream_port"),
                self._core.inbound_handler,
                now,
                self._metrics,
                control=control,
            )
        )
        self._core.service_manager.add(self._caller_server(platform))
        self._core.service_manager.add(self._side_server(platform))

    @property
    def ready(self) -> bool:
        """Tell whether callers may send requests here."""
        return self._core.store.in_service and not self._stopping

    async def start(self) -> None:
        """Start all services; raises kernel.StartError."""
        self._decisions.write(
            "start", incarnation=self._core.identity.incarnation
        )
        await self._core.service_manager.start()
        gc.collect()
        gc.freeze()
        gc.set_threshold(*COLLECTOR_THRESHOLDS)

    async def stop(self) -> None:
        """Leave the fleet, answer what comes meanwhile, and stop."""
        self._stopping = True
        self._decisions.write("stop", phase="leaving")
        self._core.targets.drain_all()
        await self._clock.sleep(min(LINGER, self._grace() / 2))
        await self._core.service_manager.stop()
        self._decisions.write("stop", phase="stopped")

    def reload(self, checked: settings.Settings) -> None:
        """Take over what may change while the node runs."""
        before, self._service = self._service, checked.text("node", "service")
        self._decisions.write(
            "reload", service=self._service, service_before=before
        )

    def _grace(self) -> datetime.timedelta:
        return self._settings.duration("shutdown", "grace")

    def _listen(self, option: str) -> settings.Address:
        host_ip = self._settings.text("listen", "host")
        return settings.Address(
            host_ip, self._settings.integer("listen", option)
        )

    def _address(self, option: str) -> settings.Address:
        return settings.parse_address(self._settings.text("listen", option))

    def _on_refused(self, target: str) -> None:
        """Expect a target that takes no connection to come back cold."""
        self._decisions.write("target_refuses", target=target)
        self._core.targets.suspend(target)
        self._core.inbound_handler.assume_cold(target)

    async def _ask_health(
        self, announcement: local_targets.Announcement
    ) -> local_targets.Health:
        found = self._core.router.service(announcement.service)
        if found is None or not found.health_path:
            return local_targets.Health.UNKNOWN
        return await self._target_client.check_health(
            announcement, found.health_path
        )

    def _caller_server(
        self, platform: platform_adapter.PlatformAdapter
    ) -> caller_server.CallerServer:
        ingress = entry_ingress.EntryIngress(
            self._core.calls,
            platform.dialect,
            lambda: self._service,
            lambda: self._stopping,
            retry_after_jitter.RetryAfterJitter(random.Random()),
        )
        return caller_server.CallerServer(
            "ingress",
            ingress.answer,
            self._core.caller_limits,
            self._address("callers"),
            ("entry-calls", "stream-server"),
            self._grace() - LINGER - CLOSING,
        )

    def _side_server(
        self, platform: platform_adapter.PlatformAdapter
    ) -> http_server.HttpServer:
        """Serve readiness, announcements, metrics and the dump."""
        ready = self._address("ready")
        announcements = self._address("announcements")
        exposed = self._listen("metrics_port")
        switch = port_dispatcher.PortDispatcher(
            {
                ready.port: self._serve_ready,
                announcements.port: platform.heartbeat_api(self._core.targets),
                exposed.port: self._serve_state,
            }
        )
        return http_server.HttpServer(
            "side",
            switch,
            ready,
            ("source", "targets"),
            also_listen=(announcements, exposed),
            shutdown=CLOSING,
        )

    async def _serve_ready(
        self, scope: typing.Any, receive: typing.Any, send: Send
    ) -> None:
        status = STATUS_OK if self.ready else STATUS_UNAVAILABLE
        await _answer(send, status, b"")

    async def _serve_state(
        self, scope: typing.Any, receive: typing.Any, send: Send
    ) -> None:
        if scope["path"] == "/metrics":
            content, _ = self._metrics.render()
            await _answer(send, STATUS_OK, content)
            return
        if scope["path"] == "/dump":
            dump = msgspec.json.encode(self._core.service_manager.dump())
            await _answer(send, STATUS_OK, dump)
            return
        await _answer(send, STATUS_NOT_FOUND, b"")


async def _answer(send: Send, status: int, body: bytes) -> None:
    headers = [(b"content-length", str(len(body)).encode())]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})
