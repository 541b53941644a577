"""Starts and stops the services of a process in dependency order."""

import abc
from collections import abc as collections_abc
import typing

from absl import logging

__all__ = ["ServiceManager", "ServiceManagerError", "Service", "StartError"]

ServiceT = typing.TypeVar("ServiceT", bound="Service")
NameCallback = collections_abc.Callable[[str], None]


class ServiceManagerError(Exception):
    """A service is unknown, registered twice, or part of a cycle."""


class StartError(Exception):
    """A service failed to start; the message is for operators."""


class Service(abc.ABC):
    """A component of a process that is started and stopped.

    ``name`` is the key under which the service manager registers it, and
    ``requires`` names the services that are started before it.
    """

    name: typing.ClassVar[str]
    requires: typing.ClassVar[tuple[str, ...]] = ()

    async def start(self) -> None:
        """Acquire resources and start background tasks."""

    async def stop(self) -> None:
        """Release the resources of ``start``; called once."""

    def dump(self) -> collections_abc.Mapping[str, typing.Any]:
        """Return the state for the dump of the process, in built-in types."""
        return {}


class ServiceManager:
    """Registry of the services of one process.

    ``on_service_stopping`` and ``on_service_stopped`` are called with the
    name of a service before and after its ``stop``.

    Example::

        manager = ServiceManager()
        manager.add(store)
        await manager.start()
        manager.find(store_module.ConfigurationStore)
    """

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []
        self.on_service_stopping: NameCallback = _ignore
        self.on_service_stopped: NameCallback = _ignore

    def add(self, service: Service) -> None:
        """Register a service; raise ServiceManagerError on a duplicate."""
        if service.name in self._services:
            raise ServiceManagerError(
                f"service {service.name!r} is already registered"
            )
        self._services[service.name] = service

    def find(self, service_type: type[ServiceT]) -> ServiceT:
        """Return the service of a type; raise ServiceManagerError if none."""
        service = self._services.get(service_type.name)
        if not isinstance(service, service_type):
            raise ServiceManagerError(
                f"service {service_type.name!r} is not registered"
            )
        return service

    async def start(self) -> None:
        """Start all services, each after the ones that it requires.

        If a service fails to start, the running ones are stopped and the
        error is raised, an OSError as StartError.
        """
        for service in self._ordered():
            try:
                await service.start()
            except OSError as error:
                await self.stop()
                text = f"{service.name}: {error.strerror or error}"
                raise StartError(text) from error
            except BaseException:
                await self.stop()
                raise
            self._started.append(service)

    async def stop(self) -> None:
        """Stop the running services in reverse order of their start."""
        while self._started:
            service = self._started.pop()
            self.on_service_stopping(service.name)
            try:
                await service.stop()
            except Exception:
                logging.exception("service %s failed to stop", service.name)
            self.on_service_stopped(service.name)

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of every service, keyed by service name."""
        names = sorted(self._services)
        return {name: dict(self._services[name].dump()) for name in names}

    def _ordered(self) -> list[Service]:
        ordered: list[Service] = []
        visiting: set[str] = set()

        def visit(name: str) -> None:
            if name not in self._services:
                raise ServiceManagerError(
                    f"required service {name!r} is not registered"
                )
            service = self._services[name]
            if service in ordered:
                return
            if name in visiting:
                raise ServiceManagerError(
                    f"service {name!r} requires itself, directly or indirectly"
                )
            visiting.add(name)
            for required in service.requires:
                visit(required)
            ordered.append(service)

        for name in self._services:
            visit(name)
        return ordered


def _ignore(name: str) -> None:
    return None
