"""Readiness: when a fresh node may take calls.

A node that has just started holds nothing and must not decide by it.
It comes into service once it holds a version that the platform or a
node of its own zone, itself in service, vouches for, and no such node
is known to hold a later one. A node that reaches neither stays out of
service and refuses calls as not run.
"""

import asyncio
from collections import abc
import typing

from balsamramp_core import service_manager
from balsamramp_node.configuration import store

__all__ = ["Readiness"]


class Readiness(service_manager.Service):
    """Brings the node into service when someone vouches for it."""

    name = "readiness"
    requires = ("configuration",)

    def __init__(
        self,
        configurations: store.ConfigurationStore,
        trust_any_zone: bool = False,
    ) -> None:
        self._any_zone_vouches = trust_any_zone
        self._store = configurations
        self._peers_tried = asyncio.Event()
        self._platform_vouches = False
        self._zone_vouches = False
        self._needed_version = 0
        configurations.listen(lambda current: self._check())

    async def wait_until_peers_tried(self) -> None:
        """Return once this node has looked for others since its start."""
        await self._peers_tried.wait()

    def record_peers_tried(self) -> None:
        """Note that the zone's other nodes answered or were not found."""
        self._peers_tried.set()
        self._check()

    def record_platform_read(self) -> None:
        """Note that the platform's log was read to its head."""
        self._platform_vouches = True
        self._check()

    def record_zone_peer(self, version: int) -> None:
        """Note that a node of the zone in service holds ``version``."""
        self._zone_vouches = True
        self._needed_version = max(self._needed_version, version)
        self._check()

    def record_remote_zone_peer(self, version: int) -> None:
        """Note the same of a node of another zone.

        It counts only where versions have one order that no zone can
        depart from while it is cut off.
        """
        if self._any_zone_vouches:
            self.record_zone_peer(version)

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            "in_service": self._store.in_service,
            "peers_tried": self._peers_tried.is_set(),
            "platform_vouches": self._platform_vouches,
            "zone_vouches": self._zone_vouches,
            "needed_version": self._needed_version,
        }

    def _check(self) -> None:
        if self._store.in_service:
            return
        if self._store.current.version < self._needed_version:
            return
        from_platform = self._platform_vouches and self._peers_tried.is_set()
        if self._zone_vouches or from_platform:
            self._store.mark_in_service()
