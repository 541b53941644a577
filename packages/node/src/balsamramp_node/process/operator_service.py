"""Operations that a node offers to operators, independent of HTTP."""

import typing

import msgspec
from returns import result

from balsamramp_core import configuration
from balsamramp_core import resources
from balsamramp_core import service_manager
from balsamramp_node.configuration import change_committer
from balsamramp_node.configuration import platform_log_reader
from balsamramp_node.configuration import reader_lease
from balsamramp_node.configuration import store
from balsamramp_node.configuration import version_status
from balsamramp_node.membership import membership
from balsamramp_node.membership import zone_reports
from balsamramp_node.outbound import router
from balsamramp_node.rollouts import rollout_controller

__all__ = ["OperatorService"]


class OperatorService:
    """Operations that a node offers to operators, independent of HTTP."""

    def __init__(
        self,
        services: service_manager.ServiceManager,
        node: str,
        committer: change_committer.ChangeCommitter,
    ) -> None:
        self._service_manager = services
        self._node = node
        self._committer = committer

    async def submit(
        self,
        proposal: change_committer.ChangeProposal,
    ) -> result.Result[
        configuration.AcceptedVersion, change_committer.Rejection
    ]:
        """Commit ``proposal`` after the latest version."""
        return await self._committer.submit(proposal)

    def status(self) -> dict[str, typing.Any]:
        """Return the state of this node and the reports of its peers."""
        configuration_store = self._service_manager.find(
            store.ConfigurationStore
        )
        current = configuration_store.current
        member_service = self._service_manager.find(membership.Membership)
        versions = member_service.versions
        accepted = configuration_store.accepted()
        reports = self._service_manager.find(zone_reports.ZoneReports)
        summaries = reports.summaries()
        now = reports.now()
        source = version_status.source_status(
            configuration_store,
            self._service_manager.find(platform_log_reader.PlatformLogReader),
            self._service_manager.find(reader_lease.ReaderLease),
        )
        nodes = [
            {
                "node": member.node,
                "zone": member.zone,
                "state": member.state.value,
                "admin": str(member.admin),
                "version": versions.get(member.node),
                "targets": msgspec.to_builtins(member.targets),
            }
            for member in member_service.members()
        ]
        rollouts = self._service_manager.find(
            rollout_controller.RolloutController
        )
        return {
            "node": self._node,
            "version": current.version,
            "configuration": msgspec.to_builtins(source),
            "versions": msgspec.to_builtins(
                version_status.version_statuses(accepted, summaries)
            ),
            "zones": msgspec.to_builtins(
                version_status.zone_statuses(accepted, summaries, now)
            ),
            "nodes": nodes,
            "rollouts": rollouts.dump(),
            "zones_out": sorted(
                self._service_manager.find(router.Router).zones_out_of_service
            ),
        }

    def configuration_document(self) -> dict[str, typing.Any]:
        """Return the current version and its resources as JSON data."""
        current = self._service_manager.find(store.ConfigurationStore).current
        keys = sorted(current.resources)
        return {
            "version": current.version,
            "resources": [
                resources.encode(current.resources[key]) for key in keys
            ],
        }

    def changes_after(self, version: int) -> list[configuration.Change] | None:
        """Return the changes after ``version``, None if some were dropped."""
        configuration_store = self._service_manager.find(
            store.ConfigurationStore
        )
        return configuration_store.changes_since(version)

    def unknown_service_names(self) -> dict[str, int]:
        """Return the unknown service names with their number of calls."""
        return dict(self._service_manager.find(router.Router).unknown_names())

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of every service of the process."""
        return self._service_manager.dump()
