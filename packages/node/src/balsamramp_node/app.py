"""App: puts the services of a node together."""

import random
import time

from absl import logging
import attrs
import falcon.asgi

from balsamramp_core import clock
from balsamramp_core import kernel
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_node import acceptance
from balsamramp_node import admission
from balsamramp_node import admissions
from balsamramp_node import calls
from balsamramp_node import distribution
from balsamramp_node import door
from balsamramp_node import http_server
from balsamramp_node import ingress
from balsamramp_node import membership
from balsamramp_node import operator_api
from balsamramp_node import pickers
from balsamramp_node import platform_client
from balsamramp_node import policies
from balsamramp_node import rollouts
from balsamramp_node import router
from balsamramp_node import source
from balsamramp_node import store
from balsamramp_node import stream_client
from balsamramp_node import stream_server
from balsamramp_node import target_api
from balsamramp_node import targets
from balsamramp_node import transport
from balsamramp_wire import control
from balsamramp_wire import messages

__all__ = ["Node"]


@attrs.frozen
class BoundAddresses:
    """The addresses of a running node."""

    call: settings.Address
    stream: settings.Address
    control: settings.Address
    admin: settings.Address
    metrics: settings.Address


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
        self._clock = now
        self._kernel = kernel.Kernel()
        self._metrics = metrics.Metrics()
        self._name = checked.text("node", "id")
        self._incarnation = time.time_ns()
        self._random = random.Random(f"{self._name} {self._incarnation}")
        self._host = checked.text("listen", "host")
        self._add_platform()
        self._add_control()
        self._add_calls()
        self._add_http()

    @property
    def kernel(self) -> kernel.Kernel:
        """Return the kernel with the node's services."""
        return self._kernel

    def addresses(self) -> BoundAddresses:
        """Return the addresses that were bound at the start."""
        return BoundAddresses(
            self._callers.address,
            self._stream_server.address,
            self._transport.address,
            self._admin.address,
            self._metrics_server.address,
        )

    async def start(self) -> None:
        """Start all services and announce the node to its peers."""
        await self._kernel.start()
        bound = self.addresses()
        self._membership.set_addresses(
            bound.stream, bound.control, bound.admin
        )
        logging.info("node %s serves calls on %s", self._name, bound.call)

    async def stop(self) -> None:
        """Drain, finish the calls in flight and stop."""
        logging.info("node %s is stopping", self._name)
        self._targets.drain_all()
        await self._kernel.stop()

    def _listen(self, option: str) -> settings.Address:
        port = self._settings.integer("listen", option)
        return settings.Address(self._host, port)

    def _add_platform(self) -> None:
        client = platform_client.PlatformClient(
            self._settings.text("platform", "url"),
            self._settings.duration("platform", "timeout"),
        )
        self._table = platform_client.HttpTable(client)
        self._store = store.ConfigurationStore(self._metrics)
        self._source = source.ConfigurationSource(
            self._table,
            self._store,
            self._clock,
            self._metrics,
            self._settings.duration("platform", "poll_interval"),
        )
        self._kernel.add(client)
        self._kernel.add(self._store)
        self._kernel.add(self._source)

    def _add_control(self) -> None:
        self._transport = control.GrpcTransport(self._listen("control_port"))
        changes = distribution.Distribution(
            self._transport, self._store, self._metrics
        )
        self._membership = membership.Membership(
            self._own_record(),
            [
                _address(item)
                for item in self._settings.items("membership", "seeds")
            ],
            self._transport,
            self._store,
            changes,
            self._clock,
            self._metrics,
            self._settings.duration("membership", "interval"),
            self._random,
        )
        self._kernel.add(transport.TransportService(self._transport))
        self._kernel.add(changes)
        self._kernel.add(self._membership)

    def _own_record(self) -> messages.Member:
        return messages.Member(
            node=self._name,
            zone=self._settings.text("node", "zone"),
            region=self._settings.text("node", "region"),
            stream=self._listen("stream_port"),
            control=self._listen("control_port"),
            admin=self._listen("admin_port"),
            incarnation=self._incarnation,
            sequence=0,
            state=messages.MemberState.ALIVE,
        )

    def _add_calls(self) -> None:
        zone = self._settings.text("node", "zone")
        shares = rollouts.Rollouts(
            self._store,
            policies.find_policy("by-time")(),
            self._clock,
            self._metrics,
        )
        routes = router.Router(
            self._store, self._membership, shares, self._metrics
        )
        self._targets = targets.LocalTargets(
            self._membership,
            self._clock,
            self._metrics,
            self._settings.duration("targets", "lease"),
        )
        local_door = door.Door(
            self._incarnation,
            self._targets,
            self._make_limit,
            self._clock,
            self._metrics,
            self._settings.integer("calls", "body_max_bytes"),
            lambda: zone in routes.zones_out,
        )
        hello = messages.Hello(self._name, self._incarnation)
        streams = stream_client.StreamClient(hello, self._clock, self._metrics)
        self._stream_server = stream_server.StreamServer(
            hello, self._listen("stream_port"), local_door, self._metrics
        )
        picker_type = pickers.find_picker(
            self._settings.text("calls", "picker")
        )
        self._calls = calls.Calls(
            self._name,
            routes,
            picker_type(zone, self._random),
            local_door,
            streams,
            self._clock,
            self._metrics,
        )
        for service in (
            shares,
            routes,
            self._targets,
            local_door,
            streams,
            self._stream_server,
            self._calls,
        ):
            self._kernel.add(service)

    def _make_limit(self) -> admission.AdmissionLimit:
        limit_type = admissions.find_limit(
            self._settings.text("targets", "admission")
        )
        return limit_type(self._settings.integer("targets", "initial_limit"))

    def _add_http(self) -> None:
        defaults = ingress.IngressDefaults(
            self._settings.duration("calls", "default_timeout"),
            self._settings.integer("calls", "retries"),
            self._settings.integer("calls", "body_max_bytes"),
        )
        self._callers = http_server.HttpServer(
            "ingress",
            ingress.make_application(self._calls, defaults),
            self._listen("call_port"),
            ("calls", "stream-server"),
        )
        admin = falcon.asgi.App()
        target_api.add_routes(admin, self._targets)
        operator_api.add_routes(
            admin,
            operator_api.Operations(self._kernel, self._name),
            acceptance.Acceptor(self._table, self._clock),
        )
        self._admin = http_server.HttpServer(
            "admin", admin, self._listen("admin_port"), ("source", "targets")
        )
        exposition = falcon.asgi.App()
        exposition.add_route("/metrics", _MetricsView(self._metrics))
        self._metrics_server = http_server.HttpServer(
            "metrics", exposition, self._listen("metrics_port")
        )
        self._kernel.add(self._callers)
        self._kernel.add(self._admin)
        self._kernel.add(self._metrics_server)


def _address(text: str) -> settings.Address:
    host, _, port = text.rpartition(":")
    return settings.Address(host, int(port))
