"""Stage: base class of the places where a scenario is run."""

import abc
import asyncio
import datetime
import typing

from balsamramp_core import clock
from balsamramp_testing.scenario import record

__all__ = ["Environment", "UnsupportedError"]


class UnsupportedError(Exception):
    """The stage cannot do what a statement asks for."""


class Environment(abc.ABC):
    """Carries out what the statements of a scenario ask for.

    What a stage cannot do raises UnsupportedError, so that a scenario
    never passes by leaving something out.
    """

    name: typing.ClassVar[str]
    doc: typing.ClassVar[str]

    def __init__(self, time: clock.Clock, seed: int) -> None:
        self.clock = time
        self.seed = seed
        self.history = record.History()
        self.region = "region-1"
        self._began = datetime.timedelta()
        self._later: list[asyncio.Task[None]] = []

    @property
    def now(self) -> datetime.timedelta:
        """Return the time since the start of the scenario."""
        return self.clock.monotonic() - self._began

    def begin(self) -> None:
        """Take the present as the start of the scenario."""
        self._began = self.clock.monotonic()

    def run_in_background(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Do ``work`` while the scenario goes on."""
        self._later.append(asyncio.create_task(work))

    async def finish(self) -> None:
        """Wait for all work begun with ``later``."""
        while self._later:
            await self._later.pop(0)

    def fail(self, message: str) -> None:
        """Note an expectation that does not hold."""
        self.history.failures.append(f"at {self.now}: {message}")

    async def close(self) -> None:
        """End everything that the stage started."""

    @abc.abstractmethod
    async def start_node(self, node: str, zone: str) -> None:
        """Start a node, or start it again after it ended."""

    @abc.abstractmethod
    async def kill_node(self, node: str) -> None:
        """End a node at once."""

    @abc.abstractmethod
    async def stop_node(self, node: str) -> None:
        """Shut a node down gracefully."""

    @abc.abstractmethod
    async def pause_node(self, node: str, paused: bool) -> None:
        """Let a node stand still, or go on."""

    @abc.abstractmethod
    async def start_target(self, target: record.TargetSpec) -> None:
        """Start a target and announce it to its node."""

    @abc.abstractmethod
    async def kill_target(self, target: str) -> None:
        """End a target at once."""

    @abc.abstractmethod
    async def submit(
        self,
        puts: list[dict[str, typing.Any]],
        deletes: list[tuple[str, str]],
        through: str | None,
    ) -> None:
        """Submit a change as an operator, through a node or any."""

    @abc.abstractmethod
    async def call(
        self, service: str, node: str, kind: str, path: str
    ) -> None:
        """Send one call to ``node`` and record its replies."""

    @abc.abstractmethod
    def entry_nodes(self, zone: str) -> list[str]:
        """Return the nodes of ``zone`` that callers can use now."""

    @abc.abstractmethod
    async def set_platform(
        self, down: bool | None, delay: datetime.timedelta | None
    ) -> None:
        """Change the state of the platform."""

    @abc.abstractmethod
    async def in_force(self) -> bool:
        """Tell whether the last accepted version is in force on all."""

    @abc.abstractmethod
    async def rollout_phases(self, rollout: str) -> set[str]:
        """Return the phases in which the nodes see a rollout."""

    async def command(self, text: str, through: str) -> None:
        """Run a command of the operators' client against a node."""
        raise UnsupportedError(f"{self.name} cannot run commands")

    async def restart_target(self, target: str) -> None:
        """Start a target again after it ended."""
        raise UnsupportedError(f"{self.name} cannot restart a target")

    async def drain_target(self, target: str) -> None:
        """Let a target leave: it drains and then ends."""
        raise UnsupportedError(f"{self.name} cannot let a target leave")

    def change_target(self, target: str, **changes: typing.Any) -> None:
        """Change how a running target behaves."""
        raise UnsupportedError(f"{self.name} cannot change a target")

    def set_partition(self, left: str, right: str, healed: bool) -> None:
        """Cut or heal the link between two zones, nodes or the platform."""
        raise UnsupportedError(f"{self.name} cannot cut a link")

    def blackhole(self, node: str) -> None:
        """Let the open connections of a node carry nothing any more."""
        raise UnsupportedError(f"{self.name} cannot silence connections")

    def set_delay(self, delay: datetime.timedelta) -> None:
        """Set the time that a message takes one way."""
        raise UnsupportedError(f"{self.name} cannot delay messages")

    def set_loss_share(self, share: float) -> None:
        """Lose a share of the control messages."""
        raise UnsupportedError(f"{self.name} cannot lose messages")

    def lose_next_write(self, after: bool) -> None:
        """Lose the answer to the next write, after or before its effect."""
        raise UnsupportedError(f"{self.name} cannot lose an answer")
