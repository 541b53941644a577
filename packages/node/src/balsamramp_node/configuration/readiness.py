"""Decides when a node that has just started may accept calls.

A node starts without a configuration and must not route calls by it. It
comes into service once the platform, or a node of its own zone that is
itself in service, has confirmed its version and no such node has
reported a later one. A node that reaches neither stays out of service
and rejects calls as not run.
"""

import asyncio
from collections import abc
import typing

from balsamramp_core import service_manager
from balsamramp_node.configuration import store

__all__ = ["Readiness"]


class Readiness(service_manager.Service):
    """Brings the node into service once its configuration is confirmed."""

    name = "readiness"
    requires = ("configuration",)

    def __init__(
        self,
        configurations: store.ConfigurationStore,
        trust_any_zone: bool = False,
    ) -> None:
        self._trust_any_zone = trust_any_zone
        self._store = configurations
        self._peers_tried = asyncio.Event()
        self._platform_confirmed = False
        self._zone_confirmed = False
        self._required_version = 0
        self._rejection = ""
        configurations.listen(lambda current: self._update_in_service())

    @property
    def obstacle(self) -> str:
        """Return why the node is not in service, or an empty string."""
        if self._store.in_service:
            return ""
        if self._rejection:
            return f"the configuration is refused: {self._rejection}"
        if self._store.current.version < self._required_version:
            return (
                f"version {self._store.current.version} is in force, a peer"
                f" has {self._required_version}"
            )
        return "no configuration is confirmed by the platform or a peer"

    def record_rejection(self, message: str) -> None:
        """Record why the newest configuration is refused; empty if not."""
        self._rejection = message

    async def wait_until_peers_tried(self) -> None:
        """Return once this node has tried to reach peers since its start."""
        await self._peers_tried.wait()

    def record_peers_tried(self) -> None:
        """Record that peers of the zone responded or could not be found."""
        self._peers_tried.set()
        self._update_in_service()

    def record_platform_read(self) -> None:
        """Record that the platform's log was read to its head."""
        self._platform_confirmed = True
        self._update_in_service()

    def record_zone_peer(self, version: int) -> None:
        """Record that a peer of the zone is in service at ``version``."""
        self._zone_confirmed = True
        self._required_version = max(self._required_version, version)
        self._update_in_service()

    def record_remote_zone_peer(self, version: int) -> None:
        """Record that a peer of another zone is in service at ``version``.

        It counts only with ``trust_any_zone``, where one external store
        orders all versions, so that a partitioned zone can't diverge.
        """
        if self._trust_any_zone:
            self.record_zone_peer(version)

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            "in_service": self._store.in_service,
            "peers_tried": self._peers_tried.is_set(),
            "platform_vouches": self._platform_confirmed,
            "zone_vouches": self._zone_confirmed,
            "needed_version": self._required_version,
            "obstacle": self.obstacle,
        }

    def _update_in_service(self) -> None:
        if self._store.in_service:
            return
        if self._store.current.version < self._required_version:
            return
        confirmed_by_platform = (
            self._platform_confirmed and self._peers_tried.is_set()
        )
        if self._zone_confirmed or confirmed_by_platform:
            self._store.mark_in_service()
