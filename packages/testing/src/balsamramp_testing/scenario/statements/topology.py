"""Statements that set up nodes and targets."""

import typing

import attrs

from balsamramp_testing.scenario import environment
from balsamramp_testing.scenario import record
from balsamramp_testing.scenario import statement

__all__ = ["STATEMENTS"]


@attrs.frozen
class Region(statement.Statement):
    """Names the region of the nodes that follow."""

    name = "region"
    syntax = '"region" NAME'
    doc = "names the region of the nodes that follow"

    region: str

    async def run(self, on: environment.Environment) -> None:
        on.region = self.region


@attrs.frozen
class Node(statement.Statement):
    """Starts a node in a zone."""

    name = "node"
    syntax = '"node" NAME "in" NAME'
    doc = "starts a node in a zone"

    node: str
    zone: str

    async def run(self, on: environment.Environment) -> None:
        await on.start_node(self.node, self.zone)


BEHAVIOUR_FIELDS: dict[str, tuple[str, ...]] = {
    "slots": ("slots",),
    "delay": ("delay",),
    "cold": ("cold_slots", "cold_for"),
    "fails": (),
    "fails_after": ("fails_after",),
    "fails_over": ("fails_over",),
    "fails_on": ("fails_on",),
    "slow": ("slow_by",),
    "slow_after": ("slow_by", "slow_after"),
}
WHOLE = ("slots", "cold_slots", "fails_over")


def fields_of(behaviours: typing.Any) -> dict[str, typing.Any]:
    """Return the fields of a target plan that behaviours set."""
    fields: dict[str, typing.Any] = {}
    for name, *values in behaviours:
        if name == "fails":
            fields["fails_after"] = record.ZERO
        for field, value in zip(BEHAVIOUR_FIELDS[name], values, strict=True):
            fields[field] = int(value) if field in WHOLE else value
    return fields


class Target(statement.Statement):
    """Starts a target of a service behind a node.

    ``slots`` calls run at once and each takes ``delay``; after each
    start it bears only ``cold`` calls for a while. It can fail at once,
    after a time, over a number of calls in flight or on one path, and be
    slow by a duration at once or after a time.
    """

    name = "target"
    syntax = '"target" NAME "of" NAME "on" NAME ["version" NAME] behaviour*'
    doc = "starts a target behind a node"

    def __init__(
        self,
        target: str,
        service: str,
        node: str,
        version: str | None,
        *behaviours: typing.Any,
    ) -> None:
        self.plan = record.TargetSpec(
            name=target,
            service=service,
            node=node,
            version=version or "v1",
            **fields_of(behaviours),
        )

    async def run(self, on: environment.Environment) -> None:
        await on.start_target(attrs.evolve(self.plan))


STATEMENTS: tuple[type[statement.Statement], ...] = (Region, Node, Target)
