"""A standalone node: its services, servers and lifecycle."""

import asyncio
import functools
import gc
import random
import time

from absl import logging
import attrs
import falcon.asgi

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_node.inbound import stream_server
from balsamramp_node.inbound import target_api
from balsamramp_node.outbound import ingress
from balsamramp_node.process import decision_log
from balsamramp_node.process import http_server
from balsamramp_node.process import listening_ports
from balsamramp_node.process import network_dependencies
from balsamramp_node.process import operator_api
from balsamramp_node.process import options
from balsamramp_node.process import shutdown_schedule
from balsamramp_node.process import standalone_services
from balsamramp_node.process import tls
from balsamramp_node.process import token_auth
from balsamramp_wire import messages

__all__ = ["Node"]

GC_THRESHOLDS = (20_000, 20, 50)
# gRPC binds its port itself, so it is released for a moment. It comes last:
# another process that tries the ports fails at one before.
PORT_OPTIONS = (
    "call_port",
    "stream_port",
    "admin_port",
    "metrics_port",
    "control_port",
)


@attrs.frozen
class BoundAddresses:
    """The listen addresses of a running node."""

    call: settings.Address
    stream: settings.Address
    control: settings.Address
    admin: settings.Address
    metrics: settings.Address


def _tune_garbage_collector() -> None:
    """Exclude the objects created at startup from garbage collection."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


class _MetricsResource:
    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        content, headers = self._metrics.render()
        resp.data = content
        for name, value in headers.items():
            resp.set_header(name, value)


class Node:
    """One standalone node, configured by its settings.

    Example::

        node = Node(checked, clock.SystemClock())
        await node.start()
        ...
        await node.stop()
    """

    def __init__(self, checked: settings.Settings, now: clock.Clock) -> None:
        self._settings = checked
        self._shutdown = shutdown_schedule.ShutdownSchedule(now)
        self._metrics = metrics.Metrics()
        identity = standalone_services.Identity(
            checked.text("node", "id"),
            checked.text("node", "zone"),
            checked.text("node", "region"),
            time.time_ns(),
        )
        hello = messages.Hello(identity.node, identity.incarnation)
        self._tls = tls.NodeTls(checked)
        self._ports = listening_ports.ListeningPorts(
            "ports",
            {option: self._listen_address(option) for option in PORT_OPTIONS},
            now,
            self._metrics,
            decision_log.DecisionLog(decision_log.LoggerSink(), now),
        )
        dependencies, self._transport = (
            network_dependencies.make_network_dependencies(
                checked, hello, now, self._metrics, self._tls, self._ports
            )
        )
        rng = random.Random(f"{identity.node} {identity.incarnation}")
        self._services = standalone_services.StandaloneServices(
            identity,
            checked,
            dependencies,
            now,
            self._metrics,
            rng,
            self._shutdown,
        )
        self._stream_server = stream_server.StreamServer(
            hello,
            self._listen_address("stream_port"),
            self._services.inbound_handler,
            now,
            self._metrics,
            self._tls.server_context(),
            shutdown=self._shutdown,
            take_listener=functools.partial(self._ports.take, "stream_port"),
        )
        self._caller_server = self._make_caller_server()
        self._admin_server = self._make_admin_server()
        self._metrics_server = self._make_metrics_server()
        # Services stop in reverse order: the requests of callers end first.
        self._services.service_manager.add(self._metrics_server)
        self._services.service_manager.add(self._admin_server)
        self._services.service_manager.add(self._stream_server)
        self._services.service_manager.add(self._caller_server)

    def addresses(self) -> BoundAddresses:
        """Return the addresses that are bound since ``start``."""
        return BoundAddresses(
            self._caller_server.address,
            self._stream_server.address,
            self._transport.address,
            self._admin_server.address,
            self._metrics_server.address,
        )

    async def start(self) -> None:
        """Start all services and announce the node to its peers.

        Waits for ports that are in use. Raises service_manager.StartError if
        one cannot be bound for another reason.
        """
        self._warn_if_unencrypted()
        await self._services.service_manager.start()
        bound = self.addresses()
        self._services.membership.set_addresses(
            bound.stream, bound.control, bound.admin
        )
        _tune_garbage_collector()
        name = self._services.identity.node
        logging.info("node %s serves calls on %s", name, bound.call)

    async def stop(self) -> None:
        """Drain the targets, finish calls in flight and stop all services."""
        logging.info("node %s is stopping", self._services.identity.node)
        shutdown = self._shutdown
        shutdown.begin()
        self._services.inbound_handler.drain()
        ending = asyncio.create_task(self._end_calls_in_time())
        try:
            async with asyncio.timeout(
                shutdown.seconds_until(shutdown.stop_end)
            ):
                await self._services.service_manager.stop()
        except TimeoutError:
            logging.warning("some services did not stop in time; leaving them")
        ending.cancel()

    async def _end_calls_in_time(self) -> None:
        """End the calls that still run when responses must be sent."""
        await self._shutdown.wait_until(self._shutdown.calls_end)
        own = self._services.call_proxy.end_calls()
        others = self._services.inbound_handler.end_calls()
        if own or others:
            logging.warning(
                "%d calls of callers and %d calls to targets still run at the"
                " end of the shutdown; ending them with a failure",
                own,
                others,
            )

    def _listen_address(self, option: str) -> settings.Address:
        host = self._settings.text("listen", "host")
        return settings.Address(host, self._settings.integer("listen", option))

    def _make_caller_server(self) -> http_server.HttpServer:
        defaults = ingress.IngressDefaults(
            self._settings.duration("calls", "default_timeout"),
            self._settings.integer("calls", "retries"),
            self._settings.integer("calls", "body_max_bytes"),
        )
        return http_server.HttpServer(
            "ingress",
            ingress.make_application(self._services.call_proxy, defaults),
            self._listen_address("call_port"),
            ("calls", "stream-server"),
            self._tls.caller_certificate_files,
            shutdown=self._shutdown,
            take_listener=functools.partial(self._ports.take, "call_port"),
        )

    def _make_admin_server(self) -> http_server.HttpServer:
        application = falcon.asgi.App(middleware=self._make_token_middleware())
        target_api.add_routes(application, self._services.targets)
        operator_api.add_routes(application, self._services.operator_service)
        return http_server.HttpServer(
            "admin",
            application,
            self._listen_address("admin_port"),
            ("source", "targets"),
            self._tls.caller_certificate_files,
            shutdown=self._shutdown,
            take_listener=functools.partial(self._ports.take, "admin_port"),
        )

    def _make_token_middleware(self) -> list[token_auth.TokenAuthMiddleware]:
        operator_token = options.token(self._settings, "operator_token_file")
        target_token = options.token(self._settings, "target_token_file")
        return [
            token_auth.TokenAuthMiddleware(
                "operators'", operator_token, operator_api.PREFIXES
            ),
            token_auth.TokenAuthMiddleware(
                "targets'", target_token, target_api.PREFIXES
            ),
        ]

    def _warn_if_unencrypted(self) -> None:
        if options.is_loopback(self._settings):
            return
        host = self._settings.text("listen", "host")
        if not self._tls.is_mutual_tls:
            logging.warning("traffic between nodes on %s is not TLS", host)
        if self._tls.caller_certificate_files is None:
            logging.warning("traffic of callers on %s is not TLS", host)

    def _make_metrics_server(self) -> http_server.HttpServer:
        application = falcon.asgi.App()
        application.add_route("/metrics", _MetricsResource(self._metrics))
        return http_server.HttpServer(
            "metrics",
            application,
            self._listen_address("metrics_port"),
            shutdown=self._shutdown,
            take_listener=functools.partial(self._ports.take, "metrics_port"),
        )
