"""Statements that do what operators do."""

import abc
import datetime
import typing

import attrs

from balsamramp_testing.scenario import environment
from balsamramp_testing.scenario import statement

__all__ = ["STATEMENTS"]


class Operator(statement.Statement):
    """Base of the statements that submit one resource."""

    through: str | None

    async def run(self, on: environment.Environment) -> None:
        await on.submit([self.document(on)], [], self.through)

    @abc.abstractmethod
    def document(self, on: environment.Environment) -> dict[str, typing.Any]:
        """Return the resource as plain data."""


@attrs.frozen
class Service(Operator):
    """Makes a service known."""

    name = "service"
    syntax = '"service" NAME ["through" NAME]'
    doc = "makes a service known"

    service: str
    through: str | None = None

    def document(self, on: environment.Environment) -> dict[str, typing.Any]:
        return {"kind": "service", "name": self.service}


@attrs.frozen
class Route(Operator):
    """Routes a service to the targets that carry the labels."""

    name = "route"
    syntax = (
        '"route" NAME "to" NAME ["path" PATH] ["where" labels] '
        '["through" NAME]'
    )
    doc = "routes a service, or one path of it, to targets with labels"

    route: str
    service: str
    path: str | None = None
    selector: dict[str, str] | None = None
    through: str | None = None

    def document(self, on: environment.Environment) -> dict[str, typing.Any]:
        return {
            "kind": "route",
            "name": self.route,
            "service": self.service,
            "path_prefix": self.path or "/",
            "selector": self.selector or {},
        }


@attrs.frozen
class Label(Operator):
    """Puts labels on a target."""

    name = "label"
    syntax = '"label" NAME labels ["through" NAME]'
    doc = "puts labels on a target"

    target: str
    labels: dict[str, str]
    through: str | None = None

    def document(self, on: environment.Environment) -> dict[str, typing.Any]:
        return {"kind": "labels", "name": self.target, "labels": self.labels}


@attrs.frozen
class Alias(Operator):
    """Accepts another spelling of a service."""

    name = "alias"
    syntax = '"alias" NAME "for" NAME ["through" NAME]'
    doc = "accepts another spelling of a service"

    alias: str
    service: str
    through: str | None = None

    def document(self, on: environment.Environment) -> dict[str, typing.Any]:
        return {"kind": "alias", "name": self.alias, "service": self.service}


@attrs.frozen
class Zone(Operator):
    """Takes a zone out of service or back in."""

    name = "zone"
    syntax = '"zone" NAME OUT_OR_IN ["through" NAME]\nOUT_OR_IN: "out" | "in"'
    doc = "takes a zone out of service or back in"

    zone: str
    state: str
    through: str | None = None

    def document(self, on: environment.Environment) -> dict[str, typing.Any]:
        return {
            "kind": "zone",
            "name": self.zone,
            "out": self.state == "out",
            "since": on.clock.now().isoformat(),
        }


@attrs.frozen
class Rollout(Operator):
    """Declares that a version takes over by a time from now."""

    name = "rollout"
    syntax = (
        '"rollout" NAME "of" NAME "from" NAME "to" NAME "by" DURATION '
        '["through" NAME]'
    )
    doc = "declares that a version takes over by a time from now"

    rollout: str
    service: str
    old: str
    new: str
    duration: datetime.timedelta
    through: str | None = None

    def document(self, on: environment.Environment) -> dict[str, typing.Any]:
        now = on.clock.now()
        return {
            "kind": "rollout",
            "name": self.rollout,
            "service": self.service,
            "old": self.old,
            "new": self.new,
            "start": now.isoformat(),
            "deadline": (now + self.duration).isoformat(),
        }


@attrs.frozen
class Delete(statement.Statement):
    """Deletes a resource."""

    name = "delete"
    syntax = '"delete" NAME NAME ["through" NAME]'
    doc = "deletes a resource by its kind and name"

    kind: str
    resource: str
    through: str | None = None

    async def run(self, on: environment.Environment) -> None:
        await on.submit([], [(self.kind, self.resource)], self.through)


@attrs.frozen
class Command(statement.Statement):
    """Runs a command of the operators' client."""

    name = "command"
    syntax = '"command" NAME STRING'
    doc = "runs a command of the operators' client against a node"

    node: str
    text: str

    async def run(self, on: environment.Environment) -> None:
        await on.command(self.text, self.node)


STATEMENTS: tuple[type[statement.Statement], ...] = (
    Service,
    Route,
    Label,
    Alias,
    Zone,
    Rollout,
    Delete,
    Command,
)
