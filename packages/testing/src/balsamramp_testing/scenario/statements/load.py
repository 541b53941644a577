"""Statements that send calls."""

import asyncio
import datetime
import random

import attrs

from balsamramp_testing.scenario import environment
from balsamramp_testing.scenario import record
from balsamramp_testing.scenario import statement

__all__ = ["STATEMENTS"]

PATH = "/paseos"


@attrs.frozen
class Load(statement.Statement):
    """Sends calls at a rate from the nodes of a zone, in turn.

    ``booking`` calls are not idempotent; ``keyed`` ones carry an
    idempotency key and are repeated by their caller until answered.
    """

    name = "load"
    syntax = '"load" NAME RATE "for" DURATION "from" NAME [KIND] [PATH]'
    doc = "sends calls at a rate from the nodes of a zone"

    service: str
    rate: float
    duration: datetime.timedelta
    zone: str
    kind: str | None = None
    path: str | None = None

    async def run(self, on: environment.Environment) -> None:
        on.run_in_background(self._send(on))

    async def _send(self, on: environment.Environment) -> None:
        seed = f"{on.seed} {self.service} {self.rate} {self.zone} {self.kind}"
        choice = random.Random(seed)
        end = on.now + self.duration
        calls: list[asyncio.Task[None]] = []
        number = 0
        while on.now < end:
            gap = 0.5 + choice.random()
            await on.clock.sleep(datetime.timedelta(seconds=gap / self.rate))
            nodes = on.entry_nodes(self.zone)
            if not nodes:
                continue
            number += 1
            calls.append(
                asyncio.create_task(
                    on.call(
                        self.service,
                        nodes[number % len(nodes)],
                        self.kind or record.IDEMPOTENT,
                        self.path or PATH,
                    )
                )
            )
        await asyncio.gather(*calls)


@attrs.frozen
class Call(statement.Statement):
    """Sends one call and waits for its reply."""

    name = "call"
    syntax = '"call" NAME "from" NAME [KIND] [PATH]'
    doc = "sends one call through a node"

    service: str
    node: str
    kind: str | None = None
    path: str | None = None

    async def run(self, on: environment.Environment) -> None:
        await on.call(
            self.service,
            self.node,
            self.kind or record.IDEMPOTENT,
            self.path or PATH,
        )


STATEMENTS: tuple[type[statement.Statement], ...] = (Load, Call)
