"""Finds the targets that match a service name and a path."""

from collections import abc
import difflib
import typing

import attrs
from returns import result

from balsamramp_core import configuration
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core import service_manager
from balsamramp_core import verdict
from balsamramp_core.resources import alias
from balsamramp_core.resources import entry
from balsamramp_core.resources import labels
from balsamramp_core.resources import route
from balsamramp_core.resources import service
from balsamramp_core.resources import zone
from balsamramp_node.configuration import store
from balsamramp_node.membership import membership
from balsamramp_node.outbound import picker
from balsamramp_node.rollouts import rollout_controller
from balsamramp_node.rollouts import zone_states
from balsamramp_wire import messages

__all__ = ["ResolvedRoute", "Router"]

NEAREST_NAMES_MAX = 3
UNKNOWN_NAMES_MAX = 1000


@attrs.frozen
class ResolvedRoute:
    """The service and the route that match a call."""

    service: service.Service
    route: route.Route


@attrs.frozen
class _TargetGroup:
    """Targets of a service that no rule distinguishes.

    They share availability zone and labels, so that each call is checked
    against a few groups and not against each target.
    """

    zone: str
    labels: abc.Mapping[str, str]
    candidates: list[picker.Candidate]


class Router(service_manager.Service):
    """Resolves calls to services and routes, and lists their targets."""

    name = "router"
    requires = ("configuration", "membership", "rollouts")

    def __init__(
        self,
        configurations: store.ConfigurationStore,
        members: membership.Membership,
        rollouts: rollout_controller.RolloutController,
        zones: zone_states.ZoneStates,
        counters: metrics.Metrics,
    ) -> None:
        self._members = members
        self._rollouts = rollouts
        self._zones = zones
        self._metrics = counters
        self._services: dict[str, service.Service] = {}
        self._aliases: dict[str, str] = {}
        self._routes: dict[str, list[route.Route]] = {}
        self._route_services: dict[str, str] = {}
        self._labels: dict[str, dict[str, str]] = {}
        self._entries: dict[str, dict[str, entry.Entry]] = {}
        self._entry_keys: dict[str, tuple[str, str]] = {}
        self._unknown_counts: dict[str, int] = {}
        self._stats: dict[str, picker.TargetStats] = {}
        self._generation = -1
        self._groups: dict[str, list[_TargetGroup]] = {}
        self._configurations = configurations
        configurations.listen_changes(self._apply_changes)

    @property
    def zones_out_of_service(self) -> frozenset[str]:
        """Return the zones that operators took out of service."""
        return self._zones.out

    @property
    def version(self) -> int:
        """Return the version of the configuration in force."""
        return self._configurations.current.version

    def unknown_names(self) -> abc.Mapping[str, int]:
        """Return the unknown service names with their number of uses."""
        return dict(self._unknown_counts)

    def resolve(
        self, name: str, path: str
    ) -> result.Result[ResolvedRoute, verdict.Failure]:
        """Return the service or alias ``name`` and its route for ``path``."""
        if not self._configurations.in_service:
            return result.Failure(_not_ready_failure())
        found = self._services.get(self._aliases.get(name, name))
        if found is None:
            return result.Failure(self._count_unknown_name(name))
        for item in self._routes.get(found.name, ()):
            if path.startswith(item.path_prefix):
                return result.Success(ResolvedRoute(found, item))
        return result.Failure(
            verdict.Failure(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.NO_TARGET,
                f"service {found.name} has no route for {path}",
            )
        )

    def resolve_entry(
        self, host: str, path: str
    ) -> result.Result[entry.Entry, verdict.Failure]:
        """Return the entry of ``host`` with the longest matching prefix.

        A port after the host name is ignored.
        """
        if not self._configurations.in_service:
            return result.Failure(_not_ready_failure())
        prefixes = self._entries.get(host.partition(":")[0].lower(), {})
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return result.Success(found)
        return result.Failure(
            verdict.Failure(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.UNKNOWN_SERVICE,
                f"no entry of host {host!r} for this path",
            )
        )

    def service(self, name: str) -> service.Service | None:
        """Return the service ``name``, or None if it is not configured."""
        return self._services.get(name)

    def route_name(self, name: str, path: str) -> str:
        """Return the name of the route of service ``name`` for ``path``."""
        for item in self._routes.get(name, ()):
            if path.startswith(item.path_prefix):
                return item.name
        return ""

    def candidates(
        self, resolved: ResolvedRoute, call_id: str, retried: bool = False
    ) -> list[picker.Candidate]:
        """Return the targets that can serve the call now.

        During a rollout a call that is ``retried``, or finds no target of
        the new version, is routed to the old version if that has targets.
        Zones that are coming back into service receive only their share of
        the calls unless no other zone has a target.
        """
        return self.service_candidates(
            resolved.service.name, resolved.route.selector, call_id, retried
        )

    def service_candidates(
        self,
        name: str,
        selector: abc.Mapping[str, str],
        call_id: str,
        retried: bool = False,
    ) -> list[picker.Candidate]:
        """Return the targets of service ``name``, as ``candidates`` does."""
        matching = self._matching_groups(name, selector, call_id, retried)
        if not matching:
            matching = self._matching_groups(
                name, selector, call_id, not retried
            )
        allowed = [
            group
            for group in matching
            if self._zones.admits(group.zone, call_id)
        ]
        found: list[picker.Candidate] = []
        for group in allowed or matching:
            found += group.candidates
        return found

    def _matching_groups(
        self,
        name: str,
        selector: abc.Mapping[str, str],
        call_id: str,
        retried: bool,
    ) -> list[_TargetGroup]:
        if self._generation != self._members.generation:
            self._rebuild_index()
        matching = []
        for group in self._groups.get(name, ()):
            if group.zone in self._zones.out:
                continue
            if not _matches(selector, group.labels):
                continue
            version = group.labels.get("version", "")
            if not self._rollouts.is_version_allowed(
                name, version, call_id, retried
            ):
                continue
            matching.append(group)
        return matching

    def effective_labels(
        self, record: messages.TargetRecord
    ) -> abc.Mapping[str, str]:
        """Return a target's labels; those set by operators take precedence."""
        overrides = self._labels.get(record.target)
        if not overrides:
            return record.labels
        return {**record.labels, **overrides}

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            "services": sorted(self._services),
            "zones_out": sorted(self._zones.out),
            "zones": self._zones.report(),
            "unknown_names": dict(sorted(self._unknown_counts.items())),
        }

    def _apply_changes(
        self,
        current: configuration.Configuration,
        changed: abc.Iterable[resource.ResourceKey],
    ) -> None:
        """Apply only the changed keys.

        The cost does not depend on the size of the configuration.
        """
        for key in changed:
            item = current.resources.get(key)
            if key.kind == service.Service.kind:
                _set_or_remove(self._services, key.name, item)
            elif key.kind == alias.Alias.kind:
                service_name = item and typing.cast(alias.Alias, item).service
                _set_or_remove(self._aliases, key.name, service_name)
            elif key.kind == labels.Labels.kind:
                overrides = item and typing.cast(labels.Labels, item).labels
                _set_or_remove(self._labels, key.name, overrides)
                self._generation = -1
            elif key.kind == zone.Zone.kind:
                self._zones.put(key.name, typing.cast(zone.Zone, item))
            elif key.kind == entry.Entry.kind:
                self._put_entry(key.name, typing.cast(entry.Entry, item))
            elif key.kind == route.Route.kind:
                self._put_route(key.name, typing.cast(route.Route, item))

    def _put_entry(self, name: str, item: entry.Entry | None) -> None:
        previous = self._entry_keys.pop(name, None)
        if previous is not None:
            host, prefix = previous
            existing = self._entries[host].get(prefix)
            if existing is not None and existing.name == name:
                del self._entries[host][prefix]
            if not self._entries[host]:
                del self._entries[host]
        if item is None:
            return
        host = item.host.lower()
        self._entry_keys[name] = (host, item.path_prefix)
        self._entries.setdefault(host, {})[item.path_prefix] = item

    def _put_route(self, name: str, item: route.Route | None) -> None:
        previous = self._route_services.pop(name, None)
        if previous is not None:
            items = self._routes[previous]
            items[:] = [
                existing for existing in items if existing.name != name
            ]
        if item is None:
            return
        self._route_services[name] = item.service
        items = self._routes.setdefault(item.service, [])
        items.append(item)
        items.sort(key=lambda known: (-len(known.path_prefix), known.name))

    def _rebuild_index(self) -> None:
        groups: dict[tuple[typing.Any, ...], _TargetGroup] = {}
        by_service: dict[str, list[_TargetGroup]] = {}
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
                found = self.effective_labels(record)
                group_key = (
                    record.service,
                    member.zone,
                    frozenset(found.items()),
                )
                group = groups.get(group_key)
                if group is None:
                    group = _TargetGroup(member.zone, found, [])
                    groups[group_key] = group
                    by_service.setdefault(record.service, []).append(group)
                group.candidates.append(candidate)
        self._groups = by_service
        self._stats = stats
        self._generation = self._members.generation

    def _count_unknown_name(self, name: str) -> verdict.Failure:
        """Count a call to an unknown service and return its failure."""
        self._metrics.count("unknown_names_total")
        if (
            name in self._unknown_counts
            or len(self._unknown_counts) < UNKNOWN_NAMES_MAX
        ):
            self._unknown_counts[name] = self._unknown_counts.get(name, 0) + 1
        known_names = [*self._services, *self._aliases]
        nearest = difflib.get_close_matches(
            name, known_names, NEAREST_NAMES_MAX
        )
        message = f"unknown service {name!r}"
        if nearest:
            message += f"; nearest known names: {', '.join(nearest)}"
        return verdict.Failure(
            verdict.Verdict.NOT_RUN, verdict.Reason.UNKNOWN_SERVICE, message
        )


def _not_ready_failure() -> verdict.Failure:
    return verdict.Failure(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.NOT_READY,
        "this node has no trusted configuration yet",
    )


def _set_or_remove(
    items: dict[str, typing.Any], name: str, item: typing.Any
) -> None:
    if item is None:
        items.pop(name, None)
        return
    items[name] = item


def _matches(
    selector: abc.Mapping[str, str], target_labels: abc.Mapping[str, str]
) -> bool:
    for key, value in selector.items():
        if target_labels.get(key) != value:
            return False
    return True
