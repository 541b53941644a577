"""Router: from a service name and a path to the targets that match."""

from collections import abc
import difflib
import typing

import attrs
from returns import result

from balsamramp_core import configuration
from balsamramp_core import kernel
from balsamramp_core import metrics
from balsamramp_core import verdict
from balsamramp_core.resources import alias
from balsamramp_core.resources import labels
from balsamramp_core.resources import route
from balsamramp_core.resources import service
from balsamramp_node import membership
from balsamramp_node import picker
from balsamramp_node import rollouts
from balsamramp_node import store
from balsamramp_node import zone_states
from balsamramp_wire import messages

__all__ = ["Resolved", "Router"]

NEAREST_NAMES = 3
UNKNOWN_NAMES_MAX = 1000


@attrs.frozen
class Resolved:
    """The service and the route that a call falls under."""

    service: service.Service
    route: route.Route


class Router(kernel.Service):
    """Finds the targets that may answer a call."""

    name = "router"
    requires = ("configuration", "membership", "rollouts")

    def __init__(
        self,
        configurations: store.ConfigurationStore,
        members: membership.Membership,
        shares: rollouts.Rollouts,
        zones: zone_states.ZoneStates,
        counters: metrics.Metrics,
    ) -> None:
        self._members = members
        self._rollouts = shares
        self._zones = zones
        self._metrics = counters
        self._services: dict[str, service.Service] = {}
        self._aliases: dict[str, str] = {}
        self._routes: dict[str, list[route.Route]] = {}
        self._labels: dict[str, dict[str, str]] = {}
        self._unknown: dict[str, int] = {}
        self._stats: dict[str, picker.TargetStats] = {}
        self._generation = -1
        self._by_service: dict[str, list[picker.Candidate]] = {}
        configurations.listen(self._read)

    @property
    def zones_out(self) -> frozenset[str]:
        """Return the zones that operators have taken out of service."""
        return self._zones.out

    def unknown_names(self) -> abc.Mapping[str, int]:
        """Return the unknown service names and how often each was used."""
        return dict(self._unknown)

    def resolve(
        self, name: str, path: str
    ) -> result.Result[Resolved, verdict.Failure]:
        """Return the service called ``name`` and its route for ``path``."""
        found = self._services.get(self._aliases.get(name, name))
        if found is None:
            return result.Failure(self._unknown_name(name))
        for item in self._routes.get(found.name, ()):
            if path.startswith(item.path_prefix):
                return result.Success(Resolved(found, item))
        return result.Failure(
            verdict.Failure(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.NO_TARGET,
                f"service {found.name} has no route for {path}",
            )
        )

    def route_name(self, name: str, path: str) -> str:
        """Return the name of the route of service ``name`` for ``path``."""
        for item in self._routes.get(name, ()):
            if path.startswith(item.path_prefix):
                return item.name
        return ""

    def candidates(
        self, resolved: Resolved, call_id: str, retried: bool = False
    ) -> list[picker.Candidate]:
        """Return the targets that may take the call now.

        A call that is ``retried`` or finds no target of a new version may
        also go to the old one. Zones that return take only their part of
        the calls unless no other has a target.
        """
        matching = self._candidates(resolved, call_id, retried)
        if not matching and not retried:
            matching = self._candidates(resolved, call_id, True)
        admitted = [
            candidate
            for candidate in matching
            if self._zones.admits(candidate.member.zone, call_id)
        ]
        return admitted or matching

    def _candidates(
        self, resolved: Resolved, call_id: str, retried: bool
    ) -> list[picker.Candidate]:
        if self._generation != self._members.generation:
            self._index()
        matching = []
        for candidate in self._by_service.get(resolved.service.name, ()):
            if candidate.member.zone in self._zones.out:
                continue
            seen = self.effective_labels(candidate.record)
            if not _matches(resolved.route.selector, seen):
                continue
            version = seen.get("version", "")
            if not self._rollouts.allowed(
                resolved.service.name, version, call_id, retried
            ):
                continue
            matching.append(candidate)
        return matching

    def effective_labels(
        self, record: messages.TargetRecord
    ) -> abc.Mapping[str, str]:
        """Return a target's labels, those of operators going first."""
        given = self._labels.get(record.target)
        if not given:
            return record.labels
        return {**record.labels, **given}

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            "services": sorted(self._services),
            "zones_out": sorted(self._zones.out),
            "unknown_names": dict(sorted(self._unknown.items())),
        }

    def _read(self, current: configuration.Configuration) -> None:
        self._services = {
            item.name: item
            for item in current.of_kind(service.Service.kind)
            if isinstance(item, service.Service)
        }
        self._aliases = {
            item.name: item.service
            for item in current.of_kind(alias.Alias.kind)
            if isinstance(item, alias.Alias)
        }
        self._labels = {
            item.name: item.labels
            for item in current.of_kind(labels.Labels.kind)
            if isinstance(item, labels.Labels)
        }
        self._zones.read(current)
        routes: dict[str, list[route.Route]] = {}
        for item in current.of_kind(route.Route.kind):
            if isinstance(item, route.Route):
                routes.setdefault(item.service, []).append(item)
        for items in routes.values():
            items.sort(key=lambda item: len(item.path_prefix), reverse=True)
        self._routes = routes

    def _index(self) -> None:
        by_service: dict[str, list[picker.Candidate]] = {}
        stats: dict[str, picker.TargetStats] = {}
        for member in self._members.members():
            if member.state is not messages.MemberState.ALIVE:
                continue
            for record in member.targets:
                if record.state is not messages.TargetState.READY:
                    continue
                key = f"{member.node}/{member.incarnation}/{record.target}"
                stats[key] = self._stats.get(key) or picker.TargetStats()
                candidate = picker.Candidate(member, record, stats[key])
                by_service.setdefault(record.service, []).append(candidate)
        self._by_service = by_service
        self._stats = stats
        self._generation = self._members.generation

    def _unknown_name(self, name: str) -> verdict.Failure:
        self._metrics.count("unknown_names_total")
        if name in self._unknown or len(self._unknown) < UNKNOWN_NAMES_MAX:
            self._unknown[name] = self._unknown.get(name, 0) + 1
        known = [*self._services, *self._aliases]
        nearest = difflib.get_close_matches(name, known, NEAREST_NAMES)
        message = f"unknown service {name!r}"
        if nearest:
            message += f"; nearest known names: {', '.join(nearest)}"
        return verdict.Failure(
            verdict.Verdict.NOT_RUN, verdict.Reason.UNKNOWN_SERVICE, message
        )


def _matches(
    selector: abc.Mapping[str, str], labels_seen: abc.Mapping[str, str]
) -> bool:
    for key, value in selector.items():
        if labels_seen.get(key) != value:
            return False
    return True
