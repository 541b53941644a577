"""Kernel: starts services in dependency order and finds them by name."""

import abc
from collections import abc as collections_abc
import typing

from absl import logging

__all__ = ["ServiceManager", "ServiceManagerError", "Service", "StartError"]

ServiceT = typing.TypeVar("ServiceT", bound="Service")


class ServiceManagerError(Exception):
    """A service is unknown, registered twice, or requires itself."""


class StartError(Exception):
    """A service could not start; the message is for the operator."""


class Service(abc.ABC):
    """One part of a process, known by name to the others.

    ``name`` is the key under which the kernel registers it and
    ``requires`` names the services that must run before it.
    """

    name: typing.ClassVar[str]
    requires: typing.ClassVar[tuple[str, ...]] = ()

    async def start(self) -> None:
        """Acquire resources and start tasks."""

    async def stop(self) -> None:
        """Release what ``start`` acquired; called once."""

    def dump(self) -> collections_abc.Mapping[str, typing.Any]:
        """Return the state for the dump of the process, as plain data."""
        return {}


class ServiceManager:
    """Registry of the services of one process.

    Example::

        kernel = Kernel()
        kernel.add(store)
        await kernel.start()
        kernel.find(store_module.ConfigurationStore)
    """

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []

    def add(self, service: Service) -> None:
        """Register a service; raise ServiceManagerError on a taken name."""
        if service.name in self._services:
            raise ServiceManagerError(
                f"service {service.name!r} is already known"
            )
        self._services[service.name] = service

    def find(self, service_type: type[ServiceT]) -> ServiceT:
        """Return the service registered under ``service_type.name``."""
        service = self._services.get(service_type.name)
        if not isinstance(service, service_type):
            raise ServiceManagerError(f"no service {service_type.name!r}")
        return service

    async def start(self) -> None:
        """Start all services, each after those it requires.

        If one fails to start, those already running are stopped again
        and the error is raised, an OSError as StartError.
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
            try:
                await service.stop()
            except Exception:
                logging.exception("service %s failed to stop", service.name)

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of every service, keyed by service name."""
        names = sorted(self._services)
        return {name: dict(self._services[name].dump()) for name in names}

    def _ordered(self) -> list[Service]:
        ordered: list[Service] = []
        visiting: set[str] = set()

        def visit(name: str) -> None:
            if name not in self._services:
                raise ServiceManagerError(f"no service {name!r}")
            service = self._services[name]
            if service in ordered:
                return
            if name in visiting:
                raise ServiceManagerError(f"service {name!r} requires itself")
            visiting.add(name)
            for required in service.requires:
                visit(required)
            ordered.append(service)

        for name in self._services:
            visit(name)
        return ordered
