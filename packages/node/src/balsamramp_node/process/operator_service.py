"""Operations: what operators can do through a node, apart from HTTP."""

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
    """What operators can do through a node, apart from HTTP."""

    def __init__(
        self,
        services: service_manager.ServiceManager,
        node: str,
        acceptor: change_committer.ChangeCommitter,
    ) -> None:
        self._service_manager = services
        self._node = node
        self._acceptor = acceptor

    async def submit(
        self,
        submission: change_committer.ChangeProposal,
    ) -> result.Result[
        configuration.AcceptedVersion, change_committer.Rejection
    ]:
        """Accept ``submission`` behind the latest version."""
        return await self._acceptor.submit(submission)

    def status(self) -> dict[str, typing.Any]:
        """Return what is in force here and what peers reported."""
        configurations = self._service_manager.find(store.ConfigurationStore)
        current = configurations.current
        members = self._service_manager.find(membership.Membership)
        versions = members.versions
        accepted = configurations.accepted()
        reports = self._service_manager.find(zone_reports.ZoneReports)
        summaries = reports.summaries()
        now = reports.now()
        read = version_status.source_status(
            configurations,
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
            for member in members.members()
        ]
        shares = self._service_manager.find(
            rollout_controller.RolloutController
        )
        return {
            "node": self._node,
            "version": current.version,
            "configuration": msgspec.to_builtins(read),
            "versions": msgspec.to_builtins(
                version_status.version_statuses(accepted, summaries)
            ),
            "zones": msgspec.to_builtins(
                version_status.zone_statuses(accepted, summaries, now)
            ),
            "nodes": nodes,
            "rollouts": shares.dump(),
            "zones_out": sorted(
                self._service_manager.find(router.Router).zones_out_of_service
            ),
        }

    def configuration_document(self) -> dict[str, typing.Any]:
        """Return all resources in force, and their version, as data."""
        current = self._service_manager.find(store.ConfigurationStore).current
        keys = sorted(current.resources)
        return {
            "version": current.version,
            "resources": [
                resources.encode(current.resources[key]) for key in keys
            ],
        }

    def changes_after(self, version: int) -> list[configuration.Change] | None:
        """Return the changes after ``version``, None if some are gone."""
        configurations = self._service_manager.find(store.ConfigurationStore)
        return configurations.changes_since(version)

    def unknown_service_names(self) -> dict[str, int]:
        """Return unknown service names and how often each was used."""
        return dict(self._service_manager.find(router.Router).unknown_names())

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of every service of the process."""
        return self._service_manager.dump()
