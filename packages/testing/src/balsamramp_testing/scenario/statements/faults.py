"""Statements that bring about faults."""

import datetime
import typing

import attrs

from balsamramp_testing.scenario import environment
from balsamramp_testing.scenario import statement
from balsamramp_testing.scenario.statements import topology

__all__ = ["STATEMENTS"]

NODE_ACTIONS: dict[
    str,
    typing.Callable[[environment.Environment, str], typing.Awaitable[None]],
] = {
    "kill": lambda on, node: on.kill_node(node),
    "stop": lambda on, node: on.stop_node(node),
    "start": lambda on, node: on.start_node(node, ""),
    "freeze": lambda on, node: on.pause_node(node, True),
    "thaw": lambda on, node: on.pause_node(node, False),
}
TARGET_ACTIONS: dict[
    str,
    typing.Callable[[environment.Environment, str], typing.Awaitable[None]],
] = {
    "kill": lambda on, target: on.kill_target(target),
    "start": lambda on, target: on.restart_target(target),
    "leave": lambda on, target: on.drain_target(target),
}


@attrs.frozen
class NodeFault(statement.Statement):
    """Kills, stops, starts, freezes or thaws a node."""

    name = "node_fault"
    syntax = '(KILL | STOP | START | FREEZE | THAW) "node" NAME'
    doc = "kills, stops gracefully, starts, freezes or thaws a node"

    action: str
    node: str

    async def run(self, on: environment.Environment) -> None:
        await NODE_ACTIONS[self.action](on, self.node)


@attrs.frozen
class TargetFault(statement.Statement):
    """Kills or starts a target, or lets it leave."""

    name = "target_fault"
    syntax = (
        '(KILL | START | LEAVE) "target" NAME\nKILL: "kill"\n'
        'STOP: "stop"\nSTART: "start"\nFREEZE: "freeze"\n'
        'THAW: "thaw"\nLEAVE: "leave"'
    )
    doc = "kills or starts a target again, or lets it drain and leave"

    action: str
    target: str

    async def run(self, on: environment.Environment) -> None:
        await TARGET_ACTIONS[self.action](on, self.target)


class Change(statement.Statement):
    """Changes how a running target behaves."""

    name = "change"
    syntax = '"change" NAME behaviour+'
    doc = "changes how a running target behaves"

    def __init__(self, target: str, *behaviours: typing.Any) -> None:
        self._target = target
        self._fields = topology.fields_of(behaviours)

    async def run(self, on: environment.Environment) -> None:
        on.change_target(self._target, **self._fields)


@attrs.frozen
class Cut(statement.Statement):
    """Cuts the link between two zones or nodes, or to the platform."""

    name = "cut"
    syntax = '"cut" NAME "from" NAME'
    doc = "cuts two zones or nodes, or one from the platform"

    left: str
    right: str

    async def run(self, on: environment.Environment) -> None:
        on.set_partition(self.left, self.right, healed=False)


@attrs.frozen
class Heal(statement.Statement):
    """Heals a link that was cut."""

    name = "heal"
    syntax = '"heal" NAME "from" NAME'
    doc = "heals a link that was cut"

    left: str
    right: str

    async def run(self, on: environment.Environment) -> None:
        on.set_partition(self.left, self.right, healed=True)


@attrs.frozen
class Silence(statement.Statement):
    """Lets the open connections of a node carry nothing any more."""

    name = "silence"
    syntax = '"silence" NAME'
    doc = "open connections of a node go silent; new ones work"

    node: str

    async def run(self, on: environment.Environment) -> None:
        on.blackhole(self.node)


@attrs.frozen
class Lose(statement.Statement):
    """Loses a share of the control messages."""

    name = "lose"
    syntax = '"lose" PERCENT'
    doc = "loses a share of the control messages from now on"

    share: float

    async def run(self, on: environment.Environment) -> None:
        on.set_loss_share(self.share)


@attrs.frozen
class Link(statement.Statement):
    """Sets the time that a message takes one way."""

    name = "link"
    syntax = '"link" "delay" DURATION'
    doc = "sets the time that a message takes one way"

    delay: datetime.timedelta

    async def run(self, on: environment.Environment) -> None:
        on.set_delay(self.delay)


@attrs.frozen
class Platform(statement.Statement):
    """Takes the platform down or up, or slows it."""

    name = "platform"
    syntax = '"platform" (DOWN | UP | "slow" DURATION)\nDOWN: "down"\nUP: "up"'
    doc = "takes the platform down or up, or delays its answers"

    state: str | datetime.timedelta

    async def run(self, on: environment.Environment) -> None:
        if isinstance(self.state, datetime.timedelta):
            await on.set_platform(None, self.state)
            return
        await on.set_platform(self.state == "down", None)


@attrs.frozen
class LoseWrite(statement.Statement):
    """Loses the next write, or only the answer to it."""

    name = "lose_write"
    syntax = '"platform" "loses" WHICH\nWHICH: "answer" | "write"'
    doc = "loses the answer to the next write, or the write itself"

    which: str

    async def run(self, on: environment.Environment) -> None:
        on.lose_next_write(after=self.which == "answer")


STATEMENTS: tuple[type[statement.Statement], ...] = (
    NodeFault,
    TargetFault,
    Change,
    Cut,
    Heal,
    Silence,
    Lose,
    Link,
    Platform,
    LoseWrite,
)
