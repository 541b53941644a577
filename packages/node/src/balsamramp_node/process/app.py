"""App: puts the services of a node together."""

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
from balsamramp_node.process import http_server
from balsamramp_node.process import network_dependencies
from balsamramp_node.process import operator_api
from balsamramp_node.process import options
from balsamramp_node.process import standalone_services
from balsamramp_node.process import tls
from balsamramp_node.process import token_auth
from balsamramp_wire import messages

__all__ = ["Node"]

COLLECTOR_THRESHOLDS = (20_000, 20, 50)


@attrs.frozen
class BoundAddresses:
    """The addresses of a running node."""

    call: settings.Address
    stream: settings.Address
    control: settings.Address
    admin: settings.Address
    metrics: settings.Address


def _settle_memory() -> None:
    """Spare the collector what lives as long as the process."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


class _MetricsView:
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
    """One node, made from its settings.

    Example::

        node = Node(checked, clock.SystemClock())
        await node.start()
        ...
        await node.stop()
    """

    def __init__(self, checked: settings.Settings, now: clock.Clock) -> None:
        self._settings = checked
        self._metrics = metrics.Metrics()
        identity = standalone_services.Identity(
            checked.text("node", "id"),
            checked.text("node", "zone"),
            checked.text("node", "region"),
            time.time_ns(),
        )
        hello = messages.Hello(identity.node, identity.incarnation)
        self._tls = tls.NodeTls(checked)
        dependencies, self._transport = (
            network_dependencies.make_network_dependencies(
                checked, hello, now, self._metrics, self._tls
            )
        )
        rng = random.Random(f"{identity.node} {identity.incarnation}")
        self._core = standalone_services.StandaloneServices(
            identity, checked, dependencies, now, self._metrics, rng
        )
        self._stream_server = stream_server.StreamServer(
            hello,
            self._listen("stream_port"),
            self._core.inbound_handler,
            now,
            self._metrics,
            self._tls.server_context(),
        )
        self._core.service_manager.add(self._stream_server)
        self._callers = self._caller_server()
        self._admin = self._admin_server()
        self._exposition = self._metrics_server()
        self._core.service_manager.add(self._callers)
        self._core.service_manager.add(self._admin)
        self._core.service_manager.add(self._exposition)

    def addresses(self) -> BoundAddresses:
        """Return the addresses that were bound at the start."""
        return BoundAddresses(
            self._callers.address,
            self._stream_server.address,
            self._transport.address,
            self._admin.address,
            self._exposition.address,
        )

    async def start(self) -> None:
        """Start all services and announce the node to its peers.

        Raises kernel.StartError when a port cannot be bound.
        """
        self._warn_if_open()
        await self._core.service_manager.start()
        bound = self.addresses()
        self._core.membership.set_addresses(
            bound.stream, bound.control, bound.admin
        )
        _settle_memory()
        name = self._core.identity.node
        logging.info("node %s serves calls on %s", name, bound.call)

    async def stop(self) -> None:
        """Drain, finish the calls in flight and stop."""
        logging.info("node %s is stopping", self._core.identity.node)
        self._core.targets.drain_all()
        await self._core.service_manager.stop()

    def _listen(self, option: str) -> settings.Address:
        host = self._settings.text("listen", "host")
        return settings.Address(host, self._settings.integer("listen", option))

    def _caller_server(self) -> http_server.HttpServer:
        defaults = ingress.IngressDefaults(
            self._settings.duration("calls", "default_timeout"),
            self._settings.integer("calls", "retries"),
            self._settings.integer("calls", "body_max_bytes"),
        )
        return http_server.HttpServer(
            "ingress",
            ingress.make_application(self._core.calls, defaults),
            self._listen("call_port"),
            ("calls", "stream-server"),
            self._tls.caller_certificate_files,
        )

    def _admin_server(self) -> http_server.HttpServer:
        admin = falcon.asgi.App(middleware=self._token_checks())
        target_api.add_routes(admin, self._core.targets)
        operator_api.add_routes(admin, self._core.operator_service)
        return http_server.HttpServer(
            "admin",
            admin,
            self._listen("admin_port"),
            ("source", "targets"),
            self._tls.caller_certificate_files,
        )

    def _token_checks(self) -> list[token_auth.TokenAuthMiddleware]:
        operator = options.token(self._settings, "operator_token_file")
        target = options.token(self._settings, "target_token_file")
        return [
            token_auth.TokenAuthMiddleware(
                "operators'", operator, operator_api.PREFIXES
            ),
            token_auth.TokenAuthMiddleware(
                "targets'", target, target_api.PREFIXES
            ),
        ]

    def _warn_if_open(self) -> None:
        if options.is_loopback(self._settings):
            return
        host = self._settings.text("listen", "host")
        if not self._tls.is_mutual_tls:
            logging.warning("traffic between nodes on %s is not TLS", host)
        if self._tls.caller_certificate_files is None:
            logging.warning("traffic of callers on %s is not TLS", host)

    def _metrics_server(self) -> http_server.HttpServer:
        exposition = falcon.asgi.App()
        exposition.add_route("/metrics", _MetricsView(self._metrics))
        return http_server.HttpServer(
            "metrics", exposition, self._listen("metrics_port")
        )
