"""Runner: runs the steps of a scenario on a stage."""

import pathlib
import random
from unittest import mock
import uuid

import attrs

from balsamramp_testing import fleet
from balsamramp_testing import virtual_time
from balsamramp_testing.scenario import environment
from balsamramp_testing.scenario import invariants
from balsamramp_testing.scenario import language
from balsamramp_testing.scenario import record
from balsamramp_testing.scenario import statement
from balsamramp_testing.scenario.environments import memory
from balsamramp_testing.scenario.environments import processes
from balsamramp_testing.scenario.environments import transcript

__all__ = [
    "ScenarioResult",
    "run_steps",
    "run_in_memory",
    "run_on_processes",
    "record_transcript",
]

ON_PROCESSES = frozenset((7, 8, 9))


@attrs.frozen(kw_only=True)
class ScenarioResult:
    """What a scenario showed.

    ``broken`` maps the number of each invariant that did not hold to
    what was seen.
    """

    record: record.History
    broken: dict[int, list[str]]

    @property
    def failures(self) -> list[str]:
        """Return all that did not hold, one line each."""
        found = list(self.record.failures)
        for number, messages in sorted(self.broken.items()):
            found += [f"line {number}: {message}" for message in messages]
        return found


async def run_steps(
    steps: list[statement.Step], on: environment.Environment
) -> None:
    """Run ``steps`` on a stage until the last has ended."""
    on.begin()
    for step in steps:
        if step.at is not None and step.at > on.now:
            await on.clock.sleep(step.at - on.now)
        if step.every is not None:
            on.run_in_background(_repeat(step, on))
            continue
        if step.background:
            on.run_in_background(_run(step, on))
            continue
        await _run(step, on)
    await on.finish()


async def _repeat(step: statement.Step, on: environment.Environment) -> None:
    while on.now < step.until:
        await _run(step, on)
        await on.clock.sleep(step.every)


async def _run(step: statement.Step, on: environment.Environment) -> None:
    try:
        await step.statement.run(on)
    except environment.UnsupportedError as error:
        raise statement.ScenarioError(
            on.name, step.line, step.column, str(error)
        ) from None


def run_in_memory(
    text: str, seed: int, file: str = "scenario"
) -> ScenarioResult:
    """Run a scenario on fakes in virtual time; the same for each seed."""
    steps = language.parse(text, file)
    seen = _run_virtually(steps, seed, memory.MemoryEnvironment).history
    return ScenarioResult(record=seen, broken=invariants.check(seen))


def record_transcript(text: str, seed: int, file: str = "session") -> str:
    """Run a scenario and return the transcript of what was said."""
    steps = language.parse(text, file)
    on = _run_virtually(steps, seed, transcript.TranscriptEnvironment)
    assert isinstance(on, transcript.TranscriptEnvironment)
    return on.transcript


def _run_virtually(
    steps: list[statement.Step],
    seed: int,
    kind: type[memory.MemoryEnvironment],
) -> memory.MemoryEnvironment:
    numbers = random.Random(seed)

    def make_id() -> uuid.UUID:
        return uuid.UUID(int=numbers.getrandbits(128), version=4)

    async def run() -> memory.MemoryEnvironment:
        on = kind(seed)
        try:
            await run_steps(steps, on)
        finally:
            await on.close()
        on.history.failures += virtual_time.errors()
        return on

    with mock.patch.object(uuid, "uuid4", make_id):
        return virtual_time.run(run())


async def run_on_processes(
    text: str, seed: int, directory: pathlib.Path, file: str = "scenario"
) -> ScenarioResult:
    """Run the same scenario on processes on loopback.

    A statement that processes do not support raises ScenarioError with
    its line. Only lines 7 to 9 of what must always hold are checked.
    """
    steps = language.parse(text, file)
    async with fleet.Fleet(directory) as started:
        on = processes.ProcessEnvironment(started, seed)
        await on.prepare()
        await run_steps(steps, on)
    broken = invariants.check(on.history)
    kept = {number: broken[number] for number in ON_PROCESSES & set(broken)}
    return ScenarioResult(record=on.history, broken=kept)
